//! Retry budget of the whole fleet for one service; each router enforces its own share.

use crate::ids::Timestamp;
use std::time::Duration;

/// Steps that the window is divided into; all counts of a step leave the window together.
const WINDOW_STEPS: usize = 20;
/// Share of the fleet's allowance that routers use. The rest is for routers that have just started, and for routers
/// that divide the slack among too few others, as they learn the number of routers late.
const USED_SHARE: f64 = 0.7;
/// Retries beyond the ratio at a router that has just started, in place of its share of the slack: enough
/// for a first call that is refused. Thirty routers that start together use thirty, which the unused part
/// of the allowance covers from 50 calls a second on.
const FRESH_SLACK: f64 = 1.0;

/// Retries that the whole fleet may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries per first send within the window.
    pub ratio: f64,
    /// Further retries in one window, over all routers.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    number: u64,
    calls: u32,
    retries: u32,
}

/// Counts calls and retries of one service over a sliding window.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    allowance: RetryAllowance,
    started: Timestamp,
    steps: [StepCounts; WINDOW_STEPS],
}

impl FleetRetryBudget {
    /// Starts with empty counts, at a router that started at `started`.
    pub fn new(allowance: RetryAllowance, started: Timestamp) -> Self {
        Self { allowance, started, steps: [StepCounts::default(); WINDOW_STEPS] }
    }

    /// Counts the first send of a call.
    pub fn record_call(&mut self, now: Timestamp) {
        self.step(now).calls += 1;
    }

    /// Takes one retry out of the budget in a fleet of `routers`; returns false if the budget is exhausted.
    ///
    /// The ratio applies to this router's own calls and needs no coordination; only the slack is divided. A router
    /// that knows too few others would overdraw it, which `USED_SHARE` covers.
    ///
    /// Until one window after its start, a router gets no more slack than `FRESH_SLACK`: it does not know the number
    /// of routers yet, nor what it used before it restarted. Otherwise routers that were killed together while
    /// targets failed would each use the full slack once more.
    pub fn try_retry(&mut self, now: Timestamp, routers: usize) -> bool {
        let first = self.step_number(now).saturating_sub(WINDOW_STEPS as u64 - 1);
        let in_window = self.steps.iter().filter(|step| step.number >= first);
        let (calls, retries) =
            in_window.fold((0, 0), |sum, step| (sum.0 + step.calls, sum.1 + step.retries));
        let is_fresh = now.saturating_sub(self.started) < self.allowance.window;
        let share = USED_SHARE * self.allowance.slack / routers.max(1) as f64;
        let slack = if is_fresh { FRESH_SLACK.min(share) } else { share };
        let allowed = USED_SHARE * self.allowance.ratio * f64::from(calls) + slack;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.step(now).retries += 1;
        true
    }

    fn step_number(&self, now: Timestamp) -> u64 {
        let length = self.allowance.window / WINDOW_STEPS as u32;
        // Step numbers start beyond one window, so that the initial array counts as expired.
        (now.as_nanos() / length.as_nanos().max(1)) as u64 + 2 * WINDOW_STEPS as u64
    }

    fn step(&mut self, now: Timestamp) -> &mut StepCounts {
        let number = self.step_number(now);
        let step = &mut self.steps[(number % WINDOW_STEPS as u64) as usize];
        if step.number != number {
            *step = StepCounts { number, calls: 0, retries: 0 };
        }
        step
    }
}
