//! Benchmark that compares routing policies under a workload. Each policy has its own cluster of
//! real processes; all run at the same time with the same requests.

pub mod driver;
pub mod optimal;
pub mod report;
pub mod workload;

use crate::{
    cluster::{
        Cluster,
        plan::{ClusterPlan, EnginePlan, SitePlan},
    },
    engine::EngineRecords,
    options::BenchArguments,
    weights::WeightCounts,
};
use driver::{RequestSample, replay_trace};
use eyre::{Result, WrapErr, bail, ensure};
use plantain_core::policy::RoutingPolicy;
use report::PolicyRow;
use serde_json::Value;
use std::{fmt::Write, fs, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time::Instant};
use workload::{Trace, Workload};

/// Delay between the start of the last cluster and the first request.
const START_DELAY: Duration = Duration::from_millis(500);

/// Snapshot of a cluster's counters.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemCounts {
    /// Batch steps of all engines.
    pub steps: u64,
    /// Sum of the batch sizes over all steps.
    pub sequence_steps: u64,
    /// Loads started at the weight store.
    pub loads: u64,
    /// Loads refused by the weight store.
    pub refused_loads: u64,
    /// Loads of recently evicted adapters.
    pub thrash: u64,
}

/// Runs the comparison and prints a row per policy.
pub async fn run(arguments: BenchArguments) -> Result<()> {
    let workload = Arc::new(Workload::new(&arguments)?);
    let policies = policies(&arguments.policy)?;
    let trace = Arc::new(Trace::new(&workload));
    println!("{}", workload.describe(trace.requests.len()));
    let mut clusters = Vec::new();
    for policy in &policies {
        clusters.push((*policy, start(&workload, *policy).await?));
    }
    // All policies get the same requests at the same time.
    let begin = Instant::now() + START_DELAY;
    let mut runs = JoinSet::new();
    for (policy, cluster) in clusters {
        let (workload, trace) = (Arc::clone(&workload), Arc::clone(&trace));
        runs.spawn(async move { run_policy(policy, cluster, &workload, &trace, begin).await });
    }
    let mut rows = Vec::new();
    while let Some(row) = runs.join_next().await {
        rows.push(row.wrap_err("join run")??);
    }
    rows.sort_by_key(|row| policies.iter().position(|policy| policy.name() == row.policy));
    report::print(&rows);
    if let Some(file) = arguments.json {
        let text = serde_json::to_string_pretty(&rows)?;
        fs::write(&file, text).wrap_err_with(|| format!("write {}", file.display()))?;
    }
    Ok(())
}

fn policies(names: &str) -> Result<Vec<RoutingPolicy>> {
    if names == "all" {
        return Ok(RoutingPolicy::ALL.to_vec());
    }
    let parse = |name| RoutingPolicy::parse(name).map_err(|error| eyre::eyre!("--policy: {error}"));
    names.split(',').map(parse).collect()
}

/// Starts and configures a cluster for a policy. The baselines (all but `cost`) use LRU eviction
/// and grant loads first in, first out.
async fn start(workload: &Workload, policy: RoutingPolicy) -> Result<Cluster> {
    let is_cost_policy = policy == RoutingPolicy::Cost;
    let zones: Vec<&str> = workload.zones.iter().map(String::as_str).collect();
    let mut plan = ClusterPlan::new(zones.len(), 0, &zones);
    plan.engines = (0..workload.targets)
        .map(|index| EnginePlan {
            name: format!("scribe-{index}"),
            base: "scribe".into(),
            site: SitePlan::new("region-1", zones[index % zones.len()]),
        })
        .collect();
    plan.services.clear();
    policy.name().clone_into(&mut plan.policy);
    plan.eviction = if is_cost_policy { "worth" } else { "lru" }.into();
    plan.load_order = if is_cost_policy { "urgency" } else { "fifo" }.into();
    plan.slots = workload.slots;
    plan.batch_limit = workload.batch_limit;
    plan.step_us = workload.step_us;
    plan.sequence_us = workload.sequence_us;
    plan.adapter_us = workload.adapter_us;
    plan.prompt_us = workload.prompt_us;
    plan.store_rate = workload.store_rate;
    plan.load_ms = workload.load_ms;
    plan.load_rate = workload.store_rate / workload.targets as f64;
    plan.log_level = "warning".into();
    let cluster = Cluster::start(plan).await?;
    let mut lines = String::new();
    for index in 0..workload.adapters {
        writeln!(
            lines,
            r#"{{"name":"{}","base":"scribe","versions":[1],"current":1}}"#,
            workload::adapter_name(index)
        )?;
    }
    let file = cluster.directory().join("adapters.jsonl");
    fs::write(&file, lines).wrap_err("write adapters")?;
    cluster.control_ok(&["adapter", "import", &file.to_string_lossy()]).await?;
    let stall = workload.stall_weight.to_string();
    let batch = workload.batch_weight.to_string();
    let deadline = workload.deadline.as_millis().to_string();
    let queue = workload.queue_limit.to_string();
    let preset = [
        "preset",
        "put",
        "ordinary",
        "--stall-weight",
        &stall,
        "--batch-weight",
        &batch,
        "--deadline-ms",
        &deadline,
        "--queue-limit",
        &queue,
    ];
    cluster.control_ok(&preset).await?;
    cluster.wait_revision(2).await?;
    Ok(cluster)
}

/// Replays the trace against one cluster and computes its results from the samples and from
/// counters that are read at the start and the end of the measurement.
async fn run_policy(
    policy: RoutingPolicy,
    cluster: Cluster,
    workload: &Workload,
    trace: &Arc<Trace>,
    begin: Instant,
) -> Result<PolicyRow> {
    let entries: Vec<_> = (0..workload.zones.len()).map(|index| cluster.entry(index)).collect();
    let replay = replay_trace(entries, Arc::clone(trace), begin, workload.deadline);
    let at_start = async {
        tokio::time::sleep_until(begin + workload.warm_up).await;
        count(&cluster, workload.targets).await
    };
    let at_end = async {
        tokio::time::sleep_until(begin + workload.warm_up + workload.seconds).await;
        count(&cluster, workload.targets).await
    };
    let (samples, before, after) = tokio::join!(replay, at_start, at_end);
    let (before, after) = (before?, after?);
    let counted: Vec<RequestSample> =
        samples.into_iter().filter(|sample| sample.sent >= workload.warm_up).collect();
    ensure!(!counted.is_empty(), "no requests after the warm-up");
    if let Some(wrong) = counted.iter().find_map(|sample| sample.wrong.as_ref()) {
        bail!("{}: wrong answer: {wrong}", policy.name());
    }
    let optimal = optimal::loads(trace, workload);
    let row = PolicyRow::new(policy, workload, &counted, &before, &after, optimal);
    ensure!(cluster.shut_down().await?, "a process did not stop with exit status 0");
    Ok(row)
}

async fn count(cluster: &Cluster, targets: usize) -> Result<SystemCounts> {
    let mut counts = SystemCounts::default();
    for index in 0..targets {
        let records: EngineRecords =
            cluster.page(cluster.engine(index), "/standin/records").await?;
        counts.steps += records.steps;
        counts.sequence_steps += records.sequence_steps;
        let status: Value = cluster.page(cluster.engine_agent_admin(index), "/status").await?;
        counts.thrash += status["thrash"].as_u64().unwrap_or(0);
    }
    let store: WeightCounts = cluster.page(cluster.weights(), "/standin/counts").await?;
    counts.loads = store.loads;
    counts.refused_loads = store.refused;
    Ok(counts)
}
