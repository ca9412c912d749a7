//! A request that ends each engine which runs it.

use crate::support::{ask, finish, start};
use eyre::{Result, ensure};
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
    engine::FATAL_PROMPT,
};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Engines that the request may end: three, and one more where a try that is under way has two.
const CRASHES: usize = 4;
/// Time in which all entries must know of a crash that one agent has seen; in it, engines stay down.
const NEWS_TIME: Duration = Duration::from_secs(3);
/// Time within which a caller must have the final answer to a request that is not to be run.
const AT_ONCE: Duration = Duration::from_secs(1);

/// Sends the request once at each entry; returns how many engines it ended. They are up again after it.
async fn crash_engines(cluster: &mut Cluster, call: &ChatCall) -> Result<usize> {
    let mut crashes = 0;
    for entry in 0..2 {
        let answer = call.send(cluster.http(), cluster.entry(entry)).await?;
        ensure!(answer.status != 200 || answer.broken.is_some(), "served: {}", answer.text());
        sleep(NEWS_TIME).await;
        crashes += cluster.restart_crashed_engines()?;
    }
    Ok(crashes)
}

/// A caller sends the same prompt again and again, through any entry; each engine that begins to run it
/// ends, and with it all that it had in flight. Each agent sees one crash, and each entry a few offers that
/// broke off. After the third crash no engine gets it any more, and its caller is told so at once.
#[tokio::test]
async fn a_request_that_ends_engines_is_held_back() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(2, 6, &["kandy"])).await?;
    let call = ChatCall::new("house-0001@2", FATAL_PROMPT, 5);
    let mut crashes = 0;
    for _ in 0..4 {
        crashes += crash_engines(&mut cluster, &call).await?;
        ensure!(crashes <= CRASHES, "{crashes} engines ended");
    }
    ensure!(crashes >= 3, "only {crashes} engines ended");
    for entry in 0..2 {
        let asked = Instant::now();
        let answer = call.send(cluster.http(), cluster.entry(entry)).await?;
        ensure!(answer.status == 503, "{}", answer.text());
        ensure!(answer.error()["outcome"] == "not_run", "{}", answer.text());
        ensure!(answer.header("retry-after").is_some(), "{:?}", answer.headers);
        ensure!(asked.elapsed() < AT_ONCE, "told after {:?}", asked.elapsed());
    }
    let innocent = ChatCall::new("house-0001@2", "Is the east gate open?", 5);
    cluster
        .wait_for("an innocent prompt to be answered", async || {
            Ok(ask(&cluster, 0, &innocent, "house-0001@2").await.is_ok())
        })
        .await?;
    finish(cluster).await
}
