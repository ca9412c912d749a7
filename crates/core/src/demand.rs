//! Exponentially decayed counts, as a measure of recent demand.

use crate::ids::Timestamp;
use std::time::Duration;

/// A count that falls to half in each half-life.
#[derive(Clone, Copy, Debug)]
pub struct DecayedCount {
    half_life: Duration,
    value: f64,
    updated: Timestamp,
}

impl DecayedCount {
    /// Starts at zero.
    pub fn new(half_life: Duration) -> Self {
        Self { half_life, value: 0.0, updated: Duration::ZERO }
    }

    /// Adds 1 at `now`.
    pub fn record(&mut self, now: Timestamp) {
        self.add(1.0, now);
    }

    /// Adds `count` at `now`.
    pub fn add(&mut self, count: f64, now: Timestamp) {
        self.value = self.read(now) + count;
        self.updated = now;
    }

    /// Time since the last addition.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.updated)
    }

    /// The decayed count at `now`.
    pub fn read(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.value * (-age / self.half_life.as_secs_f64()).exp2()
    }

    /// The constant rate, in counts a second, that would keep the count at its present value.
    pub fn rate(&self, now: Timestamp) -> f64 {
        self.read(now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }
}
