//! Workloads of the benchmark and the request traces that are drawn from them.

use crate::options::BenchArguments;
use eyre::{Result, bail, ensure};
use plantain_core::priority::Priority;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use std::time::Duration;

/// Request rate in the first half of the warm-up, as a share of the workload's rate.
const WARM_UP_RATE_SHARE: f64 = 0.4;

/// Parameters of a workload and of the cluster that it runs on.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name of the workload.
    pub name: String,
    /// Availability zones; each has an entry.
    pub zones: Vec<String>,
    /// Number of engines.
    pub targets: usize,
    /// Adapter slots per engine.
    pub slots: usize,
    /// Maximum number of sequences in an engine's batch.
    pub batch_limit: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Exponent of the Zipf distribution of the adapters' popularity.
    pub skew: f64,
    /// Requests per second.
    pub rate: f64,
    /// Tokens per prompt.
    pub prompt_tokens: u32,
    /// Mean number of tokens per answer.
    pub answer_tokens: u32,
    /// Share of upper-priority requests, from 0 to 1.
    pub upper_share: f64,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Maximum number of requests that wait at one target.
    pub queue_limit: u32,
    /// Time before the measurement, whose requests are not counted.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub seconds: Duration,
    /// Time after the warm-up at which an unpopular adapter becomes the most popular one, if ever.
    pub shift_at: Option<Duration>,
    /// Loads that may start per second at the weight store.
    pub store_rate: f64,
    /// Duration of a load at full speed, in milliseconds.
    pub load_ms: u64,
    /// Base time of a batch step, in microseconds.
    pub step_us: u64,
    /// Time that each sequence adds to a step, in microseconds.
    pub sequence_us: u64,
    /// Time that each distinct adapter adds to a step, in microseconds.
    pub adapter_us: u64,
    /// Time that each prompt token to prefill adds to a step, in microseconds.
    pub prompt_us: u64,
    /// Weight of load stalls in the cost policy.
    pub stall_weight: f64,
    /// Weight of filling batches in the cost policy.
    pub batch_weight: f64,
    /// Seed of the trace.
    pub seed: u64,
}

impl Workload {
    /// Creates the named workload, with the parameters that are set on the command line.
    pub fn new(arguments: &BenchArguments) -> Result<Self> {
        let mut workload = match arguments.workload.as_str() {
            "sripada" => sripada(),
            "acseq" => acseq(),
            other => bail!("--workload: `{other}` is not sripada or acseq"),
        };
        let a = arguments;
        workload.seed = a.seed;
        workload.adapters = a.adapters.unwrap_or(workload.adapters);
        workload.skew = a.skew.unwrap_or(workload.skew);
        workload.rate = a.rate.unwrap_or(workload.rate);
        workload.targets = a.targets.unwrap_or(workload.targets);
        workload.slots = a.slots.unwrap_or(workload.slots);
        workload.prompt_tokens = a.prompt_tokens.unwrap_or(workload.prompt_tokens);
        workload.answer_tokens = a.answer_tokens.unwrap_or(workload.answer_tokens);
        workload.upper_share = a.upper_share.unwrap_or(workload.upper_share);
        workload.stall_weight = a.stall_weight.unwrap_or(workload.stall_weight);
        workload.batch_weight = a.batch_weight.unwrap_or(workload.batch_weight);
        workload.seconds = a.seconds.map_or(workload.seconds, Duration::from_secs);
        workload.warm_up = a.warm_up.map_or(workload.warm_up, Duration::from_secs);
        workload.shift_at = a.shift_at.map(Duration::from_secs).or(workload.shift_at);
        ensure!(workload.adapters > 1, "--adapters: expected at least 2");
        ensure!(workload.rate > 0.0 && workload.skew >= 0.0, "--rate, --skew: expected above 0");
        ensure!(workload.targets > 0 && workload.slots > 0, "--targets, --slots: expected above 0");
        ensure!((0.0..=1.0).contains(&workload.upper_share), "--upper-share: expected 0 to 1");
        ensure!(workload.answer_tokens > 0, "--answer-tokens: expected above 0");
        Ok(workload)
    }

    /// Title line of the result table.
    pub fn describe(&self, requests: usize) -> String {
        format!(
            "{}: {} adapters, Zipf {}, {} requests at {}/s, {} engines x {} slots, {} zones, seed {}",
            self.name,
            self.adapters,
            self.skew,
            requests,
            self.rate,
            self.targets,
            self.slots,
            self.zones.len(),
            self.seed
        )
    }
}

