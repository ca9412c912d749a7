//! Targets that fail, restart or are not what they seem.

use crate::support::{ask, finish, start};
use eyre::{Result, ensure};
use nix::sys::signal::Signal;
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
    engine::{EngineFaults, EngineRecords},
};
use serde_json::{Value, json};

async fn home_of(cluster: &Cluster, model: &str) -> Result<usize> {
    let answer = ask(cluster, 0, &ChatCall::new(model, "Open?", 2), model).await?;
    let target = answer.header("x-plantain-target").unwrap_or_default();
    Ok(target.trim_start_matches("scribe-").parse()?)
}

/// The caller sees a right answer. The engine restarts empty under its agent; the agent's first
/// request then meets an engine that does not hold the adapter, which proves that nothing ran, so
/// the agent loads it again and runs the request.
#[tokio::test]
async fn engine_restarted_empty_is_loaded_again() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let call = ChatCall::new("house-0004@2", "Open?", 3);
    ask(&cluster, 0, &call, "house-0004@2").await?;
    cluster.set(cluster.engine(0), "/standin/restart", &json!({})).await?;
    ask(&cluster, 0, &call, "house-0004@2").await?;
    let records: EngineRecords = cluster.page(cluster.engine(0), "/standin/records").await?;
    ensure!(records.loads == 2, "loads: {}", records.loads);
    finish(cluster).await
}

/// The caller sees a right answer. Loads fail at the engine that the adapter's requests go to; the
/// agent tries twice, refuses its waiters, and the entry goes to the other engine.
#[tokio::test]
async fn load_that_fails_is_done_elsewhere() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 2, &["kandy"])).await?;
    let home = home_of(&cluster, "house-0005@1").await?;
    let faults = EngineFaults { fail_loads: 1_000, ..EngineFaults::default() };
    cluster.set(cluster.engine(home), "/standin/faults", &faults).await?;
    cluster.set(cluster.engine(home), "/standin/restart", &json!({})).await?;
    let answer =
        ask(&cluster, 0, &ChatCall::new("house-0005@1", "Open?", 3), "house-0005@1").await?;
    let other = format!("scribe-{}", 1 - home);
    ensure!(answer.header("x-plantain-target") == Some(other.as_str()), "{answer:?}");
    finish(cluster).await
}

/// The caller sees a right answer. The agent that its request would go to is killed, or frozen so
/// that its connection still looks alive; the offer gets no word back, so nothing has reached the
/// caller, and the entry offers it to the other agent.
#[tokio::test]
async fn dead_or_frozen_agent_is_left_out() -> Result<()> {
    for signal in [Signal::SIGKILL, Signal::SIGSTOP] {
        let mut cluster = start(ClusterPlan::new(1, 2, &["kandy"])).await?;
        let home = home_of(&cluster, "house-0006@1").await?;
        let agent = format!("agent-engine-{home}");
        cluster.signal(&agent, signal)?;
        let call = ChatCall::new("house-0006@1", "Open?", 3);
        let answer = ask(&cluster, 0, &call, "house-0006@1").await?;
        let other = format!("scribe-{}", 1 - home);
        ensure!(answer.header("x-plantain-target") == Some(other.as_str()), "{answer:?}");
        cluster.kill(&agent).await?;
        finish(cluster).await?;
    }
    Ok(())
}

/// The caller sees right answers from the successor. The agent freezes while it still believes that
/// it holds its slot; a successor on another host takes the slot with a higher epoch, and entries
/// follow the slot. When the old one wakes it finds its slot taken and takes no more work; were it
/// to order anything first, the engine would refuse the old fencing number.
#[tokio::test]
async fn successor_takes_over_from_a_frozen_agent() -> Result<()> {
    let mut plan = ClusterPlan::new(1, 1, &["kandy"]);
    plan.check_fencing = true;
    let mut cluster = start(plan).await?;
    let call = ChatCall::new("house-0008@2", "Open?", 3);
    ask(&cluster, 0, &call, "house-0008@2").await?;
    cluster.signal("agent-engine-0", Signal::SIGSTOP)?;
    cluster.start_successor(0)?;
    cluster
        .wait_for("successor serves", async || {
            Ok(ask(&cluster, 0, &call, "house-0008@2").await.is_ok())
        })
        .await?;
    let status: Value = cluster.page(cluster.spare(0), "/status").await?;
    ensure!(
        status["residents"][0] == "house-0008@2",
        "the successor adopts what is there: {status}"
    );
    cluster.signal("agent-engine-0", Signal::SIGCONT)?;
    cluster
        .wait_for("old agent finds its slot taken", async || {
            let status: Value = cluster.page(cluster.engine_agent_admin(0), "/status").await?;
            Ok(status["leased"] == false)
        })
        .await?;
    for index in 0..12 {
        let model = format!("house-{index:04}@1");
        ask(&cluster, 0, &ChatCall::new(&model, "Open?", 2), &model).await?;
    }
    let records: EngineRecords = cluster.page(cluster.engine(0), "/standin/records").await?;
    ensure!(records.evicted_in_use == 0, "evicted in use");
    finish(cluster).await
}

