//! End-to-end path of a call: caller, entry, agent, engine and weight store.

use crate::support::{finish, send_and_check, start};
use eyre::{Result, ensure};
use plantain_standin::{
    call::ChatCall, cluster::plan::ClusterPlan, engine::EngineRecords, weights::WeightCounts,
};

#[tokio::test]
async fn streamed_answer_comes_from_the_requested_version() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let call = ChatCall::new("house-0012@3", "Is the east gate open?", 20);
    send_and_check(&cluster, 0, &call, "house-0012@3").await?;
    let records: EngineRecords = cluster.page(cluster.engine(0), "/standin/records").await?;
    ensure!(records.adapters.contains("house-0012@3"), "resident: {:?}", records.adapters);
    let counts: WeightCounts = cluster.page(cluster.weights(), "/standin/counts").await?;
    ensure!(counts.loads == 1, "loads: {}", counts.loads);
    finish(cluster).await
}

#[tokio::test]
async fn rolled_out_version_is_the_default() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let call = ChatCall::new("house-0003", "Which hall?", 5).without_streaming();
    send_and_check(&cluster, 0, &call, "house-0003@1").await?;
    cluster.control_ok(&["--wait", "30", "adapter", "roll-out", "house-0003", "2"]).await?;
    send_and_check(&cluster, 0, &call, "house-0003@2").await?;
    finish(cluster).await
}
