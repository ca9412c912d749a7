//! Planned stops cut off nothing.

use crate::support::{ask, finish, start};
use eyre::{Result, ensure};
use nix::sys::signal::Signal;
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
};
use serde_json::Value;

/// Tokens of an answer that takes about two seconds.
const LONG_ANSWER: u32 = 400;

async fn wait_running(cluster: &Cluster) -> Result<()> {
    cluster
        .wait_for("request runs", async || {
            let status: Value = cluster.page(cluster.engine_agent_admin(0), "/status").await?;
            Ok(status["running"] == 1)
        })
        .await
}

/// The caller sees its whole answer. Its stream is in the middle when the entry is told to stop;
/// the entry turns unready, takes no further connection, ends the stream and only then exits.
#[tokio::test]
async fn stopping_entry_completes_its_streams() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(2, 1, &["kandy"])).await?;
    let call = ChatCall::new("house-0001@2", "All rules of hall 3?", LONG_ANSWER);
    let (http, entry) = (cluster.http().clone(), cluster.entry(0));
    let asked = call.clone();
    let stream = tokio::spawn(async move { asked.send(&http, entry).await });
    wait_running(&cluster).await?;
    cluster.signal("entry-0", Signal::SIGTERM)?;
    cluster
        .wait_for("entry unready or gone", async || {
            let ready = cluster.page::<Value>(cluster.entry_admin(0), "/status").await;
            Ok(ready.map_or(true, |status| status["ready"] == false))
        })
        .await?;
    ask(&cluster, 1, &ChatCall::new("house-0002", "Open?", 2), "house-0002@1").await?;
    call.check(&stream.await??, "house-0001@2")?;
    ensure!(cluster.stop("entry-0").await?, "the entry did not end in order");
    finish(cluster).await
}

/// Two callers see whole answers. One's stream runs on the engine whose agent is told to stop; the
/// agent ends it before it exits. The other asks after that and must be served by the other engine,
/// although the platform's list does not yet show the first as leaving.
#[tokio::test]
async fn stopping_agent_completes_its_work_and_takes_no_more() -> Result<()> {
    let mut plan = ClusterPlan::new(1, 2, &["kandy"]);
    plan.host_lag_ms = 60_000;
    let mut cluster = start(plan).await?;
    let call = ChatCall::new("house-0001@2", "All rules of hall 3?", LONG_ANSWER);
    let (http, entry) = (cluster.http().clone(), cluster.entry(0));
    let asked = call.clone();
    let stream = tokio::spawn(async move { asked.send(&http, entry).await });
    let busy = busy_engine(&cluster).await?;
    let agent = format!("agent-engine-{busy}");
    cluster.signal(&agent, Signal::SIGTERM)?;
    cluster
        .wait_for("agent leaves", async || {
            let admin = cluster.engine_agent_admin(busy);
            let status: Value = cluster.page(admin, "/status").await?;
            Ok(status["leaving"] == true)
        })
        .await?;
    for _ in 0..4 {
        let next = ChatCall::new("house-0001@2", "Open?", 2);
        let answer = ask(&cluster, 0, &next, "house-0001@2").await?;
        let target = format!("scribe-{}", 1 - busy);
        ensure!(answer.header("x-plantain-target") == Some(target.as_str()), "{answer:?}");
    }
    call.check(&stream.await??, "house-0001@2")?;
    ensure!(cluster.stop(&agent).await?, "the agent did not end in order");
    finish(cluster).await
}

async fn busy_engine(cluster: &Cluster) -> Result<usize> {
    let running = async |index: usize| {
        let admin = cluster.engine_agent_admin(index);
        let status: Value = cluster.page(admin, "/status").await?;
        eyre::Ok(status["running"] == 1)
    };
    cluster.wait_for("request runs", async || Ok(running(0).await? || running(1).await?)).await?;
    Ok(usize::from(running(1).await?))
}
