//! Adapter loads: failover of the permit broker, and coalescing of concurrent loads.

use crate::support::{finish, send_and_check, start};
use eyre::{Result, ensure};
use plantain_standin::{call::ChatCall, cluster::plan::ClusterPlan, weights::WeightCounts};

/// Guards against loads that stop when the entry that grants load permits dies. Two of three
/// entries are killed one after the other between requests for cold adapters; the agents must get
/// permits from the next entry.
#[tokio::test]
async fn loads_continue_when_the_broker_dies() -> Result<()> {
    let mut plan = ClusterPlan::new(3, 2, &["kandy"]);
    plan.store_rate = 8.0;
    let mut cluster = start(plan).await?;
    for victim in ["entry-1", "entry-2"] {
        send_round(&cluster, 0).await?;
        cluster.kill(victim).await?;
        send_round(&cluster, 10).await?;
    }
    let counts: WeightCounts = cluster.page(cluster.weights(), "/standin/counts").await?;
    ensure!(counts.loads >= 20, "{counts:?}");
    finish(cluster).await
}

/// Requests ten adapters, starting with index `first`.
async fn send_round(cluster: &plantain_standin::cluster::Cluster, first: usize) -> Result<()> {
    for index in first..first + 10 {
        let model = format!("house-{index:04}@1");
        send_and_check(cluster, 0, &ChatCall::new(&model, "Open?", 2), &model).await?;
    }
    Ok(())
}

/// Guards against duplicate loads: twelve concurrent requests for one adapter that is not resident
/// must cause one load.
#[tokio::test]
async fn concurrent_requests_share_one_load() -> Result<()> {
    let mut plan = ClusterPlan::new(2, 3, &["kandy"]);
    plan.load_ms = 400;
    let cluster = start(plan).await?;
    let call = ChatCall::new("house-0011@2", "Open?", 2);
    let calls = (0..12).map(|index| send_and_check(&cluster, index % 2, &call, "house-0011@2"));
    futures_util::future::try_join_all(calls).await?;
    let counts: WeightCounts = cluster.page(cluster.weights(), "/standin/counts").await?;
    ensure!(counts.loads == 1, "{counts:?}");
    finish(cluster).await
}
