//! Measures control-plane cost: an idle cluster, and growing numbers of connections and adapters.

use crate::{
    cluster::{Cluster, TEST_KEY, plan::ClusterPlan},
    options::ScaleArguments,
    overhead::process_usage,
    platform::CallCounts,
};
use eyre::{Result, WrapErr, ensure, eyre};
use plantaind::link::{self, PEER_NAME, keys::PeerKeys};
use serde::Serialize;
use std::{
    fmt::Write,
    fs,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time::sleep};

/// Numbers of adapters to measure.
const ADAPTERS: [usize; 3] = [3_000, 20_000, 80_000];
/// Numbers of idle connections to measure.
const CONNECTIONS: [usize; 3] = [100, 300, 600];
/// Duration of the measurement of an idle cluster.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Pause before memory is read after a change, until allocations have settled.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// One measured value with its unit. `at` is the number of adapters, connections or processes, or 0
/// for an idle cluster. The fields are the keys of the JSON file.
#[derive(Clone, Debug, Serialize)]
pub struct ScalePoint {
    measure: &'static str,
    at: usize,
    value: f64,
    unit: &'static str,
}

/// Runs all measurements and prints their results.
pub async fn run(arguments: ScaleArguments) -> Result<()> {
    let mut plan = ClusterPlan::new(1, 1, &["kandy"]);
    plan.log_level = "warning".into();
    let cluster = Cluster::start(plan).await?;
    let mut points = Vec::new();
    measure_idle(&cluster, &mut points).await?;
    measure_callers(&cluster, &mut points).await?;
    measure_links(&cluster, &mut points).await?;
    measure_adapters(&cluster, &mut points).await?;
    println!("{:<36} {:>8} {:>12}  unit", "measure", "at", "value");
    for point in &points {
        println!("{:<36} {:>8} {:>12.3}  {}", point.measure, point.at, point.value, point.unit);
    }
    if let Some(file) = arguments.json {
        let text = serde_json::to_string_pretty(&points)?;
        fs::write(&file, text).wrap_err_with(|| format!("write {}", file.display()))?;
    }
    ensure!(cluster.shut_down().await?, "a process did not stop with exit status 0");
    Ok(())
}

fn point(measure: &'static str, at: usize, value: f64, unit: &'static str) -> ScalePoint {
    ScalePoint { measure, at, value, unit }
}

/// Measures CPU time, memory and platform calls of a cluster without requests.
async fn measure_idle(cluster: &Cluster, points: &mut Vec<ScalePoint>) -> Result<()> {
    let before = (process_usage(cluster, "entry-0")?, process_usage(cluster, "agent-engine-0")?);
    let calls: CallCounts = cluster.page(cluster.platform(), "/standin/calls").await?;
    sleep(IDLE_TIME).await;
    let after = (process_usage(cluster, "entry-0")?, process_usage(cluster, "agent-engine-0")?);
    let later: CallCounts = cluster.page(cluster.platform(), "/standin/calls").await?;
    let seconds = IDLE_TIME.as_secs_f64();
    let share = |before: f64, after: f64| (after - before) / 1e6 / seconds * 100.0;
    points.push(point("entry idle", 0, share(before.0.cpu_us, after.0.cpu_us), "% of a core"));
    points.push(point("agent idle", 0, share(before.1.cpu_us, after.1.cpu_us), "% of a core"));
    points.push(point("entry memory", 0, after.0.rss_kb as f64 / 1e3, "MB"));
    points.push(point("agent memory", 0, after.1.rss_kb as f64 / 1e3, "MB"));
    let per_second = |before: u64, after: u64| (after - before) as f64 / seconds;
    let reads = per_second(calls.reads + calls.watches, later.reads + later.watches);
    points.push(point("platform reads, 1 entry + 2 agents", 3, reads, "a second"));
    points.push(point("platform writes", 3, per_second(calls.writes, later.writes), "a second"));
    Ok(())
}

/// Measures memory of an entry with idle caller connections.
async fn measure_callers(cluster: &Cluster, points: &mut Vec<ScalePoint>) -> Result<()> {
    let mut connections = Vec::new();
    for count in CONNECTIONS {
        while connections.len() < count {
            connections.push(TcpStream::connect(cluster.entry(0)).await?);
        }
        sleep(SETTLE_TIME).await;
        let memory = process_usage(cluster, "entry-0")?.rss_kb as f64 / 1e3;
        points.push(point("entry memory, idle callers", count, memory, "MB"));
    }
    Ok(())
}

/// Measures memory, handshake latency and CPU time of an agent with idle links from entries.
async fn measure_links(cluster: &Cluster, points: &mut Vec<ScalePoint>) -> Result<()> {
    let keys = PeerKeys::new(TEST_KEY, None).map_err(|error| eyre!(error))?;
    let endpoint = link::client_endpoint(cluster.platform().ip(), &keys)?;
    let mut connections = Vec::new();
    for count in CONNECTIONS {
        let started = Instant::now();
        let before = process_usage(cluster, "agent-engine-0")?.cpu_us;
        let opened = count - connections.len();
        while connections.len() < count {
            connections.push(endpoint.connect(cluster.engine_agent(0), PEER_NAME)?.await?);
        }
        let each = started.elapsed().as_secs_f64() * 1e3 / opened as f64;
        sleep(SETTLE_TIME).await;
        let usage = process_usage(cluster, "agent-engine-0")?;
        let cpu = (usage.cpu_us - before) / 1e3 / opened as f64;
        let memory = usage.rss_kb as f64 / 1e3;
        points.push(point("agent memory, idle entries", count, memory, "MB"));
        points.push(point("handshake", count, each, "ms"));
        points.push(point("handshake, agent's processor time", count, cpu, "ms"));
    }
    Ok(())
}

/// Measures the time of an import and of a roll-out, and an entry's CPU time and memory, at growing
/// numbers of adapters.
async fn measure_adapters(cluster: &Cluster, points: &mut Vec<ScalePoint>) -> Result<()> {
    for count in ADAPTERS {
        let mut lines = String::new();
        for index in 0..count {
            writeln!(
                lines,
                r#"{{"name":"house-{index:06}","base":"scribe","versions":[1,2],"current":1}}"#
            )?;
        }
        let file = cluster.directory().join("adapters.jsonl");
        fs::write(&file, lines).wrap_err("write adapters")?;
        let file = file.to_string_lossy().into_owned();
        let started = Instant::now();
        cluster.control_ok(&["--wait", "60", "adapter", "import", &file]).await?;
        let import = started.elapsed().as_secs_f64();
        points.push(point("import until in force", count, import, "s"));
        let before = process_usage(cluster, "entry-0")?.cpu_us;
        let started = Instant::now();
        cluster.control_ok(&["--wait", "60", "adapter", "roll-out", "house-000001", "2"]).await?;
        let change = started.elapsed().as_secs_f64();
        points.push(point("one roll-out until in force", count, change, "s"));
        cluster.control_ok(&["--wait", "60", "adapter", "roll-out", "house-000001", "1"]).await?;
        let usage = process_usage(cluster, "entry-0")?;
        let cpu = (usage.cpu_us - before) / 2e3;
        points.push(point("entry's processor time a change", count, cpu, "ms"));
        points.push(point("entry memory", count, usage.rss_kb as f64 / 1e3, "MB"));
    }
    Ok(())
}
