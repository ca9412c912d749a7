//! Operators race each other, lose answers, and meet outages of the platform.

use crate::support::{ask, finish, start};
use eyre::{Result, ensure};
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
    platform::PlatformFaults,
};
use serde_json::Value;

async fn set(cluster: &Cluster, faults: PlatformFaults) -> Result<()> {
    cluster.set(cluster.platform(), "/standin/faults", &faults).await
}

/// One operator's change is accepted, the other is told who won and what differs. Both have read the
/// same root when the platform, slowed down, takes their updates; its version check lets one in.
#[tokio::test]
async fn race_of_two_operators_has_one_winner_who_is_named() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    cluster.control_ok(&["preset", "put", "peak"]).await?;
    set(&cluster, PlatformFaults { delay_ms: 100, ..PlatformFaults::default() }).await?;
    let asha = ["--author", "asha", "preset", "switch", "peak"];
    let script = ["--author", "script", "adapter", "retire", "house-0019"];
    let (one, two) = tokio::join!(cluster.control(&asha), cluster.control(&script));
    let (one, two) = (one?, two?);
    let statuses = [one.status.code(), two.status.code()];
    ensure!(statuses.contains(&Some(0)) && statuses.contains(&Some(3)), "{statuses:?}");
    let asha_won = one.status.success();
    let loser = String::from_utf8_lossy(if asha_won { &two.stderr } else { &one.stderr });
    let (winner, change) = if asha_won {
        ("asha", "preset in force: ordinary -> peak")
    } else {
        ("script", "adapter house-0019: removed")
    };
    ensure!(loser.contains(winner) && loser.contains(change), "{loser}");
    set(&cluster, PlatformFaults::default()).await?;
    let shown: Value = serde_json::from_str(&cluster.control_ok(&["--json", "status"]).await?)?;
    ensure!(shown["author"] == winner, "{shown}");
    finish(cluster).await
}

/// The operator's change is made, once, although the platform's answer to the root's update is lost:
/// the tool finds its own operation by reading back and does not write again.
#[tokio::test]
async fn lost_answer_of_a_change_is_settled() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    // The part's write and the root's write both lose their answers.
    set(&cluster, PlatformFaults { lose_answers: 2, ..PlatformFaults::default() }).await?;
    let told = cluster.control_ok(&["adapter", "roll-out", "house-0004", "3"]).await?;
    ensure!(told.contains("revision 3") && told.contains("reading back"), "{told}");
    cluster.wait_revision(3).await?;
    ask(&cluster, 0, &ChatCall::new("house-0004", "Open?", 3), "house-0004@3").await?;
    let shown: Value = serde_json::from_str(&cluster.control_ok(&["--json", "status"]).await?)?;
    ensure!(shown["revision"] == 3, "{shown}");
    finish(cluster).await
}

/// Callers see right answers all through an outage of the platform: resident adapters, adapters that
/// must be loaded, and evictions. The operator's change fails and says that it was not made. After
/// the outage the configuration is what it was before, and changes work again.
#[tokio::test]
async fn requests_loads_and_evictions_go_on_through_an_outage() -> Result<()> {
    let mut plan = ClusterPlan::new(2, 1, &["kandy"]);
    plan.slots = 2;
    let cluster = start(plan).await?;
    set(&cluster, PlatformFaults { down: true, ..PlatformFaults::default() }).await?;
    for round in 0..6 {
        let model = format!("house-{round:04}@2");
        ask(&cluster, round % 2, &ChatCall::new(&model, "Open?", 3), &model).await?;
    }
    let output = cluster.control(&["adapter", "roll-out", "house-0004", "3"]).await?;
    ensure!(output.status.code() == Some(1), "{:?}", output.status);
    let error = String::from_utf8_lossy(&output.stderr);
    ensure!(error.contains("not changed") || error.contains("platform"), "{error}");
    set(&cluster, PlatformFaults::default()).await?;
    cluster.control_ok(&["--wait", "30", "adapter", "roll-out", "house-0004", "2"]).await?;
    ask(&cluster, 0, &ChatCall::new("house-0004", "Open?", 3), "house-0004@2").await?;
    finish(cluster).await
}

/// The operator who waits for a change is told which process does not have it: an agent is frozen.
#[tokio::test]
async fn waiting_operator_is_told_who_is_behind() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 2, &["kandy"])).await?;
    cluster.signal("agent-engine-1", nix::sys::signal::Signal::SIGSTOP)?;
    let output =
        cluster.control(&["--wait", "2", "adapter", "roll-out", "house-0004", "3"]).await?;
    cluster.signal("agent-engine-1", nix::sys::signal::Signal::SIGCONT)?;
    ensure!(output.status.code() == Some(4), "{:?}", output.status);
    let error = String::from_utf8_lossy(&output.stderr);
    ensure!(error.contains("scribe-1") && !error.contains("scribe-0"), "{error}");
    cluster.wait_revision(3).await?;
    finish(cluster).await
}

/// Callers are served by an entry that was killed and started again in the middle of an outage. It
/// cannot read the configuration, so it asks its peers and takes the highest revision that any of
/// them has; it is not ready before that, and never shows an older one than before.
#[tokio::test]
async fn entry_restarted_in_an_outage_joins_from_its_peers() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(3, 1, &["kandy", "nuwara", "hatton"])).await?;
    cluster.control_ok(&["--wait", "30", "adapter", "roll-out", "house-0004", "3"]).await?;
    set(&cluster, PlatformFaults { down: true, ..PlatformFaults::default() }).await?;
    cluster.kill("entry-0").await?;
    cluster.start_entry(0)?;
    cluster
        .wait_for("entry ready", async || {
            let status: Value = cluster.page(cluster.entry_admin(0), "/status").await?;
            ensure!(status["ready"] != true || status["revision"] == 3, "reverted: {status}");
            Ok(status["ready"] == true)
        })
        .await?;
    ask(&cluster, 0, &ChatCall::new("house-0004", "Open?", 3), "house-0004@3").await?;
    set(&cluster, PlatformFaults::default()).await?;
    cluster.control_ok(&["--wait", "30", "adapter", "roll-out", "house-0004", "2"]).await?;
    ask(&cluster, 0, &ChatCall::new("house-0004", "Open?", 3), "house-0004@2").await?;
    finish(cluster).await
}
