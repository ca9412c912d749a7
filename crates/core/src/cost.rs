//! The cost of a target for one request, in milliseconds of expected wait.

use std::time::Duration;

/// Gain, in milliseconds, of joining a batch that is nearly full instead of an idle one; determined by
/// the benchmark, see docs/design/routing.md.
const BATCH_GAIN_MS: f64 = 20.0;

/// Weights of the cost terms, from the preset in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostWeights {
    /// Weight of the load stall.
    pub stall: f64,
    /// Weight of the batch term.
    pub batch: f64,
}

/// An entry's estimate of a target when it chooses one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetEstimate {
    /// Expected wait for the adapter.
    pub load_stall: Duration,
    /// Requests running or waiting at the target, including this entry's offers in flight.
    pub occupied: u32,
    /// Requests that the target runs at once.
    pub batch_limit: u32,
    /// Mean time that a request runs.
    pub service_time: Duration,
    /// Round trip to its availability zone.
    pub zone_round_trip: Duration,
}

/// Expected wait for the target in milliseconds, less the gain of filling its batch.
pub fn target_cost(weights: CostWeights, estimate: &TargetEstimate) -> f64 {
    let stall = millis(estimate.load_stall) * weights.stall;
    stall + queue_wait(estimate) - batch_gain(estimate) * weights.batch
        + millis(estimate.zone_round_trip)
}

// A batch that is not full starts a request at once; each batch ahead costs a service time.
fn queue_wait(estimate: &TargetEstimate) -> f64 {
    let limit = estimate.batch_limit.max(1);
    let ahead = f64::from((estimate.occupied + 1).saturating_sub(limit)) / f64::from(limit);
    ahead * millis(estimate.service_time)
}

fn batch_gain(estimate: &TargetEstimate) -> f64 {
    let limit = estimate.batch_limit.max(1);
    if estimate.occupied >= limit {
        return 0.0;
    }
    f64::from(estimate.occupied) / f64::from(limit) * BATCH_GAIN_MS
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
