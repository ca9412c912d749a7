//! Failures of targets: restarted engines, failed loads, dead or frozen agents, wrong peer keys.

use crate::support::{finish, send_and_check, start};
use eyre::{Result, ensure};
use nix::sys::signal::Signal;
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
    engine::{EngineFaults, EngineRecords},
};
use serde_json::{Value, json};

/// Sends a request for an adapter and returns the index of the engine that answered it.
async fn preferred_engine(cluster: &Cluster, model: &str) -> Result<usize> {
    let answer = send_and_check(cluster, 0, &ChatCall::new(model, "Open?", 2), model).await?;
    let target = answer.header("x-plantain-target").unwrap_or_default();
    Ok(target.trim_start_matches("scribe-").parse()?)
}

/// Guards against errors after an engine has restarted without its adapters. The engine refuses the
/// agent's next request because the adapter is not resident, which proves that it did not run; the
/// agent must load the adapter again and run the request.
#[tokio::test]
async fn engine_restarted_empty_is_loaded_again() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let call = ChatCall::new("house-0004@2", "Open?", 3);
    send_and_check(&cluster, 0, &call, "house-0004@2").await?;
    cluster.set(cluster.engine(0), "/standin/restart", &json!({})).await?;
    send_and_check(&cluster, 0, &call, "house-0004@2").await?;
    let records: EngineRecords = cluster.page(cluster.engine(0), "/standin/records").await?;
    ensure!(records.loads == 2, "loads: {}", records.loads);
    finish(cluster).await
}

/// Guards against calls that fail because loads fail at their preferred engine. The agent tries the
/// load twice and refuses the waiting calls; the entry must send them to the other engine.
#[tokio::test]
async fn failed_load_is_retried_at_another_engine() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 2, &["kandy"])).await?;
    let preferred = preferred_engine(&cluster, "house-0005@1").await?;
    let faults = EngineFaults { fail_loads: 1_000, ..EngineFaults::default() };
    cluster.set(cluster.engine(preferred), "/standin/faults", &faults).await?;
    cluster.set(cluster.engine(preferred), "/standin/restart", &json!({})).await?;
    let answer =
        send_and_check(&cluster, 0, &ChatCall::new("house-0005@1", "Open?", 3), "house-0005@1")
            .await?;
    let other = format!("scribe-{}", 1 - preferred);
    ensure!(answer.header("x-plantain-target") == Some(other.as_str()), "{answer:?}");
    finish(cluster).await
}

/// Guards against calls that fail because their preferred agent does. The agent is killed, or
/// frozen with its link still open. It does not reply to the entry's offer, so the caller has
/// received nothing yet, and the entry must offer the call to the other agent.
#[tokio::test]
async fn calls_avoid_a_dead_or_frozen_agent() -> Result<()> {
    for signal in [Signal::SIGKILL, Signal::SIGSTOP] {
        let mut cluster = start(ClusterPlan::new(1, 2, &["kandy"])).await?;
        let preferred = preferred_engine(&cluster, "house-0006@1").await?;
        let agent = format!("agent-engine-{preferred}");
        cluster.signal(&agent, signal)?;
        let call = ChatCall::new("house-0006@1", "Open?", 3);
        let answer = send_and_check(&cluster, 0, &call, "house-0006@1").await?;
        let other = format!("scribe-{}", 1 - preferred);
        ensure!(answer.header("x-plantain-target") == Some(other.as_str()), "{answer:?}");
        cluster.kill(&agent).await?;
        finish(cluster).await?;
    }
    Ok(())
}

/// Guards against two agents that send orders to one engine. An agent is frozen while it holds its
/// slot; a successor takes the slot with a higher epoch, and entries route to the successor. When
/// the old agent resumes, it must find that it lost the slot and accept no calls. The engine would
/// refuse an order that the old agent sends before it finds out, because the fencing number is
/// outdated.
#[tokio::test]
async fn successor_takes_over_from_a_frozen_agent() -> Result<()> {
    let mut plan = ClusterPlan::new(1, 1, &["kandy"]);
    plan.check_fencing = true;
    let mut cluster = start(plan).await?;
    let call = ChatCall::new("house-0008@2", "Open?", 3);
    send_and_check(&cluster, 0, &call, "house-0008@2").await?;
    cluster.signal("agent-engine-0", Signal::SIGSTOP)?;
    cluster.start_successor(0)?;
    cluster
        .wait_for("successor serves", async || {
            Ok(send_and_check(&cluster, 0, &call, "house-0008@2").await.is_ok())
        })
        .await?;
    let status: Value = cluster.page(cluster.spare(0), "/status").await?;
    ensure!(
        status["residents"][0] == "house-0008@2",
        "the successor did not adopt the resident adapter: {status}"
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
        send_and_check(&cluster, 0, &ChatCall::new(&model, "Open?", 2), &model).await?;
    }
    let records: EngineRecords = cluster.page(cluster.engine(0), "/standin/records").await?;
    ensure!(records.evicted_in_use == 0, "evicted in use");
    finish(cluster).await
}

/// Guards against eviction of an adapter that a predecessor's call still uses. When an agent
/// starts, its engine runs a request that the agent did not send and holds no pin for. The agent
/// must accept no calls and evict nothing until the engine is idle, and the request's answer must
/// be complete.
#[tokio::test]
async fn agent_restarted_under_a_busy_engine_waits_until_it_is_idle() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0001@1", "Open?", 2), "house-0001@1").await?;
    let (http, engine) = (cluster.http().clone(), cluster.engine(0));
    let earlier = tokio::spawn(async move {
        ChatCall::new("house-0001@1", "All rules?", 800).send(&http, engine).await
    });
    cluster
        .wait_for("earlier request runs", async || {
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
    while !earlier.is_finished() {
        let status: Value = cluster.page(cluster.engine_agent_admin(0), "/status").await?;
        ensure!(status["target_up"] == false || earlier.is_finished(), "accepted calls: {status}");
    }
    let answer = earlier.await??;
    ensure!(answer.text().contains("[DONE]"), "the answer to the earlier request was truncated");
    cluster.wait_ready().await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0001@1", "Open?", 2), "house-0001@1").await?;
    let records: EngineRecords = cluster.page(cluster.engine(0), "/standin/records").await?;
    ensure!(records.evicted_in_use == 0 && records.loads == 1, "{records:?}");
    finish(cluster).await
}

/// Guards against calls that wait past their deadline for a hanging load. The agent must refuse the
/// call at its deadline, which proves that it was not run. When the load completes later, the next
/// call must find the adapter resident.
#[tokio::test]
async fn hanging_load_does_not_hold_its_waiters_past_their_deadline() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let faults = EngineFaults { hang_loads: true, ..EngineFaults::default() };
    cluster.set(cluster.engine(0), "/standin/faults", &faults).await?;
    let call =
        ChatCall::new("house-0009@1", "Open?", 2).with_header("x-plantain-deadline-ms", "2000");
    let answer = call.send(cluster.http(), cluster.entry(0)).await?;
    ensure!(answer.error()["outcome"] == "not_run", "{} {}", answer.status, answer.text());
    ensure!(answer.last < std::time::Duration::from_secs(4), "refused after {:?}", answer.last);
    cluster.set(cluster.engine(0), "/standin/faults", &EngineFaults::default()).await?;
    let next_call = ChatCall::new("house-0009@1", "Open?", 2);
    send_and_check(&cluster, 0, &next_call, "house-0009@1").await?;
    finish(cluster).await
}

/// Guards against calls that go to a process without the peer key. It announces itself like any
/// agent, but neither end of the link accepts the other's key, so calls must be refused as not run.
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
