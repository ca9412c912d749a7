//! Load shedding for plain targets: how loaded they are by the time of their answers, and how many calls to turn away.
//!
//! Pattern: a service loses some of its targets, or many callers come at once, and calls arrive faster
//! than the rest can work. A target's own queue then stays full: as many calls are served as with a
//! short one, but all of them late. With 6 slots, a queue of 24 and 30 ms a call, the wait is 120 ms,
//! which with the work itself is the whole of a 150 ms objective. Turning away what is too much at once
//! keeps the wait short for the others, and tells those turned away at once when to come back.
//!
//! Many routers share few slots, so that most have less than one call in flight at a target: a limit
//! on calls in flight would not bind. Each turns away a share of its calls instead, by what it sees.

use crate::ids::Timestamp;
use std::time::Duration;

/// Weight of a new sample. A router sees some ten answers a second of a target, and one in a hundred
/// takes five times as long as others, which alone must not turn anybody away.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Age up to which the estimate stands.
const FRESH_AGE: Duration = Duration::from_millis(400);
/// Time in which an older estimate falls to half, so that a target that is left alone gets calls again.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Expected time to an answer, as a part of the objective, from which calls are turned away. The work
/// itself varies by about half and waits vary more, so that a mean of two thirds is in time for most.
const SHED_START: f64 = 0.45;
/// Share turned away for each part of the objective beyond that. Twice the calls that can be served
/// then settle at 0.7 of the objective.
const SHED_SLOPE: f64 = 2.0;
/// Weight of a new sample of the calls at a service's targets; a router has some ten calls a second.
const CONCURRENCY_WEIGHT: f64 = 0.1;
/// Part of the targets' slots from which calls are taken to wait: they are not spread evenly.
const QUEUE_SHARE: f64 = 0.8;
/// Largest share turned away: some calls must go through, or nothing would be learnt.
const SHED_LIMIT: f64 = 0.8;

/// Smoothed time to an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyGauge {
    millis: f64,
    updated: Timestamp,
}

impl LatencyGauge {
    /// Takes a sample.
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
    /// Takes a sample, at each call.
    pub fn record(&mut self, in_flight: u32) {
        self.calls += (f64::from(in_flight) - self.calls) * CONCURRENCY_WEIGHT;
    }

    /// Whether calls wait at the targets, as far as can be told: whether those of all routers together,
    /// taken to be like this one, come near the targets' slots. Without this, targets that have become
    /// slow would look overloaded, and callers be turned away from slots that are free.
    pub fn shows_queue(&self, routers: usize, slots: u32) -> bool {
        self.calls * routers as f64 >= f64::from(slots) * QUEUE_SHARE
    }
}

/// Share of calls to turn away when the least loaded target is expected to take `expected_ms`.
pub fn shed_share(expected_ms: f64, objective: Duration) -> f64 {
    let part = expected_ms / (objective.as_secs_f64() * 1_000.0).max(1.0);
    ((part - SHED_START) * SHED_SLOPE).clamp(0.0, SHED_LIMIT)
}
