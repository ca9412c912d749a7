//! A service call with an idempotency key runs at most once, however often and at whichever entry
//! it is retried.
//!
//! A stamp is a call of `POST /stamps` at the plain service `desk`. It is not idempotent: it must run
//! at most once.

use crate::support::{finish, send_and_check, start};
use bytes::Bytes;
use eyre::{Result, ensure};
use http_body_util::Full;
use hyper::{Method, Request};
use plantain_net::client::{HttpAnswer, url};
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
    platform::PlatformFaults,
    service::CallRecord,
};
use serde_json::Value;
use std::time::{Duration, Instant};

/// Timeout of a call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a stamp through an entry, with an idempotency key if one is given.
pub async fn stamp(cluster: &Cluster, entry: usize, key: Option<&str>) -> Result<HttpAnswer> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(url(cluster.entry(entry), "/services/desk/stamps"));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(Bytes::from_static(b"gate 7")))?;
    cluster.http().fetch(request, ANSWER_TIMEOUT).await
}

/// Number of calls that the service has executed.
pub async fn executed(cluster: &Cluster) -> Result<usize> {
    let calls: Vec<CallRecord> = cluster.page(cluster.service(0), "/standin/calls").await?;
    Ok(calls.len())
}

/// The `error` object of an answer.
fn error(answer: &HttpAnswer) -> Result<Value> {
    let value: Value = answer.json()?;
    Ok(value["error"].clone())
}

/// Guards against retries with the same key that run a stamp again. At the same entry a retry must
/// get the first answer; at another entry it must get status 409 that names the first entry.
#[tokio::test]
async fn retries_with_one_key_run_a_stamp_once() -> Result<()> {
    let mut plan = ClusterPlan::new(2, 1, &["kandy"]);
    plan.call_ms = 300;
    let cluster = start(plan).await?;
    let (first, second, other) = tokio::join!(
        stamp(&cluster, 0, Some("stamp-1")),
        stamp(&cluster, 0, Some("stamp-1")),
        async {
            cluster.wait_for("first runs", async || Ok(executed(&cluster).await? == 1)).await?;
            stamp(&cluster, 1, Some("stamp-1")).await
        }
    );
    let (first, second, other) = (first?, second?, other?);
    ensure!(first.status == 200 && second.status == 200, "{} {}", first.status, second.status);
    ensure!(first.body == second.body, "the retry got another answer");
    ensure!(other.status == 409, "{} {}", other.status, other.text());
    let conflict = error(&other)?;
    ensure!(conflict["type"] == "key_taken" && conflict["outcome"] == "unknown", "{conflict}");
    ensure!(conflict["message"].as_str().unwrap_or("").contains("entry-0"), "{conflict}");
    let later = stamp(&cluster, 0, Some("stamp-1")).await?;
    ensure!(later.status == 200 && later.body == first.body, "{}", later.status);
    ensure!(executed(&cluster).await? == 1, "executed twice");
    let next = stamp(&cluster, 1, Some("stamp-2")).await?;
    ensure!(
        next.status == 200 && executed(&cluster).await? == 2,
        "a stamp with another key did not run"
    );
    finish(cluster).await
}

/// Guards against double execution when two entries get the same key at once. Both write the same
/// shard of key records; the platform's version check accepts one, and the other entry finds that
/// record when it reads again.
#[tokio::test]
async fn racing_entries_run_a_stamp_once() -> Result<()> {
    let cluster = start(ClusterPlan::new(2, 1, &["kandy"])).await?;
    for round in 0..20 {
        let key = format!("race-{round}");
        let (one, two) =
            tokio::join!(stamp(&cluster, 0, Some(&key)), stamp(&cluster, 1, Some(&key)));
        let statuses = [one?.status.as_u16(), two?.status.as_u16()];
        ensure!(statuses.contains(&200) && statuses.contains(&409), "{key}: {statuses:?}");
        ensure!(executed(&cluster).await? == round + 1, "{key}: executed twice");
    }
    finish(cluster).await
}

/// Guards against stamps that fail or run twice when the platform's answer to the write of the key
/// record is lost. The entry must read the shard back, find its own record and run the stamp once.
#[tokio::test]
async fn key_record_with_a_lost_answer_is_read_back() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let faults = PlatformFaults { lose_answers: 1, ..PlatformFaults::default() };
    cluster.set(cluster.platform(), "/standin/faults", &faults).await?;
    let answer = stamp(&cluster, 0, Some("stamp-1")).await?;
    ensure!(answer.status == 200, "{} {}", answer.status, answer.text());
    ensure!(executed(&cluster).await? == 1, "executed {} times", executed(&cluster).await?);
    finish(cluster).await
}

/// Guards against outages of the platform that affect more than calls with a key. Stamps with a key
/// must be refused at once as not run, with `retry-after`; completions, loads and stamps without a
/// key (which no later call can identify as the same stamp) must run. Stamps with a key must work
/// again afterwards.
#[tokio::test]
async fn outage_refuses_only_stamps_with_a_key() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    cluster.set(cluster.platform(), "/standin/faults", &down).await?;
    for _ in 0..3 {
        let sent_at = Instant::now();
        let answer = stamp(&cluster, 0, Some("stamp-1")).await?;
        let refusal = error(&answer)?;
        ensure!(answer.status == 503 && refusal["type"] == "keys_unavailable", "{refusal}");
        ensure!(refusal["outcome"] == "not_run", "{refusal}");
        ensure!(answer.headers.contains_key("retry-after"), "{:?}", answer.headers);
        ensure!(sent_at.elapsed() < Duration::from_secs(5), "refused too late");
    }
    ensure!(executed(&cluster).await? == 0, "reported as not run, but ran");
    send_and_check(&cluster, 0, &ChatCall::new("house-0007@3", "Open?", 3), "house-0007@3").await?;
    let keyless = stamp(&cluster, 0, None).await?;
    ensure!(keyless.status == 200 && executed(&cluster).await? == 1, "{}", keyless.status);
    cluster.set(cluster.platform(), "/standin/faults", &PlatformFaults::default()).await?;
    cluster
        .wait_for("keyed stamp runs again", async || {
            Ok(stamp(&cluster, 0, Some("stamp-1")).await?.status == 200)
        })
        .await?;
    ensure!(executed(&cluster).await? == 2, "executed {} times", executed(&cluster).await?);
    finish(cluster).await
}

/// Guards against a key that stays reserved for a stamp that did not run. No target accepts the
/// stamp, so the entry must remove the key's record; a retry with the key through another entry
/// must run.
#[tokio::test]
async fn record_of_a_stamp_that_was_not_run_is_removed() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(2, 1, &["kandy"])).await?;
    cluster.kill("agent-service-0").await?;
    let answer = stamp(&cluster, 0, Some("stamp-1")).await?;
    ensure!(error(&answer)?["outcome"] == "not_run", "{}", answer.text());
    cluster.restart_service_agent(0)?;
    cluster
        .wait_for("stamp runs elsewhere", async || {
            Ok(stamp(&cluster, 1, Some("stamp-1")).await?.status == 200)
        })
        .await?;
    ensure!(executed(&cluster).await? == 1, "executed {} times", executed(&cluster).await?);
    finish(cluster).await
}
