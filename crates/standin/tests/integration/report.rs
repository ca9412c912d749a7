//! Metrics pages and the `plantainctl report` command.

use crate::support::{finish, send_and_check, start};
use eyre::{Result, ensure};
use hyper::Method;
use plantain_net::client::url;
use plantain_standin::{call::ChatCall, cluster::plan::ClusterPlan};
use serde_json::Value;
use std::time::Duration;

/// Metrics that must be exported after a request.
const METRICS: [&str; 6] = [
    "plantain_load_stall_seconds_bucket",
    "plantain_requests_total",
    "plantain_first_byte_seconds_bucket",
    "plantain_batch_fill",
    "plantain_running",
    "plantain_config_revision",
];

#[tokio::test]
async fn metrics_show_load_stall_and_batch_efficiency() -> Result<()> {
    let cluster = start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    send_and_check(&cluster, 0, &ChatCall::new("house-0001", "Open?", 3), "house-0001@1").await?;
    let mut text = String::new();
    for admin in [cluster.entry_admin(0), cluster.engine_agent_admin(0)] {
        let page = url(admin, "/metrics");
        let answer = cluster.http().call(Method::GET, &page, "", Duration::from_secs(2)).await?;
        text.push_str(&answer.text());
    }
    for name in METRICS {
        ensure!(text.contains(name), "{name} is missing");
    }
    finish(cluster).await
}

/// The report must show the error budget burn per priority class, the adapters that cause it, and
/// the processes that did not answer. One request succeeds, one misses its deadline, and one entry
/// is killed.
#[tokio::test]
async fn report_shows_burn_and_unreachable_processes() -> Result<()> {
    let mut cluster = start(ClusterPlan::new(2, 1, &["kandy"])).await?;
    let call = ChatCall::new("house-0001", "Open?", 2).with_header("x-plantain-priority", "upper");
    send_and_check(&cluster, 0, &call, "house-0001@1").await?;
    // The adapter is not resident, and its load takes longer than the deadline of 1 ms.
    let late = ChatCall::new("house-0002", "Open?", 2)
        .with_header("x-plantain-priority", "upper")
        .with_header("x-plantain-deadline-ms", "1");
    let refused = late.send(cluster.http(), cluster.entry(0)).await?;
    ensure!(!refused.status.is_success(), "{}", refused.status);
    cluster.kill("entry-1").await?;
    let file = cluster.directory().join("report.html");
    let file = file.to_string_lossy().into_owned();
    let text = cluster.control_ok(&["--json", "report", "--html", &file]).await?;
    let report: Value = serde_json::from_str(&text)?;
    ensure!(report["not_reached"][0] == "entry-1", "{report}");
    let rows = report["rows"].as_array().cloned().unwrap_or_default();
    let upper = rows.iter().find(|row| row["class"] == "upper" && row["window_seconds"] == 60);
    let upper = upper.cloned().unwrap_or_default();
    ensure!(upper["counts"]["ended"] == 2 && upper["counts"]["failed"] == 1, "{upper}");
    ensure!(upper["burn"]["availability"].as_f64() > Some(100.0), "{upper}");
    ensure!(report["worst_adapters"][0][0] == "house-0002", "{report}");
    let page = std::fs::read_to_string(&file)?;
    ensure!(page.contains("<svg") && page.contains("Not reached: entry entry-1"), "{page}");
    finish(cluster).await
}
