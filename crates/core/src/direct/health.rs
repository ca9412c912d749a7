//! How well a target did lately, from what its calls met. Health checks cost a slot at the target
//! and stay good while a target fails part of its calls, so the calls themselves are the evidence.

use crate::ids::Timestamp;
use std::time::Duration;

/// Time in which the memory of an outcome fades to half: long enough to span some calls of a target
/// at tens of calls a second, short enough that a mended target is back within seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Weight of the assumption that a target without evidence is well, in calls.
const PRIOR_CALLS: f64 = 4.0;
/// First time for which a target that could not be connected to is left alone.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// Longest such time; the lagging list tells of targets that are gone in about four seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// What a call met at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// An answer.
    Answered,
    /// A failure, a refusal, or an answer that broke off.
    Failed,
    /// No connection, or silence on one.
    Silent,
}

/// Decayed counts of outcomes, and a backoff after silence.
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

    /// Share of calls that failed lately, from 0 to 1.
    pub fn failure_share(&self, now: Timestamp) -> f64 {
        let (calls, failures) = self.decayed(now);
        failures / (calls + PRIOR_CALLS)
    }

    /// Whether the target is left alone at `now`.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    fn decayed(&self, now: Timestamp) -> (f64, f64) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let factor = (-age / HALF_LIFE.as_secs_f64()).exp2();
        (self.calls * factor, self.failures * factor)
    }
}
