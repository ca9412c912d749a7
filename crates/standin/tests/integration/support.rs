//! What the tests of the whole system share.

use eyre::{Result, ensure};
use plantain_standin::{
    call::{ChatAnswer, ChatCall},
    cluster::{Cluster, plan::ClusterPlan},
};

/// Starts a system with `house-0000` to `house-0019`, versions 1 to 3, of base `scribe`, and the
/// service `desk` whose stamps may not be repeated.
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

/// Sends a call through an entry and checks every byte of its answer.
pub async fn ask(
    cluster: &Cluster,
    entry: usize,
    call: &ChatCall,
    model: &str,
) -> Result<ChatAnswer> {
    let answer = call.send(cluster.http(), cluster.entry(entry)).await?;
    call.check(&answer, model)?;
    Ok(answer)
}

/// Stops the system and checks that each process ended in order.
pub async fn finish(cluster: Cluster) -> Result<()> {
    ensure!(cluster.shut_down().await?, "a process did not stop in order");
    Ok(())
}