fn to_strings(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

fn sripada() -> Workload {
    Workload {
        name: "sripada".into(),
        zones: to_strings(&["kandy", "nuwara", "hatton"]),
        targets: 12,
        slots: 8,
        batch_limit: 16,
        adapters: 3_000,
        skew: 1.1,
        rate: 12.0,
        prompt_tokens: 100,
        answer_tokens: 20,
        upper_share: 0.3,
        deadline: Duration::from_secs(20),
        queue_limit: 64,
        warm_up: Duration::from_secs(80),
        seconds: Duration::from_secs(40),
        shift_at: None,
        store_rate: 4.0,
        load_ms: 500,
        step_us: 10_000,
        sequence_us: 200,
        adapter_us: 500,
        prompt_us: 50,
        stall_weight: 1.0,
        batch_weight: 0.2,
        seed: 1,
    }
}

fn acseq() -> Workload {
    Workload {
        name: "acseq".into(),
        zones: to_strings(&["montreal-est", "laval", "longueuil", "quebec-ville"]),
        answer_tokens: 120,
        prompt_tokens: 1_500,
        rate: 38.0,
        step_us: 25_000,
        sequence_us: 500,
        adapter_us: 2_000,
        deadline: Duration::from_secs(20),
        stall_weight: 0.5,
        batch_weight: 3.0,
        ..sripada()
    }
}

/// Name of adapter `index`.
pub fn adapter_name(index: usize) -> String {
    format!("member-{index:05}")
}

/// A request of a trace.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    /// Time of sending, relative to the start of the trace.
    pub at: Duration,
    /// Index of the adapter.
    pub adapter: usize,
    /// Priority class.
    pub priority: Priority,
    /// Tokens to generate.
    pub tokens: u32,
    /// Content of the user's message.
    pub prompt: String,
    /// Number that selects the entry by its remainder modulo the number of entries.
    pub entry: usize,
}

/// All requests of a run; each policy gets the same ones.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Requests in the order of sending.
    pub requests: Vec<TraceRequest>,
}

impl Trace {
    /// Draws a trace: arrivals are a Poisson process, and adapters, ranked in random order, have
    /// Zipf popularity.
    pub fn new(workload: &Workload) -> Self {
        let mut random = StdRng::seed_from_u64(workload.seed);
        let mut order: Vec<usize> = (0..workload.adapters).collect();
        order.shuffle(&mut random);
        let cumulative = zipf(workload.adapters, workload.skew);
        let end = workload.warm_up + workload.seconds;
        let shift = workload.shift_at.map(|at| workload.warm_up + at);
        let mut shifted = false;
        let mut at = Duration::ZERO;
        let mut requests = Vec::new();
        loop {
            let rate = workload.rate * rate_share(workload, at);
            let gap = -random.random_range(f64::EPSILON..1.0_f64).ln() / rate;
            at += Duration::from_secs_f64(gap);
            if at >= end {
                return Self { requests };
            }
            if !shifted && shift.is_some_and(|shift| at >= shift) {
                // An unpopular adapter, at 90 % of the ranking, swaps ranks with the most popular.
                order.swap(0, workload.adapters * 9 / 10);
                shifted = true;
            }
            let draw = random.random_range(0.0..1.0);
            let rank = cumulative.partition_point(|&sum| sum < draw).min(workload.adapters - 1);
            requests.push(draw_request(workload, &mut random, at, order[rank]));
        }
    }
}

/// Request rate at time `at`, as a share of the workload's rate. After a cold start all slots are
/// empty. At a request rate near the weight store's limit, the backlog of loads would take minutes
/// to clear, so the first half of the warm-up runs at a lower rate.
fn rate_share(workload: &Workload, at: Duration) -> f64 {
    if at < workload.warm_up / 2 { WARM_UP_RATE_SHARE } else { 1.0 }
}

fn draw_request(
    workload: &Workload,
    random: &mut StdRng,
    at: Duration,
    adapter: usize,
) -> TraceRequest {
    let upper = random.random_bool(workload.upper_share);
    let spread = random.random_range(0.5..1.5);
    // Prompts for an adapter share a prefix, like prompts with the same instructions.
    let prefix = format!("{}: ", adapter_name(adapter)).repeat(16);
    let question: u32 = random.random();
    let length = (workload.prompt_tokens as usize * 4).saturating_sub(prefix.len());
    let prompt = format!("{prefix}{question:0>length$}");
    TraceRequest {
        at,
        adapter,
        priority: if upper { Priority::Upper } else { Priority::Normal },
        tokens: ((f64::from(workload.answer_tokens) * spread) as u32).max(1),
        prompt,
        entry: random.random_range(0..usize::from(u16::MAX)),
    }
}

/// Cumulative probabilities of a Zipf distribution over `count` ranks.
fn zipf(count: usize, skew: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-skew)).collect();
    let total: f64 = weights.iter().sum();
    weights
        .iter()
        .scan(0.0, |sum, weight| {
            *sum += weight / total;
            Some(*sum)
        })
        .collect()
}
