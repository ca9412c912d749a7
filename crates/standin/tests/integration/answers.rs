//! Answers are whole, and of the adapter that was asked for, or they are errors.

use crate::support::{ask, finish, start};
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

/// Tokens of an answer that takes seconds.
const LONG_ANSWER: u32 = 2_000;

/// The caller never sees the foreign answer. The engine names another adapter in its first answer;
/// the agent checks every event before it passes it on, reports the request as failed, and the
/// entry asks the other engine, which answers rightly.
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
                Ok(ask(&cluster, 0, &call, "house-0001@2").await.is_ok())
            })
            .await?;
    }
    finish(cluster).await
}

/// The caller of a whole answer sees it whole: the first engine breaks it off, nothing has been
/// passed on yet, and the entry asks the other engine.
#[tokio::test]
async fn whole_answer_cut_short_is_asked_for_again() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 2, &["kandy"])).await?;
    let faults = EngineFaults { cut_answers: 1, ..EngineFaults::default() };
    cluster.set(cluster.engine(0), "/standin/faults", &faults).await?;
    cluster.set(cluster.engine(1), "/standin/faults", &faults).await?;
    // One engine cuts the first answer, the other the second one; later ones are whole.
    let call = ChatCall::new("house-0001@2", "Open?", 5).without_streaming();
    let first = call.send(cluster.http(), cluster.entry(0)).await?;
    ensure!(first.status == 502 || call.check(&first, "house-0001@2").is_ok(), "{}", first.text());
    cluster
        .wait_for("whole answer", async || {
            Ok(ask(&cluster, 0, &call, "house-0001@2").await.is_ok())
        })
        .await?;
    finish(cluster).await
}

/// The caller of a stream that has begun sees an error event and a broken connection, never a short
/// answer that looks whole: the engine breaks off after the first token.
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

/// The caller goes away in the middle of a long stream. The entry resets its stream to the agent,
/// the agent drops its call of the engine, and the engine's batch place is free again.
#[tokio::test]
async fn caller_that_goes_away_frees_the_engine() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    ask(&cluster, 0, &ChatCall::new("house-0001", "Open?", 2), "house-0001@1").await?;
    let call = ChatCall::new("house-0001", "All rules?", LONG_ANSWER);
    let sent = call.send(cluster.http(), cluster.entry(0));
    let gone = timeout(Duration::from_millis(300), sent).await;
    ensure!(gone.is_err(), "the answer was too short for this test");
    cluster
        .wait_for("sequence cancelled", async || {
            let records: EngineRecords =
                cluster.page(cluster.engine(0), "/standin/records").await?;
            Ok(records.cancelled == 1)
        })
        .await?;
    finish(cluster).await
}

/// What a caller has sent, and how long it stays.
struct LeaveCase {
    name: &'static str,
    is_streamed: bool,
    /// What it sends behind its request.
    ahead: &'static [u8],
    /// Whether it resets its connection instead of closing it.
    is_reset: bool,
}

impl LeaveCase {
    /// Sends a call and leaves once it is under way.
    async fn leave(&self, entry: SocketAddr) -> Result<()> {
        let mut call = ChatCall::new("house-0001", "All rules?", LONG_ANSWER);
        call.streamed = self.is_streamed;
        let body = call.body().to_string();
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n";
        let mut bytes = format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes();
        bytes.extend(self.ahead);
        let mut caller = TcpStream::connect(entry).await?;
        caller.write_all(&bytes).await?;
        sleep(Duration::from_millis(300)).await;
        if self.is_reset {
            caller.set_zero_linger()?;
        }
        Ok(())
    }
}

const NEXT_REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: entry\r\n\r\n";

/// Guards against an entry that does not see the end of a connection behind bytes which its caller has sent ahead: the
/// engine works on for nobody.
#[tokio::test]
async fn bytes_sent_ahead_do_not_hide_that_a_caller_has_left() -> Result<()> {
    let case =
        |name, is_streamed, ahead, is_reset| LeaveCase { name, is_streamed, ahead, is_reset };
    let cases = [
        case("stream", true, &b""[..], false),
        case("stream, empty line behind it", true, b"\r\n", false),
        case("stream, next request behind it", true, NEXT_REQUEST, false),
        case("stream, next request behind it, reset", true, NEXT_REQUEST, true),
        case("whole answer", false, b"", false),
        case("whole answer, empty line behind it", false, b"\r\n", true),
        case("whole answer, next request behind it", false, NEXT_REQUEST, false),
    ];
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    ask(&cluster, 0, &ChatCall::new("house-0001", "Open?", 2), "house-0001@1").await?;
    for (index, case) in cases.iter().enumerate() {
        case.leave(cluster.entry(0)).await?;
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

/// Guards against requests that count as in flight for ever, and leave no line, because their callers left before an
/// answer.
#[tokio::test]
async fn a_caller_that_leaves_is_counted_and_told() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    ask(&cluster, 0, &ChatCall::new("house-0001", "Open?", 2), "house-0001@1").await?;
    let case = LeaveCase { name: "whole answer", is_streamed: false, ahead: b"", is_reset: false };
    case.leave(cluster.entry(0)).await?;
    let page = url(cluster.entry_admin(0), "/metrics");
    cluster
        .wait_for("the caller's leaving on the metrics page", async || {
            let answer =
                cluster.http().call(Method::GET, &page, "", Duration::from_secs(2)).await?;
            let text = answer.text();
            Ok(text.lines().any(|line| line == "plantain_in_flight 0")
                && text.contains("outcome=\"caller_left\"} 1"))
        })
        .await?;
    finish(cluster).await
}
