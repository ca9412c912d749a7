//! Measures the latency that entry and agent add, by calling the engine directly and through them.

use crate::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
    options::OverheadArguments,
};
use eyre::{Result, WrapErr, bail, ensure};
use hdrhistogram::Histogram;
use plantain_net::client::HttpClient;
use serde::Serialize;
use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

/// Default rates, in requests per second.
const RATES: [u32; 3] = [1, 100, 500];
/// Tokens per answer.
const TOKENS: u32 = 4;
/// Requests of the warm-up, as a share of the counted requests.
const WARM_UP: f64 = 0.1;
/// Minimum number of counted requests at each rate.
const MIN_REQUESTS: usize = 20;

/// Median and 99th percentile, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    p50: f64,
    p99: f64,
}

/// Results at one rate; the fields are the keys of the JSON file.
#[derive(Clone, Debug, Serialize)]
pub struct OverheadRow {
    rate: u32,
    requests: usize,
    direct_ms: Quantiles,
    through_ms: Quantiles,
    added_ms: Quantiles,
    entry_cpu_us_per_request: f64,
    agent_cpu_us_per_request: f64,
    entry_rss_kb: u64,
    agent_rss_kb: u64,
}

/// Runs the measurement at each rate and prints a row for it.
pub async fn run(arguments: OverheadArguments) -> Result<()> {
    let mut plan = ClusterPlan::new(1, 1, &["kandy"]);
    // The engine's steps take no time: the timer would round them up to a millisecond, which is
    // more than the latency that is measured.
    (plan.step_us, plan.sequence_us, plan.adapter_us, plan.prompt_us) = (0, 0, 0, 0);
    plan.batch_limit = 512;
    plan.log_level = "warning".into();
    let cluster = Cluster::start(plan).await?;
    let add =
        ["--wait", "10", "adapter", "add", "house-0001", "--base", "scribe", "--versions", "1"];
    cluster.control_ok(&add).await?;
    let rates = if arguments.rates.is_empty() { RATES.to_vec() } else { arguments.rates };
    let mut rows = Vec::new();
    println!(
        "time of a short answer in ms: engine called directly, through entry and agent, added"
    );
    println!(
        "{:>6} {:>21} {:>21} {:>21} {:>17}",
        "rate", "direct p50/p99", "through p50/p99", "added p50/p99", "cpu us entry/agent"
    );
    for rate in rates {
        ensure!(rate > 0, "--rate: expected at least 1");
        let row = measure(&cluster, rate, arguments.seconds).await?;
        println!(
            "{rate:>6} {} {} {} {:>8.0} {:>8.0}",
            format_quantiles(row.direct_ms),
            format_quantiles(row.through_ms),
            format_quantiles(row.added_ms),
            row.entry_cpu_us_per_request,
            row.agent_cpu_us_per_request
        );
        rows.push(row);
    }
    if let Some(file) = arguments.json {
        let text = serde_json::to_string_pretty(&rows)?;
        fs::write(&file, text).wrap_err_with(|| format!("write {}", file.display()))?;
    }
    ensure!(cluster.shut_down().await?, "a process did not stop with exit status 0");
    Ok(())
}

fn format_quantiles(quantiles: Quantiles) -> String {
    format!("{:>10.3} {:>10.3}", quantiles.p50, quantiles.p99)
}

/// Alternates calls to the engine and calls through the entry, half a period apart, so that both
/// run under the same machine load.
async fn measure(cluster: &Cluster, rate: u32, seconds: f64) -> Result<OverheadRow> {
    let count = ((f64::from(rate) * seconds) as usize).max(MIN_REQUESTS);
    let warm_up = (count as f64 * WARM_UP).ceil() as usize;
    let call = ChatCall::new("house-0001@1", "Is the gate open?", TOKENS);
    let http = HttpClient::new();
    let mut ticks = interval(Duration::from_secs(1) / rate / 2);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    let (entry, agent) =
        (process_usage(cluster, "entry-0")?, process_usage(cluster, "agent-engine-0")?);
    for index in 0..2 * (warm_up + count) {
        ticks.tick().await;
        let through = index % 2 == 1;
        let peer = if through { cluster.entry(0) } else { cluster.engine(0) };
        let counted = index >= 2 * warm_up;
        calls.spawn(timed_call(http.clone(), call.clone(), peer, through, counted));
    }
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    while let Some(result) = calls.join_next().await {
        let (is_through, counted, took) = result.wrap_err("join call")??;
        let histogram = if is_through { &mut through } else { &mut direct };
        if counted {
            histogram.record(took.as_micros() as u64)?;
        }
    }
    let (direct, through) = (quantiles(&direct), quantiles(&through));
    let all = (warm_up + count) as f64;
    let (entry_after, agent_after) =
        (process_usage(cluster, "entry-0")?, process_usage(cluster, "agent-engine-0")?);
    Ok(OverheadRow {
        rate,
        requests: count,
        direct_ms: direct,
        through_ms: through,
        added_ms: Quantiles { p50: through.p50 - direct.p50, p99: through.p99 - direct.p99 },
        entry_cpu_us_per_request: (entry_after.cpu_us - entry.cpu_us) / all,
        agent_cpu_us_per_request: (agent_after.cpu_us - agent.cpu_us) / all,
        entry_rss_kb: entry_after.rss_kb,
        agent_rss_kb: agent_after.rss_kb,
    })
}

async fn timed_call(
    http: HttpClient,
    call: ChatCall,
    peer: SocketAddr,
    through: bool,
    counted: bool,
) -> Result<(bool, bool, Duration)> {
    let started = Instant::now();
    let answer = call.send(&http, peer).await?;
    if through {
        call.check(&answer, "house-0001@1")?;
    } else if !answer.status.is_success() {
        // The first call through the entry loads the adapter; direct calls before that may fail.
        if counted {
            bail!("engine: {}", answer.text());
        }
    }
    Ok((through, counted, started.elapsed()))
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles { p50: millis(0.5), p99: millis(0.99) }
}

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// User and system CPU time, in microseconds.
    pub cpu_us: f64,
    /// Resident memory (`VmRSS`), in kilobytes.
    pub rss_kb: u64,
}

/// Reads the resource usage of a cluster process from /proc.
pub fn process_usage(cluster: &Cluster, name: &str) -> Result<ProcessUsage> {
    let Some(id) = cluster.process_id(name) else { bail!("{name} is not running") };
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).wrap_err("read process stat")?;
    // The second field is the program name in parentheses; it may contain spaces.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    // Fields 14 and 15: user and system time in ticks of 10 ms.
    let cpu_us = (ticks(11) + ticks(12)) * 10_000.0;
    let status =
        fs::read_to_string(format!("/proc/{id}/status")).wrap_err("read process status")?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
    Ok(ProcessUsage { cpu_us, rss_kb: resident.unwrap_or(0) })
}
