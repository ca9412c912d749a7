//! A keyed call that may not be repeated runs at most once, whoever asks again and wherever.

use crate::support::{ask, finish, start};
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

/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

async fn stamp(cluster: &Cluster, entry: usize, key: Option<&str>) -> Result<HttpAnswer> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(url(cluster.entry(entry), "/services/desk/stamps"));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(Bytes::from_static(b"gate 7")))?;
    cluster.http().fetch(request, ANSWER_LIMIT).await
}

async fn executed(cluster: &Cluster) -> Result<usize> {
    let calls: Vec<CallRecord> = cluster.page(cluster.service(0), "/standin/calls").await?;
    Ok(calls.len())
}

fn error(answer: &HttpAnswer) -> Result<Value> {
    let value: Value = answer.json()?;
    Ok(value["error"].clone())
}

/// The caller loses patience and asks again with the same key. At the same entry it gets the first
/// answer once more; at another entry it is told who has the request. The stamp runs once.
#[tokio::test]
async fn retries_of_a_stamp_are_the_same_request() -> Result<()> {
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
    let told = error(&other)?;
    ensure!(told["type"] == "key_taken" && told["outcome"] == "unknown", "{told}");
    ensure!(told["message"].as_str().unwrap_or("").contains("entry-0"), "{told}");
    let later = stamp(&cluster, 0, Some("stamp-1")).await?;
    ensure!(later.status == 200 && later.body == first.body, "{}", later.status);
    ensure!(executed(&cluster).await? == 1, "executed twice");
    let next = stamp(&cluster, 1, Some("stamp-2")).await?;
    ensure!(next.status == 200 && executed(&cluster).await? == 2, "another key is another stamp");
    finish(cluster).await
}

/// Callers race with the same key through two entries while both write the same shard. The
/// platform's version check lets one record in; the other sees it when it reads again.
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

/// The caller sees its answer. The record's write takes effect but its answer is lost; the entry
/// reads the shard back, finds its own record, and runs the stamp once.
#[tokio::test]
async fn lost_answer_of_a_record_is_settled() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let faults = PlatformFaults { lose_answers: 1, ..PlatformFaults::default() };
    cluster.set(cluster.platform(), "/standin/faults", &faults).await?;
    let answer = stamp(&cluster, 0, Some("stamp-1")).await?;
    ensure!(answer.status == 200, "{} {}", answer.status, answer.text());
    ensure!(executed(&cluster).await? == 1, "executed {} times", executed(&cluster).await?);
    finish(cluster).await
}

/// While the platform is out, the caller of a keyed stamp is told at once that it was not run and
/// when to come back. Completions, loads, and stamps without a key (which nobody can ask for again
/// as the same) go on. When the platform is back, so are keyed stamps.
#[tokio::test]
async fn outage_stops_keyed_stamps_only() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    cluster.set(cluster.platform(), "/standin/faults", &down).await?;
    for _ in 0..3 {
        let asked = Instant::now();
        let answer = stamp(&cluster, 0, Some("stamp-1")).await?;
        let told = error(&answer)?;
        ensure!(answer.status == 503 && told["type"] == "keys_unavailable", "{told}");
        ensure!(told["outcome"] == "not_run", "{told}");
        ensure!(answer.headers.contains_key("retry-after"), "{:?}", answer.headers);
        ensure!(asked.elapsed() < Duration::from_secs(5), "held back");
    }
    ensure!(executed(&cluster).await? == 0, "told not run, but ran");
    ask(&cluster, 0, &ChatCall::new("house-0007@3", "Open?", 3), "house-0007@3").await?;
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

/// The caller is told that its stamp was not run, because no target took it. Its record is given
/// back, so that asking again with the same key, even elsewhere, runs it.
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
