//! Answers are whole, and of the adapter that was asked for, or they are errors.

use crate::support::{ask, finish, start};
use eyre::{Result, ensure};
use plantain_standin::{
    call::ChatCall,
    cluster::plan::ClusterPlan,
    engine::{EngineFaults, EngineRecords},
};
use std::time::Duration;
use tokio::time::timeout;

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
    let call = ChatCall::new("house-0001@2", "Open?", 5).with_whole_answer();
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
