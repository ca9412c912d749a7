//! A token bucket whose capacity and rate may change.

use crate::ids::Timestamp;

/// Units that may still be used: refilled at a rate, up to a capacity, and below 0 while overdrawn.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    refilled: Timestamp,
}

impl TokenBucket {
    /// Starts with so many units.
    pub fn new(level: f64, now: Timestamp) -> Self {
        Self { level, refilled: now }
    }

    /// Refills for the time since the last call; returns what there is.
    pub fn refill(&mut self, rate: f64, capacity: f64, now: Timestamp) -> f64 {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.level = (self.level + rate * passed).min(capacity);
        self.level
    }

    /// What there was at the last refill.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes units out, also beyond what there is.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
    }
}
