//! Load shedding for plain targets: estimates their load from their latency, and how many calls to refuse.
//!
//! When a service loses some of its targets, or many callers come at once, calls arrive faster than the
//! remaining targets can serve them. A target's own queue then stays full: throughput is the same as with a
//! short queue, but every call is late. With 6 slots, a queue of 24 and 30 ms a call, the wait is 120 ms,
//! which with the run itself uses up an objective of 150 ms. Refusing the excess calls at once keeps the wait
//! short for the others, and the refused callers learn at once when to retry.
//!
//! Many routers share few slots, so that most have less than one call in flight at a target and a limit on
//! calls in flight would have no effect. Instead each router refuses a share of its calls by the latency that
//! it observes.

use crate::ids::Timestamp;
use std::time::Duration;

/// Weight of a new sample. A router gets about ten answers a second from a target, and one in a hundred takes
/// five times as long as the others; that alone must not cause shedding.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Age up to which the estimate does not decay.
const FRESH_AGE: Duration = Duration::from_millis(400);
/// Half-life of an older estimate, so that a target without calls gets some again.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Expected latency, as a share of the objective, above which calls are refused. Run times vary by about half and
/// waits vary more, so that most calls meet their objective at a mean of two thirds of it.
const SHED_START: f64 = 0.45;
/// Increase of the refused share with the latency above [`SHED_START`]: 0.1 of the objective more refuses
/// 0.2 more of the calls. At twice the calls that can be served, the latency settles at 0.7 of the objective.
const SHED_SLOPE: f64 = 2.0;
/// Weight of a new sample of the number of calls in flight; a router takes one at each call, about ten a second.
const CONCURRENCY_WEIGHT: f64 = 0.1;
/// Share of the targets' slots in use above which calls count as queueing; below 1 as they are spread unevenly.
const QUEUE_SHARE: f64 = 0.8;
/// Largest share of calls refused: some must go through to measure the latency.
const SHED_LIMIT: f64 = 0.8;

/// Smoothed latency of a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyGauge {
    millis: f64,
    updated: Timestamp,
}

impl LatencyGauge {
    /// Adds a sample.
    pub fn record(&mut self, latency: Duration, now: Timestamp) {
        let sample = latency.as_secs_f64() * 1_000.0;
        let known = self.read_ms(now);
        self.millis = known + (sample - known) * SAMPLE_WEIGHT;
        self.updated = now;
    }

    /// The estimate in milliseconds; 0 without samples.
    pub fn read_ms(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.updated).saturating_sub(FRESH_AGE).as_secs_f64();
        self.millis * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Smoothed number of calls of one router that are at a service's targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyGauge {
    calls: f64,
}

impl ConcurrencyGauge {
    /// Adds a sample, once for each new call.
    pub fn record(&mut self, in_flight: u32) {
        self.calls += (f64::from(in_flight) - self.calls) * CONCURRENCY_WEIGHT;
    }

    /// Whether calls probably queue at the targets: whether the calls of all routers, each estimated to have
    /// as many as this one, nearly fill the targets' slots. Without this, slow targets would look overloaded,
    /// and calls would be refused although slots are free.
    pub fn shows_queue(&self, routers: usize, slots: u32) -> bool {
        self.calls * routers as f64 >= f64::from(slots) * QUEUE_SHARE
    }
}

/// Share of calls to refuse if the fastest target is expected to take `expected_ms`.
pub fn shed_share(expected_ms: f64, objective: Duration) -> f64 {
    let part = expected_ms / (objective.as_secs_f64() * 1_000.0).max(1.0);
    ((part - SHED_START) * SHED_SLOPE).clamp(0.0, SHED_LIMIT)
}
