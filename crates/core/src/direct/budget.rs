//! The fleet's retry budget to a service, kept by each router for its own share.

use crate::ids::Timestamp;
use std::time::Duration;

/// Steps into which the window is cut; a step's counts leave the window together.
const WINDOW_STEPS: usize = 20;
/// Share of the fleet's allowance that is used: other routers' counts arrive late, and the rest is for
/// routers that have just started.
const USED_SHARE: f64 = 0.7;
/// Retries beyond the ratio at a router that has just started, in place of its share of the slack: enough
/// for a first call that is refused. Thirty routers that start together take thirty, which the unused part
/// of the allowance covers from 50 calls a second on.
const FRESH_SLACK: f64 = 1.0;

/// What the whole fleet may retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries for each first send in the window.
    pub ratio: f64,
    /// Retries beyond that in one window, over all routers.
    pub slack: f64,
    /// Length of the window.
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
    /// Starts with nothing counted, at a router that started at `started`.
    pub fn new(allowance: RetryAllowance, started: Timestamp) -> Self {
        Self { allowance, started, steps: [StepCounts::default(); WINDOW_STEPS] }
    }

    /// Counts a call of a caller.
    pub fn record_call(&mut self, now: Timestamp) {
        self.step(now).calls += 1;
    }

    /// Takes one retry out of the budget, shared with `routers` routers in all, or refuses.
    ///
    /// The ratio follows this router's own calls, so shares need no agreement; only the slack is
    /// divided. A router that knows of too few others would overdraw, which [`USED_SHARE`] covers.
    ///
    /// Within a window of its start a router has no share of the slack: it does not know yet how many there
    /// are, nor what its incarnation before took. Routers that were killed together while targets failed
    /// would otherwise each take all of it, again.
    pub fn try_retry(&mut self, now: Timestamp, routers: usize) -> bool {
        let first = self.step_number(now).saturating_sub(WINDOW_STEPS as u64 - 1);
        let inside = self.steps.iter().filter(|step| step.number >= first);
        let (calls, retries) =
            inside.fold((0, 0), |sum, step| (sum.0 + step.calls, sum.1 + step.retries));
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
        // Numbers start above the window, so that a fresh array counts as outside of it.
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
