//! A token bucket whose capacity and rate may change.

use crate::ids::Timestamp;

/// Units that may still be used, refilled at a rate up to a capacity; below 0 while overdrawn.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    refilled: Timestamp,
}

impl TokenBucket {
    /// Starts with `level` units.
    pub fn new(level: f64, now: Timestamp) -> Self {
        Self { level, refilled: now }
    }

    /// Refills for the time since the last refill; returns the level.
    pub fn refill(&mut self, rate: f64, capacity: f64, now: Timestamp) -> f64 {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.level = (self.level + rate * passed).min(capacity);
        self.level
    }

    /// Level without a refill for the time since the last one.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adds units; the next refill caps the level at the capacity.
    pub fn add(&mut self, units: f64) {
        self.level += units;
    }

    /// Removes units; the level may fall below 0.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
    }
}
