//! Results of a benchmark run, as a table and as JSON.

use super::{SystemCounts, driver::RequestSample, workload::Workload};
use comfy_table::{Table, presets};
use hdrhistogram::Histogram;
use plantain_core::{policy::RoutingPolicy, priority::Priority};
use serde::Serialize;
use std::time::Duration;

/// Statistics of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DurationStats {
    /// Arithmetic mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Sum over all requests.
    pub total: f64,
}

impl DurationStats {
    fn new(times: impl Iterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::<u64>::new(3).expect("3 digits are allowed");
        let mut total = Duration::ZERO;
        let mut count = 0_u32;
        for time in times {
            histogram.record(time.as_micros() as u64).expect("the histogram grows");
            total += time;
            count += 1;
        }
        let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            mean: total.as_secs_f64() * 1e3 / f64::from(count.max(1)),
            p50: millis(0.5),
            p95: millis(0.95),
            p99: millis(0.99),
            total: total.as_secs_f64() * 1e3,
        }
    }
}

/// Results of one policy; the fields are the keys of the JSON file.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyRow {
    /// Name of the routing policy.
    pub policy: &'static str,
    /// Name of the workload.
    pub workload: String,
    /// Seed of the trace.
    pub seed: u64,
    /// Requests sent after the warm-up.
    pub requests: usize,
    /// Time that answered requests waited for their adapter to load.
    pub load_stall_ms: DurationStats,
    /// `load_stall_ms` of upper-priority requests only.
    pub upper_load_stall_ms: DurationStats,
    /// Share of answered requests that waited for a load.
    pub stalled_share: f64,
    /// Mean batch size divided by the batch limit, over the steps of all engines. Idle engines run
    /// no steps.
    pub batch_efficiency: f64,
    /// Requests per second with a complete answer within the deadline.
    pub goodput_rps: f64,
    /// Time to first token.
    pub ttft_ms: DurationStats,
    /// Time per output token after the first.
    pub tpot_ms: DurationStats,
    /// Requests without a complete answer.
    pub refused: usize,
    /// Loads of recently evicted adapters.
    pub thrash: u64,
    /// Loads started at the weight store.
    pub loads: u64,
    /// Loads refused by the weight store.
    pub refused_loads: u64,
    /// Loads of an offline optimal cache, a lower bound (see `optimal`).
    pub optimal_loads: u64,
    /// Mean load stall of the requests sent in each second after the warm-up.
    pub stall_by_second_ms: Vec<f64>,
}

impl PolicyRow {
    /// Computes the results from the samples after the warm-up and the counters before and after
    /// the measurement.
    pub fn new(
        policy: RoutingPolicy,
        workload: &Workload,
        samples: &[RequestSample],
        before: &SystemCounts,
        after: &SystemCounts,
        optimal_loads: u64,
    ) -> Self {
        let answered: Vec<&RequestSample> = samples.iter().filter(|s| s.answered).collect();
        let stalls = |upper: bool| {
            let chosen = answered.iter().filter(move |s| !upper || s.priority == Priority::Upper);
            DurationStats::new(chosen.map(|s| s.load_stall))
        };
        let stalled = answered.iter().filter(|s| !s.load_stall.is_zero()).count();
        let steps = (after.steps - before.steps).max(1) as f64 * workload.batch_limit as f64;
        let in_time = samples.iter().filter(|s| s.in_time).count() as f64;
        Self {
            policy: policy.name(),
            workload: workload.name.clone(),
            seed: workload.seed,
            requests: samples.len(),
            load_stall_ms: stalls(false),
            upper_load_stall_ms: stalls(true),
            stalled_share: stalled as f64 / answered.len().max(1) as f64,
            batch_efficiency: (after.sequence_steps - before.sequence_steps) as f64 / steps,
            goodput_rps: in_time / workload.seconds.as_secs_f64(),
            ttft_ms: DurationStats::new(answered.iter().map(|s| s.ttft)),
            tpot_ms: DurationStats::new(answered.iter().filter_map(|s| s.token_gap)),
            refused: samples.len() - answered.len(),
            thrash: after.thrash - before.thrash,
            loads: after.loads - before.loads,
            refused_loads: after.refused_loads - before.refused_loads,
            optimal_loads,
            stall_by_second_ms: by_second(workload, &answered),
        }
    }
}

fn by_second(workload: &Workload, answered: &[&RequestSample]) -> Vec<f64> {
    let seconds = workload.seconds.as_secs() as usize;
    let mut sums = vec![(0.0, 0_u32); seconds];
    for sample in answered {
        let second = (sample.sent.saturating_sub(workload.warm_up)).as_secs() as usize;
        if let Some((sum, count)) = sums.get_mut(second) {
            *sum += sample.load_stall.as_secs_f64() * 1e3;
            *count += 1;
        }
    }
    sums.into_iter().map(|(sum, count)| sum / f64::from(count.max(1))).collect()
}

/// Prints the results as a table, one row per policy.
pub fn print(rows: &[PolicyRow]) {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header([
        "policy",
        "stall mean",
        "p50",
        "p95",
        "p99",
        "upper mean",
        "upper p95",
        "stalled",
        "batch",
        "goodput/s",
        "ttft p50",
        "ttft p95",
        "tpot p95",
        "refused",
        "thrash",
        "loads",
        "optimal",
    ]);
    for row in rows {
        table.add_row([
            row.policy.to_owned(),
            format!("{:.0}", row.load_stall_ms.mean),
            format!("{:.0}", row.load_stall_ms.p50),
            format!("{:.0}", row.load_stall_ms.p95),
            format!("{:.0}", row.load_stall_ms.p99),
            format!("{:.0}", row.upper_load_stall_ms.mean),
            format!("{:.0}", row.upper_load_stall_ms.p95),
            format!("{:.3}", row.stalled_share),
            format!("{:.3}", row.batch_efficiency),
            format!("{:.2}", row.goodput_rps),
            format!("{:.0}", row.ttft_ms.p50),
            format!("{:.0}", row.ttft_ms.p95),
            format!("{:.1}", row.tpot_ms.p95),
            row.refused.to_string(),
            row.thrash.to_string(),
            row.loads.to_string(),
            row.optimal_loads.to_string(),
        ]);
    }
    println!("{}", table.trim_fmt());
}
