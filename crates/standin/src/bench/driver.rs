//! Open-loop load generator: sends each request of a trace at its time, whether or not earlier ones
//! have been answered, and records the results.

use super::workload::{Trace, TraceRequest, adapter_name};
use crate::{
    answer::expected_answer,
    call::{ChatCall, read_events},
};
use bytes::BytesMut;
use eyre::Result;
use http_body_util::BodyExt;
use plantain_core::priority::Priority;
use plantain_net::client::HttpClient;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

/// Result of one request as its caller saw it.
#[derive(Clone, Debug)]
pub struct RequestSample {
    /// Scheduled time of sending, relative to the start of the trace.
    pub sent: Duration,
    /// Priority class.
    pub priority: Priority,
    /// Whether the answer was complete and correct.
    pub answered: bool,
    /// Whether the answer was complete within the deadline.
    pub in_time: bool,
    /// Time that the request waited for its adapter to load, as reported by the entry.
    pub load_stall: Duration,
    /// Time to first token; zero without an answer.
    pub ttft: Duration,
    /// Mean time between tokens; absent for answers of one token.
    pub token_gap: Option<Duration>,
    /// Why a complete answer failed the check, if it did.
    pub wrong: Option<String>,
}

/// Sends all requests of a trace, starting at `begin`, and waits for their answers.
pub async fn replay_trace(
    entries: Vec<SocketAddr>,
    trace: Arc<Trace>,
    begin: Instant,
    deadline: Duration,
) -> Vec<RequestSample> {
    let http = HttpClient::new();
    let mut running = JoinSet::new();
    for index in 0..trace.requests.len() {
        let request = trace.requests[index].clone();
        sleep_until(begin + request.at).await;
        let entry = entries[request.entry % entries.len()];
        let http = http.clone();
        running.spawn(async move { send(&http, entry, &request, deadline).await });
    }
    running.join_all().await
}

async fn send(
    http: &HttpClient,
    entry: SocketAddr,
    request: &TraceRequest,
    deadline: Duration,
) -> RequestSample {
    let mut sample = RequestSample {
        sent: request.at,
        priority: request.priority,
        answered: false,
        in_time: false,
        load_stall: Duration::ZERO,
        ttft: Duration::ZERO,
        token_gap: None,
        wrong: None,
    };
    let name = adapter_name(request.adapter);
    let call = ChatCall::new(&name, &request.prompt, request.tokens)
        .with_header("x-plantain-priority", request.priority.name());
    // A refused request or an aborted answer leaves the sample unanswered.
    if let Ok(Some((body, last))) = read_answer(http, entry, &call, &mut sample).await {
        let model = format!("{name}@1");
        let expected = expected_answer(&model, &request.prompt, request.tokens);
        match read_events(&body, &model) {
            Ok(content) if content == expected => {
                sample.answered = true;
                sample.in_time = last <= deadline;
            }
            Ok(_) => sample.wrong = Some(format!("{name}: other content")),
            Err(error) => sample.wrong = Some(format!("{name}: {error:#}")),
        }
    }
    sample
}

/// Sends a call and reads its answer. Returns the body and the time to its end, or `None` if the
/// call was refused.
async fn read_answer(
    http: &HttpClient,
    entry: SocketAddr,
    call: &ChatCall,
    sample: &mut RequestSample,
) -> Result<Option<(BytesMut, Duration)>> {
    let started = Instant::now();
    let reply = http.send(call.request(entry)?).await?;
    if !reply.status().is_success() {
        return Ok(None);
    }
    let stall = reply.headers().get("x-plantain-load-stall-ms");
    let stall = stall.and_then(|value| value.to_str().ok()?.parse().ok());
    sample.load_stall = Duration::from_millis(stall.unwrap_or(0));
    let mut body = BytesMut::new();
    let mut stream = reply.into_body();
    let mut first = None;
    while let Some(frame) = stream.frame().await {
        if let Ok(data) = frame?.into_data() {
            first.get_or_insert_with(|| started.elapsed());
            body.extend_from_slice(&data);
        }
    }
    let last = started.elapsed();
    sample.ttft = first.unwrap_or(last);
    if call.tokens > 1 {
        sample.token_gap = Some(last.saturating_sub(sample.ttft) / (call.tokens - 1));
    }
    Ok(Some((body, last)))
}
