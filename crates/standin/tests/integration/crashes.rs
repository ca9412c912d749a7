//! Quarantine of poison requests, which crash each engine that runs them.

use crate::support::{finish, send_and_check, start};
use eyre::{Result, ensure};
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
    engine::FATAL_PROMPT,
};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Maximum number of engines that the request may crash: three, plus one if an entry retries it
/// while that entry knows of only two crashes.
const MAX_CRASHES: usize = 4;
/// Time for all entries to learn of a crash that an agent has seen; engines stay down during it.
const CRASH_REPORT_TIME: Duration = Duration::from_secs(3);
/// Time within which a quarantined request must be refused.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Sends the request once through each entry, restarts the engines that it crashed, and returns
/// their number.
async fn crash_engines(cluster: &mut Cluster, call: &ChatCall) -> Result<usize> {
    let mut crashes = 0;
    for entry in 0..2 {
        let answer = call.send(cluster.http(), cluster.entry(entry)).await?;
        ensure!(answer.status != 200 || answer.broken.is_some(), "served: {}", answer.text());
        sleep(CRASH_REPORT_TIME).await;
        crashes += cluster.restart_crashed_engines()?;
    }
    Ok(crashes)
}

/// Guards against a poison request that crashes one engine after another and aborts all their
/// calls. The same prompt is sent repeatedly through both entries. Each agent sees only the crash
/// of its own engine, and each entry only a few offers that were aborted. After the third crash the
/// request must reach no engine and be refused at once.
#[tokio::test]
async fn a_request_that_crashes_engines_is_quarantined() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(2, 6, &["kandy"])).await?;
    let call = ChatCall::new("house-0001@2", FATAL_PROMPT, 5);
    let mut crashes = 0;
    for _ in 0..4 {
        crashes += crash_engines(&mut cluster, &call).await?;
        ensure!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
    }
    ensure!(crashes >= 3, "only {crashes} engines crashed");
    for entry in 0..2 {
        let sent_at = Instant::now();
        let answer = call.send(cluster.http(), cluster.entry(entry)).await?;
        ensure!(answer.status == 503, "{}", answer.text());
        ensure!(answer.error()["outcome"] == "not_run", "{}", answer.text());
        ensure!(answer.header("retry-after").is_some(), "{:?}", answer.headers);
        ensure!(sent_at.elapsed() < REFUSAL_TIME, "refused after {:?}", sent_at.elapsed());
    }
    let harmless = ChatCall::new("house-0001@2", "Is the east gate open?", 5);
    cluster
        .wait_for("answer to a harmless prompt", async || {
            Ok(send_and_check(&cluster, 0, &harmless, "house-0001@2").await.is_ok())
        })
        .await?;
    finish(cluster).await
}
