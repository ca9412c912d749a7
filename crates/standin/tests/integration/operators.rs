//! Configuration changes: concurrent operators, lost answers and outages of the platform.

use crate::support::{finish, send_and_check, start};
use eyre::{Result, ensure};
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
    platform::PlatformFaults,
};
use serde_json::Value;

/// Sets the faults of the platform.
async fn set_platform_faults(cluster: &Cluster, faults: PlatformFaults) -> Result<()> {
    cluster.set(cluster.platform(), "/standin/faults", &faults).await
}

/// Guards against lost updates. Two operators read the same root object, delayed by a slow
/// platform, and both update it. The version check accepts one; the other operator must get an
/// error that names the winner and its change.
#[tokio::test]
async fn concurrent_changes_have_one_winner_that_the_error_names() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    cluster.control_ok(&["preset", "put", "peak"]).await?;
    set_platform_faults(&cluster, PlatformFaults { delay_ms: 100, ..PlatformFaults::default() })
        .await?;
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
    set_platform_faults(&cluster, PlatformFaults::default()).await?;
    let shown: Value = serde_json::from_str(&cluster.control_ok(&["--json", "status"]).await?)?;
    ensure!(shown["author"] == winner, "{shown}");
    finish(cluster).await
}

/// Guards against changes that are reported as failed, or made twice, when the platform's answers
/// to the writes are lost: the tool reads the objects back and recognises its own operation.
#[tokio::test]
async fn change_with_a_lost_answer_is_read_back() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    // Loses the answers to the writes of the changed part and of the root.
    set_platform_faults(&cluster, PlatformFaults { lose_answers: 2, ..PlatformFaults::default() })
        .await?;
    let output = cluster.control_ok(&["adapter", "roll-out", "house-0004", "3"]).await?;
    ensure!(output.contains("revision 3") && output.contains("reading back"), "{output}");
    cluster.wait_revision(3).await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0004", "Open?", 3), "house-0004@3").await?;
    let shown: Value = serde_json::from_str(&cluster.control_ok(&["--json", "status"]).await?)?;
    ensure!(shown["revision"] == 3, "{shown}");
    finish(cluster).await
}

/// Guards against calls that depend on the platform. During an outage, calls to resident adapters,
/// loads and evictions must work, and a configuration change must fail with exit status 1 and an
/// error that names the platform or says that nothing changed. The failed change must not take
/// effect, and after the outage changes must work again.
#[tokio::test]
async fn requests_loads_and_evictions_work_during_an_outage() -> Result<()> {
    let mut plan = ClusterPlan::new(2, 1, &["kandy"]);
    plan.slots = 2;
    let cluster = start(plan).await?;
    set_platform_faults(&cluster, PlatformFaults { down: true, ..PlatformFaults::default() })
        .await?;
    for round in 0..6 {
        let model = format!("house-{round:04}@2");
        send_and_check(&cluster, round % 2, &ChatCall::new(&model, "Open?", 3), &model).await?;
    }
    let output = cluster.control(&["adapter", "roll-out", "house-0004", "3"]).await?;
    ensure!(output.status.code() == Some(1), "{:?}", output.status);
    let error = String::from_utf8_lossy(&output.stderr);
    ensure!(error.contains("not changed") || error.contains("platform"), "{error}");
    set_platform_faults(&cluster, PlatformFaults::default()).await?;
    cluster.control_ok(&["--wait", "30", "adapter", "roll-out", "house-0004", "2"]).await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0004", "Open?", 3), "house-0004@2").await?;
    finish(cluster).await
}

/// Guards against `--wait` hiding a process that has not applied the change. One agent is frozen;
/// the command must time out with exit status 4 and name only that agent's host.
#[tokio::test]
async fn wait_names_the_process_without_the_change() -> Result<()> {
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

/// Guards against an entry that is unavailable, or reverts to an old configuration, when it
/// restarts during an outage of the platform. It must fetch the configuration from its peers, take
/// the highest revision among them, and become ready only then.
#[tokio::test]
async fn entry_restarted_in_an_outage_gets_its_configuration_from_peers() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(3, 1, &["kandy", "nuwara", "hatton"])).await?;
    cluster.control_ok(&["--wait", "30", "adapter", "roll-out", "house-0004", "3"]).await?;
    set_platform_faults(&cluster, PlatformFaults { down: true, ..PlatformFaults::default() })
        .await?;
    cluster.kill("entry-0").await?;
    cluster.start_entry(0)?;
    cluster
        .wait_for("entry ready", async || {
            let status: Value = cluster.page(cluster.entry_admin(0), "/status").await?;
            ensure!(status["ready"] != true || status["revision"] == 3, "reverted: {status}");
            Ok(status["ready"] == true)
        })
        .await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0004", "Open?", 3), "house-0004@3").await?;
    set_platform_faults(&cluster, PlatformFaults::default()).await?;
    cluster.control_ok(&["--wait", "30", "adapter", "roll-out", "house-0004", "2"]).await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0004", "Open?", 3), "house-0004@2").await?;
    finish(cluster).await
}