/// A request that this agent did not start, as one of a killed predecessor, runs on the engine when
/// the agent comes up. It has no pin for it, so it must take no work, and order no eviction, until
/// the engine is idle; the foreign answer comes whole.
#[tokio::test]
async fn agent_restarted_under_a_busy_engine_waits_until_it_is_idle() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    ask(&cluster, 0, &ChatCall::new("house-0001@1", "Open?", 2), "house-0001@1").await?;
    let (http, engine) = (cluster.http().clone(), cluster.engine(0));
    let foreign = tokio::spawn(async move {
        ChatCall::new("house-0001@1", "All rules?", 800).send(&http, engine).await
    });
    cluster
        .wait_for("foreign request runs", async || {
            let records: EngineRecords =
                cluster.page(cluster.engine(0), "/standin/records").await?;
            Ok(records.executed.len() == 2)
        })
        .await?;
    cluster.kill("agent-engine-0").await?;
    cluster.start_engine_agent(0)?;
    cluster
        .wait_for("new agent holds the slot", async || {
            let status: Value = cluster.page(cluster.engine_agent_admin(0), "/status").await?;
            Ok(status["leased"] == true)
        })
        .await?;
    while !foreign.is_finished() {
        let status: Value = cluster.page(cluster.engine_agent_admin(0), "/status").await?;
        ensure!(status["target_up"] == false || foreign.is_finished(), "took work: {status}");
    }
    let answer = foreign.await??;
    ensure!(answer.text().contains("[DONE]"), "the foreign answer was cut");
    cluster.wait_ready().await?;
    ask(&cluster, 0, &ChatCall::new("house-0001@1", "Open?", 2), "house-0001@1").await?;
    let records: EngineRecords = cluster.page(cluster.engine(0), "/standin/records").await?;
    ensure!(records.evicted_in_use == 0 && records.loads == 1, "{records:?}");
    finish(cluster).await
}

/// The caller is told at its deadline that the request was not run: the load that it waits for hangs,
/// nothing was handed to the engine, and the agent's refusal proves it. When the load comes through
/// after all, the next caller finds the adapter there.
#[tokio::test]
async fn hanging_load_does_not_hold_its_waiters_past_their_deadline() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let faults = EngineFaults { hang_loads: true, ..EngineFaults::default() };
    cluster.set(cluster.engine(0), "/standin/faults", &faults).await?;
    let call =
        ChatCall::new("house-0009@1", "Open?", 2).with_header("x-plantain-deadline-ms", "2000");
    let answer = call.send(cluster.http(), cluster.entry(0)).await?;
    ensure!(answer.error()["outcome"] == "not_run", "{} {}", answer.status, answer.text());
    ensure!(answer.last < std::time::Duration::from_secs(4), "held for {:?}", answer.last);
    cluster.set(cluster.engine(0), "/standin/faults", &EngineFaults::default()).await?;
    let patient = ChatCall::new("house-0009@1", "Open?", 2);
    ask(&cluster, 0, &patient, "house-0009@1").await?;
    finish(cluster).await
}

/// The operator sees the offers of a process without the key refused. It announces itself like any
/// agent, but neither end of the link accepts the other's key, so no request goes to it.
#[tokio::test]
async fn peer_without_the_key_is_refused() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    cluster.kill("agent-engine-0").await?;
    let listen = cluster.engine_agent(0).to_string();
    let target = cluster.engine(0).to_string();
    let (platform, weights) = (cluster.platform().to_string(), cluster.weights().to_string());
    let admin = cluster.engine_agent_admin(0).to_string();
    let wrong = "ab".repeat(32);
    let arguments: Vec<String> = [
        "agent",
        "--name",
        "scribe-0",
        "--region",
        "region-1",
        "--zone",
        "kandy",
        "--platform",
        &platform,
        "--admin",
        &admin,
        "--listen",
        &listen,
        "--target",
        &target,
        "--base",
        "scribe",
        "--weight-store",
        &weights,
        "--peer-key",
        &wrong,
    ]
    .map(str::to_owned)
    .to_vec();
    cluster.start_process("agent-engine-0", "plantaind", &arguments)?;
    cluster.wait_ready().await?;
    let answer =
        ChatCall::new("house-0001", "Open?", 2).send(cluster.http(), cluster.entry(0)).await?;
    ensure!(answer.status == 503, "{} {}", answer.status, answer.text());
    ensure!(answer.error()["outcome"] == "not_run", "{}", answer.text());
    let status: Value = cluster.page(cluster.engine_agent_admin(0), "/status").await?;
    ensure!(status["running"] == 0, "{status}");
    finish(cluster).await
}
