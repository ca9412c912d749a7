//! A caller gets a complete answer of the requested adapter or an error, never a wrong or truncated
//! answer.

use crate::support::{finish, send_and_check, start};
use eyre::{Result, ensure};
use hyper::Method;
use plantain_net::client::url;
use plantain_standin::{
    call::ChatCall,
    cluster::plan::ClusterPlan,
    engine::{EngineFaults, EngineRecords},
};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

/// Tokens of an answer that takes several seconds.
const LONG_ANSWER: u32 = 2_000;

/// Guards against answers of another adapter that reach a caller. Each engine's next answer names
/// another adapter; the agent checks every event before it forwards it. The caller must get status
/// 502 with an unknown outcome and no content; later calls must succeed.
#[tokio::test]
async fn answer_of_another_adapter_is_never_delivered() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 2, &["kandy"])).await?;
    for streamed in [true, false] {
        for engine in [0, 1] {
            let faults = EngineFaults { wrong_model: 1, ..EngineFaults::default() };
            cluster.set(cluster.engine(engine), "/standin/faults", &faults).await?;
        }
        let mut call = ChatCall::new("house-0001@2", "Open?", 3);
        call.streamed = streamed;
        let answer = call.send(cluster.http(), cluster.entry(0)).await?;
        ensure!(answer.status == 502, "{} {}", answer.status, answer.text());
        ensure!(answer.error()["outcome"] == "unknown", "{}", answer.text());
        ensure!(!answer.text().contains("choices"), "{}", answer.text());
        cluster
            .wait_for("targets open again", async || {
                Ok(send_and_check(&cluster, 0, &call, "house-0001@2").await.is_ok())
            })
            .await?;
    }
    finish(cluster).await
}

/// Guards against truncated answers to calls that are not streamed. An engine aborts its answer
/// before anything was forwarded; the caller must get status 502 or the complete answer, and later
/// calls must succeed.
#[tokio::test]
async fn truncated_answer_is_retried_or_an_error() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 2, &["kandy"])).await?;
    let faults = EngineFaults { cut_answers: 1, ..EngineFaults::default() };
    cluster.set(cluster.engine(0), "/standin/faults", &faults).await?;
    cluster.set(cluster.engine(1), "/standin/faults", &faults).await?;
    // Each engine aborts only its first answer.
    let call = ChatCall::new("house-0001@2", "Open?", 5).without_streaming();
    let first = call.send(cluster.http(), cluster.entry(0)).await?;
    ensure!(first.status == 502 || call.check(&first, "house-0001@2").is_ok(), "{}", first.text());
    cluster
        .wait_for("complete answer", async || {
            Ok(send_and_check(&cluster, 0, &call, "house-0001@2").await.is_ok())
        })
        .await?;
    finish(cluster).await
}

/// Guards against truncated streams that look complete. The engine aborts after the first token;
/// the caller must get an error event, no end marker, and a broken connection.
#[tokio::test]
async fn stream_cut_short_ends_in_an_error() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let faults = EngineFaults { cut_answers: 1, ..EngineFaults::default() };
    cluster.set(cluster.engine(0), "/standin/faults", &faults).await?;
    let call = ChatCall::new("house-0001@2", "Open?", 5);
    let answer = call.send(cluster.http(), cluster.entry(0)).await?;
    ensure!(answer.broken.is_some(), "{}", answer.text());
    ensure!(answer.text().contains("event: error"), "{}", answer.text());
    ensure!(!answer.text().contains("[DONE]"), "{}", answer.text());
    finish(cluster).await
}

/// Guards against engines that keep generating for a disconnected caller. When the caller
/// disconnects during a stream, the entry resets its stream to the agent, and the agent cancels the
/// engine call, which frees the batch slot.
#[tokio::test]
async fn caller_disconnect_cancels_the_engine_call() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0001", "Open?", 2), "house-0001@1").await?;
    let call = ChatCall::new("house-0001", "All rules?", LONG_ANSWER);
    let sent = call.send(cluster.http(), cluster.entry(0));
    let timed_out = timeout(Duration::from_millis(300), sent).await;
    ensure!(timed_out.is_err(), "the answer was too short for this test");
    cluster
        .wait_for("sequence cancelled", async || {
            let records: EngineRecords =
                cluster.page(cluster.engine(0), "/standin/records").await?;
            Ok(records.cancelled == 1)
        })
        .await?;
    finish(cluster).await
}

/// What a caller sends before it disconnects, and how it disconnects.
struct DisconnectCase {
    name: &'static str,
    is_streamed: bool,
    /// Bytes that the caller sends after its request on the same connection.
    pipelined: &'static [u8],
    /// Whether the caller resets the connection instead of closing it.
    is_reset: bool,
}

impl DisconnectCase {
    /// Sends a call and disconnects after 300 ms, while the call runs.
    async fn disconnect(&self, entry: SocketAddr) -> Result<()> {
        let mut call = ChatCall::new("house-0001", "All rules?", LONG_ANSWER);
        call.streamed = self.is_streamed;
        let body = call.body().to_string();
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n";
        let mut bytes = format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes();
        bytes.extend(self.pipelined);
        let mut caller = TcpStream::connect(entry).await?;
        caller.write_all(&bytes).await?;
        sleep(Duration::from_millis(300)).await;
        if self.is_reset {
            caller.set_zero_linger()?;
        }
        Ok(())
    }
}

/// A pipelined request.
const NEXT_REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: entry\r\n\r\n";

/// Guards against an entry that does not notice a disconnect because unread pipelined bytes precede
/// the end of the connection: the engine would keep generating tokens that nobody reads.
#[tokio::test]
async fn pipelined_bytes_do_not_hide_a_disconnect() -> Result<()> {
    let case = |name, is_streamed, pipelined, is_reset| DisconnectCase {
        name,
        is_streamed,
        pipelined,
        is_reset,
    };
    let cases = [
        case("stream", true, &b""[..], false),
        case("stream, empty line after it", true, b"\r\n", false),
        case("stream, next request after it", true, NEXT_REQUEST, false),
        case("stream, next request after it, reset", true, NEXT_REQUEST, true),
        case("not streamed", false, b"", false),
        case("not streamed, empty line after it", false, b"\r\n", true),
        case("not streamed, next request after it", false, NEXT_REQUEST, false),
    ];
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0001", "Open?", 2), "house-0001@1").await?;
    for (index, case) in cases.iter().enumerate() {
        case.disconnect(cluster.entry(0)).await?;
        cluster
            .wait_for(case.name, async || {
                let records: EngineRecords =
                    cluster.page(cluster.engine(0), "/standin/records").await?;
                Ok(records.cancelled == index as u64 + 1)
            })
            .await?;
    }
    finish(cluster).await
}

/// Guards against requests that stay counted as in flight, and miss an outcome in the metrics,
/// because their callers disconnected before an answer.
#[tokio::test]
async fn a_caller_disconnect_is_counted() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0001", "Open?", 2), "house-0001@1").await?;
    let case = DisconnectCase {
        name: "not streamed",
        is_streamed: false,
        pipelined: b"",
        is_reset: false,
    };
    case.disconnect(cluster.entry(0)).await?;
    let page = url(cluster.entry_admin(0), "/metrics");
    cluster
        .wait_for("disconnect on the metrics page", async || {
            let answer =
                cluster.http().call(Method::GET, &page, "", Duration::from_secs(2)).await?;
            let text = answer.text();
            Ok(text.lines().any(|line| line == "plantain_in_flight 0")
                && text.contains("outcome=\"caller_left\"} 1"))
        })
        .await?;
    finish(cluster).await
}
