//! Passive health checks: a target's recent failures, from the outcomes of its calls. Active health checks would cost
//! a slot at the target, and pass while it fails part of its calls.

use crate::ids::Timestamp;
use std::time::Duration;

/// Half-life of an outcome's weight: long enough to span several calls of a target at tens of calls a second, short
/// enough that a repaired target is back within seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Answered calls that every target is credited with, so that a single failure weighs little.
const PRIOR_CALLS: f64 = 4.0;
/// First backoff after [`CallOutcome::Silent`]; it doubles each time until a call gets an answer or fails otherwise.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff. The list lags: it drops a target about four seconds after the target's end.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Outcome of a call at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// A complete answer.
    Answered,
    /// A failure, a refusal, or an answer that broke off.
    Failed,
    /// No connection, or a connection without an answer.
    Silent,
}

/// Decayed counts of outcomes, and an exponential backoff after [`CallOutcome::Silent`].
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    calls: f64,
    failures: f64,
    updated: Timestamp,
    silences: u32,
    backoff_until: Timestamp,
}

impl TargetHealth {
    /// Counts an outcome at `now`.
    pub fn record(&mut self, outcome: CallOutcome, now: Timestamp) {
        let (calls, failures) = self.decayed(now);
        let is_failure = outcome != CallOutcome::Answered;
        (self.calls, self.failures) = (calls + 1.0, failures + f64::from(u8::from(is_failure)));
        self.updated = now;
        match outcome {
            CallOutcome::Silent if now >= self.backoff_until => {
                let backoff = FIRST_BACKOFF * (1 << self.silences.min(4));
                self.backoff_until = now + backoff.min(MAX_BACKOFF);
                self.silences += 1;
            }
            CallOutcome::Silent => {}
            CallOutcome::Answered | CallOutcome::Failed => self.silences = 0,
        }
    }

    /// Decayed share of calls that failed, from 0 to 1.
    pub fn failure_share(&self, now: Timestamp) -> f64 {
        let (calls, failures) = self.decayed(now);
        failures / (calls + PRIOR_CALLS)
    }

    /// Whether the target is to get no calls at `now`.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    fn decayed(&self, now: Timestamp) -> (f64, f64) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let factor = (-age / HALF_LIFE.as_secs_f64()).exp2();
        (self.calls * factor, self.failures * factor)
    }
}
