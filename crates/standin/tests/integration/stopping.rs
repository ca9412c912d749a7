//! Graceful stops of entries and agents complete the calls in flight.

use crate::support::{finish, send_and_check, start};
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

/// Timeout of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_secs(2);
/// Tokens of an answer that takes about two seconds.
const LONG_ANSWER: u32 = 400;

/// Waits until one request runs on engine 0.
async fn wait_running(cluster: &Cluster) -> Result<()> {
    cluster
        .wait_for("request runs", async || {
            let status: Value = cluster.page(cluster.engine_agent_admin(0), "/status").await?;
            Ok(status["running"] == 1)
        })
        .await
}

/// Guards against streams that are cut when their entry stops. An entry gets SIGTERM in the middle
/// of a stream: it becomes unready, accepts no new connections, completes the stream and then
/// exits.
#[tokio::test]
async fn stopping_entry_completes_its_streams() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(2, 1, &["kandy"])).await?;
    let call = ChatCall::new("house-0001@2", "All rules of hall 3?", LONG_ANSWER);
    let (http, entry) = (cluster.http().clone(), cluster.entry(0));
    let sent_call = call.clone();
    let stream = tokio::spawn(async move { sent_call.send(&http, entry).await });
    wait_running(&cluster).await?;
    cluster.signal("entry-0", Signal::SIGTERM)?;
    cluster
        .wait_for("entry unready or stopped", async || {
            let ready = cluster.page::<Value>(cluster.entry_admin(0), "/status").await;
            Ok(ready.map_or(true, |status| status["ready"] == false))
        })
        .await?;
    send_and_check(&cluster, 1, &ChatCall::new("house-0002", "Open?", 2), "house-0002@1").await?;
    call.check(&stream.await??, "house-0001@2")?;
    ensure!(cluster.stop("entry-0").await?, "the entry did not exit with status 0");
    finish(cluster).await
}

/// Guards against calls that fail when an agent stops. The agent gets SIGTERM while a stream runs
/// on its engine, and must complete the stream before it exits. Later calls must go to the other
/// engine, although the platform's delayed host list does not show the first host as leaving yet.
#[tokio::test]
async fn stopping_agent_completes_its_work_and_takes_no_more() -> Result<()> {
    let mut plan = ClusterPlan::new(1, 2, &["kandy"]);
    plan.host_lag_ms = 60_000;
    let mut cluster = start(plan).await?;
    let call = ChatCall::new("house-0001@2", "All rules of hall 3?", LONG_ANSWER);
    let (http, entry) = (cluster.http().clone(), cluster.entry(0));
    let sent_call = call.clone();
    let stream = tokio::spawn(async move { sent_call.send(&http, entry).await });
    let busy = busy_engine(&cluster).await?;
    let agent = format!("agent-engine-{busy}");
    cluster.signal(&agent, Signal::SIGTERM)?;
    cluster
        .wait_for("agent draining", async || {
            let admin = cluster.engine_agent_admin(busy);
            let status: Value = cluster.page(admin, "/status").await?;
            Ok(status["leaving"] == true)
        })
        .await?;
    for _ in 0..4 {
        let next = ChatCall::new("house-0001@2", "Open?", 2);
        let answer = send_and_check(&cluster, 0, &next, "house-0001@2").await?;
        let target = format!("scribe-{}", 1 - busy);
        ensure!(answer.header("x-plantain-target") == Some(target.as_str()), "{answer:?}");
    }
    call.check(&stream.await??, "house-0001@2")?;
    ensure!(cluster.stop(&agent).await?, "the agent did not exit with status 0");
    finish(cluster).await
}

/// Waits until one of two engines runs a request and returns its index.
async fn busy_engine(cluster: &Cluster) -> Result<usize> {
    let running = async |index: usize| {
        let admin = cluster.engine_agent_admin(index);
        let status: Value = cluster.page(admin, "/status").await?;
        eyre::Ok(status["running"] == 1)
    };
    cluster.wait_for("request runs", async || Ok(running(0).await? || running(1).await?)).await?;
    Ok(usize::from(running(1).await?))
}

/// Guards against requests lost in a rolling restart. Six callers send requests while entries and
/// engines' agents are restarted one by one. Entries become unready before they close, agents
/// refuse new calls before they exit, and both complete the calls in flight.
#[tokio::test]
async fn rolling_restart_under_load_loses_no_request() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(2, 2, &["kandy"])).await?;
    let (stop, stopping) = watch::channel(false);
    let entries: Vec<SocketAddr> = (0..2).map(|index| cluster.entry(index)).collect();
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        callers.spawn(send_until_stopped(entries.clone(), caller, stopping.clone()));
    }
    for index in 0..2 {
        ensure!(
            cluster.stop(&format!("entry-{index}")).await?,
            "entry {index} did not exit with status 0"
        );
        cluster.start_entry(index)?;
        cluster.wait_ready().await?;
        ensure!(
            cluster.stop(&format!("agent-engine-{index}")).await?,
            "agent {index} did not exit with status 0"
        );
        cluster.start_engine_agent(index)?;
        cluster.wait_ready().await?;
    }
    stop.send_replace(true);
    let mut rounds = 0;
    while let Some(count) = callers.join_next().await {
        rounds += count??;
    }
    ensure!(rounds > 50, "only {rounds} rounds were run");
    finish(cluster).await
}

/// Sends requests one after another, only to entries that report ready, as a load balancer does.
/// Returns the number of rounds, including those that found an entry unready.
async fn send_until_stopped(
    entries: Vec<SocketAddr>,
    caller: usize,
    stopping: watch::Receiver<bool>,
) -> Result<usize> {
    let mut rounds = 0;
    while !*stopping.borrow() {
        let entry = entries[(rounds + caller) % entries.len()];
        // A new client per request: the entry may close an idle connection while a request is
        // sent on it.
        let http = HttpClient::new();
        let ready = http.call(Method::GET, &url(entry, "/readyz"), "", READY_TIMEOUT).await;
        if ready.is_ok_and(|ready| ready.status == 200) {
            let model = format!("house-{:04}@2", rounds % 5);
            let mut call = ChatCall::new(&model, "Open?", 20);
            call.streamed = caller.is_multiple_of(2);
            let answer = call.send(&http, entry).await?;
            call.check(&answer, &model)?;
        }
        rounds += 1;
    }
    Ok(rounds)
}
