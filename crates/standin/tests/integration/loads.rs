//! Loads, with and without a broker.

use crate::support::{ask, finish, start};
use eyre::{Result, ensure};
use plantain_standin::{call::ChatCall, cluster::plan::ClusterPlan, weights::WeightCounts};

/// Callers of rare adapters see their answers although the entry that grants the permits is killed
/// in the middle of the rush: the agents ask the next entry in the order.
#[tokio::test]
async fn loads_go_on_when_the_broker_dies() -> Result<()> {
    let mut plan = ClusterPlan::new(3, 2, &["kandy"]);
    plan.store_rate = 8.0;
    let mut cluster = start(plan).await?;
    for victim in ["entry-1", "entry-2"] {
        ask_round(&cluster, 0).await?;
        cluster.kill(victim).await?;
        ask_round(&cluster, 10).await?;
    }
    let counts: WeightCounts = cluster.page(cluster.weights(), "/standin/counts").await?;
    ensure!(counts.loads >= 20, "{counts:?}");
    finish(cluster).await
}

async fn ask_round(cluster: &plantain_standin::cluster::Cluster, first: usize) -> Result<()> {
    for index in first..first + 10 {
        let model = format!("house-{index:04}@1");
        ask(cluster, 0, &ChatCall::new(&model, "Open?", 2), &model).await?;
    }
    Ok(())
}

/// Many callers ask for one adapter that is not resident: it is loaded once.
#[tokio::test]
async fn many_waiters_need_one_load() -> Result<()> {
    let mut plan = ClusterPlan::new(2, 3, &["kandy"]);
    plan.load_ms = 400;
    let cluster = start(plan).await?;
    let call = ChatCall::new("house-0011@2", "Open?", 2);
    let asked = (0..12).map(|index| ask(&cluster, index % 2, &call, "house-0011@2"));
    futures_util::future::try_join_all(asked).await?;
    let counts: WeightCounts = cluster.page(cluster.weights(), "/standin/counts").await?;
    ensure!(counts.loads == 1, "{counts:?}");
    finish(cluster).await
}
