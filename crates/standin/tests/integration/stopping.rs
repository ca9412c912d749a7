//! Planned stops cut off nothing.

use crate::support::{ask, finish, start};
use eyre::{Result, ensure};
use hyper::Method;
use nix::sys::signal::Signal;
use plantain_net::client::{HttpClient, url};
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use tokio::{sync::watch, task::JoinSet};

/// Longest wait for an entry to say whether it is ready.
const READY_LIMIT: Duration = Duration::from_secs(2);
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

/// Every caller sees whole answers while each process of the system is restarted in turn: entries
/// turn unready before they close, agents refuse before they leave, and both end what they hold.
#[tokio::test]
async fn rolling_restart_under_load_loses_no_request() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(2, 2, &["kandy"])).await?;
    let (stop, stopping) = watch::channel(false);
    let entries: Vec<SocketAddr> = (0..2).map(|index| cluster.entry(index)).collect();
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        callers.spawn(ask_all_along(entries.clone(), caller, stopping.clone()));
    }
    for index in 0..2 {
        ensure!(cluster.stop(&format!("entry-{index}")).await?, "entry {index} not in order");
        cluster.start_entry(index)?;
        cluster.wait_ready().await?;
        ensure!(
            cluster.stop(&format!("agent-engine-{index}")).await?,
            "agent {index} not in order"
        );
        cluster.start_engine_agent(index)?;
        cluster.wait_ready().await?;
    }
    stop.send_replace(true);
    let mut answered = 0;
    while let Some(count) = callers.join_next().await {
        answered += count??;
    }
    ensure!(answered > 50, "only {answered} requests were asked");
    finish(cluster).await
}

/// Asks one request after another of entries that say they are ready, as the balancer does.
async fn ask_all_along(
    entries: Vec<SocketAddr>,
    caller: usize,
    stopping: watch::Receiver<bool>,
) -> Result<usize> {
    let mut answered = 0;
    while !*stopping.borrow() {
        let entry = entries[(answered + caller) % entries.len()];
        // A new client each time: connections that the entry is about to close are not its matter.
        let http = HttpClient::new();
        let ready = http.call(Method::GET, &url(entry, "/readyz"), "", READY_LIMIT).await;
        if ready.is_ok_and(|ready| ready.status == 200) {
            let model = format!("house-{:04}@2", answered % 5);
            let mut call = ChatCall::new(&model, "Open?", 20);
            call.streamed = caller.is_multiple_of(2);
            let answer = call.send(&http, entry).await?;
            call.check(&answer, &model)?;
        }
        answered += 1;
    }
    Ok(answered)
}
