//! Returns of the platform from a copy that is some seconds old.
//!
//! A stamp is a call of `POST /stamps` at the plain service `desk`. It is not idempotent: it must run
//! at most once.

use crate::{
    idempotency::{executed, stamp},
    support::{finish, send_and_check, start},
};
use eyre::{OptionExt, Result, ensure};
use plantain_net::{
    client::HttpClient,
    platform::{
        PlatformClient,
        records::{ObjectList, ObjectRecord, RECORD_KIND},
    },
};
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::sleep;

/// Takes a copy of the platform's objects.
async fn take_copy(cluster: &Cluster) -> Result<()> {
    cluster.set(cluster.platform(), "/standin/copy", &Value::Null).await
}

/// Returns the platform from the copy; all writes since are lost.
async fn return_from_copy(cluster: &Cluster) -> Result<()> {
    cluster.set(cluster.platform(), "/standin/return", &Value::Null).await
}

/// Guards against a stamp that runs again at another entry, because the platform has lost the record of its key.
#[tokio::test]
async fn a_key_whose_record_was_lost_runs_once() -> Result<()> {
    let cluster = start(ClusterPlan::new(2, 1, &["kandy"])).await?;
    take_copy(&cluster).await?;
    let first = stamp(&cluster, 0, Some("stamp-1")).await?;
    ensure!(first.status == 200, "{} {}", first.status, first.text());
    return_from_copy(&cluster).await?;
    cluster
        .wait_for("the key to be known again", async || {
            let answer = stamp(&cluster, 1, Some("stamp-1")).await?;
            let status = answer.status.as_u16();
            ensure!([409, 503].contains(&status), "{status}: {}", answer.text());
            Ok(status == 409)
        })
        .await?;
    ensure!(executed(&cluster).await? == 1, "executed {} times", executed(&cluster).await?);
    cluster
        .wait_for("a new key to run", async || {
            Ok(stamp(&cluster, 1, Some("stamp-2")).await?.status == 200)
        })
        .await?;
    finish(cluster).await
}

/// The shard that holds a key record, as an object of the platform.
async fn shard_with_record(cluster: &Cluster) -> Result<Option<ObjectRecord<Value>>> {
    let list: ObjectList<Value> =
        cluster.page(cluster.platform(), "/v1/objects/idempotency").await?;
    let has_record = |object: &ObjectRecord<Value>| {
        let records = object.value.as_ref().and_then(|shard| shard["records"].as_object());
        records.is_some_and(|records| !records.is_empty())
    };
    Ok(list.items.into_iter().find(has_record))
}

/// Removes all key records of a shard, as another entry removes that of a request that it refuses.
async fn remove_records(cluster: &Cluster, shard: &ObjectRecord<Value>) -> Result<()> {
    let client = PlatformClient::new(cluster.platform(), HttpClient::new());
    client.put(RECORD_KIND, &shard.name, shard.version, &json!({"records": {}})).await?;
    Ok(())
}

/// Guards against a key without a record after a return. While the entry that ran the stamp writes the lost record
/// again, the platform holds the record of a retry, which the other entry then refuses and removes. The entry must not
/// take the retry's record for final, since the key could run again after the grace.
#[tokio::test]
async fn a_lost_record_is_written_after_that_of_a_refused_retry() -> Result<()> {
    let cluster = start(ClusterPlan::new(2, 1, &["kandy"])).await?;
    let retry = stamp(&cluster, 1, Some("stamp-1")).await?;
    ensure!(retry.status == 200, "{} {}", retry.status, retry.text());
    take_copy(&cluster).await?;
    let shard = shard_with_record(&cluster).await?.ok_or_eyre("no record of the retry")?;
    remove_records(&cluster, &shard).await?;
    let first = stamp(&cluster, 0, Some("stamp-1")).await?;
    ensure!(first.status == 200, "{} {}", first.status, first.text());
    return_from_copy(&cluster).await?;
    // The copy holds the retry's record; the first entry finds it there within this time.
    sleep(Duration::from_secs(1)).await;
    let shard = shard_with_record(&cluster).await?.ok_or_eyre("no record in the copy")?;
    ensure!(shard.value.iter().any(|shard| shard.to_string().contains("entry-1")), "{shard:?}");
    remove_records(&cluster, &shard).await?;
    cluster
        .wait_for("the lost record", async || {
            let shard = shard_with_record(&cluster).await?.and_then(|shard| shard.value);
            Ok(shard.is_some_and(|shard| shard.to_string().contains("entry-0")))
        })
        .await?;
    finish(cluster).await
}

/// Guards against an entry that misses a change because it watches from a revision of the lost history.
#[tokio::test]
async fn a_change_after_a_return_is_in_force() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    take_copy(&cluster).await?;
    cluster.control_ok(&["adapter", "roll-out", "house-0001", "2"]).await?;
    cluster.wait_revision(3).await?;
    return_from_copy(&cluster).await?;
    cluster.control_ok(&["adapter", "roll-out", "house-0004", "3"]).await?;
    cluster
        .wait_for("the change", async || {
            let call = ChatCall::new("house-0004", "Open?", 3);
            Ok(send_and_check(&cluster, 0, &call, "house-0004@3").await.is_ok())
        })
        .await?;
    finish(cluster).await
}

/// Guards against a target that entries lose, and whose fencing number another agent may get, because the platform has
/// lost its agent's slot.
#[tokio::test]
async fn a_lost_slot_is_taken_again() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    cluster.kill("agent-service-0").await?;
    take_copy(&cluster).await?;
    cluster.restart_service_agent(0)?;
    cluster
        .wait_for("the agent", async || Ok(stamp(&cluster, 0, None).await?.status == 200))
        .await?;
    let epochs = async || -> Result<Vec<u64>> {
        let url = "/v1/objects/slots";
        let list: Value = cluster.page(cluster.platform(), url).await?;
        let slots = list["items"].as_array().cloned().unwrap_or_default();
        Ok(slots.iter().filter_map(|slot| slot["value"]["target"]["epoch"].as_u64()).collect())
    };
    let before = epochs().await?;
    return_from_copy(&cluster).await?;
    cluster
        .wait_for("the slot to be taken again", async || {
            let after = epochs().await?;
            Ok(after.len() == before.len() && after.iter().max() > before.iter().max())
        })
        .await?;
    let answer = stamp(&cluster, 0, None).await?;
    ensure!(answer.status == 200, "{} {}", answer.status, answer.text());
    finish(cluster).await
}
