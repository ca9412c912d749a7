//! Helpers shared by the integration tests.
//!
//! A stamp is a call of `POST /stamps` at the plain service `desk`. It is not idempotent: it must run
//! at most once.

use eyre::{Result, ensure};
use plantain_standin::{
    call::{ChatAnswer, ChatCall},
    cluster::{Cluster, plan::ClusterPlan},
};

/// Starts a cluster with the adapters `house-0000` to `house-0019` (base `scribe`, versions 1 to 3,
/// current version 1) and the service `desk`, whose stamps (`POST /stamps`) run at most once.
pub async fn start(plan: ClusterPlan) -> Result<Cluster> {
    let cluster = Cluster::start(plan).await?;
    let lines: Vec<String> = (0..20)
        .map(|index| {
            format!(
                r#"{{"name":"house-{index:04}","base":"scribe","versions":[1,2,3],"current":1}}"#
            )
        })
        .collect();
    let file = cluster.directory().join("adapters.jsonl");
    std::fs::write(&file, lines.join("\n"))?;
    cluster.control_ok(&["adapter", "import", &file.to_string_lossy()]).await?;
    cluster.control_ok(&["service", "put", "desk", "--route", "POST /stamps once"]).await?;
    cluster.wait_revision(2).await?;
    Ok(cluster)
}

/// Sends a call through an entry and checks that the answer is complete, comes from `model`, and has
/// the expected content in every byte.
pub async fn send_and_check(
    cluster: &Cluster,
    entry: usize,
    call: &ChatCall,
    model: &str,
) -> Result<ChatAnswer> {
    let answer = call.send(cluster.http(), cluster.entry(entry)).await?;
    call.check(&answer, model)?;
    Ok(answer)
}

/// Stops the cluster and checks that each process exits with status 0.
pub async fn finish(cluster: Cluster) -> Result<()> {
    ensure!(cluster.shut_down().await?, "a process did not stop with exit status 0");
    Ok(())
}
