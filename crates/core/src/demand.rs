//! Exponentially decayed counts: how much something was wanted lately.

use crate::ids::Timestamp;
use std::time::Duration;

/// Time in which a count falls to half.
pub const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);

/// A count whose past fades with [`DEMAND_HALF_LIFE`].
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedCount {
    value: f64,
    updated: Timestamp,
}

impl DecayedCount {
    /// Counts one more at `now`.
    pub fn record(&mut self, now: Timestamp) {
        self.value = self.read(now) + 1.0;
        self.updated = now;
    }

    /// The faded count at `now`.
    pub fn read(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.value * (-age / DEMAND_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Requests a second that would hold the count where it is.
    pub fn rate(&self, now: Timestamp) -> f64 {
        self.read(now) * std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64()
    }
}
