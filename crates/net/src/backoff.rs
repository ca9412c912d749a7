//! Pauses between attempts, with jitter so that many processes do not come back at once.

use rand::RngExt;
use std::time::Duration;

/// Doubles the pause with each failure in a row.
#[derive(Debug)]
pub struct RetryBackoff {
    first: Duration,
    limit: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Pauses from about `first` up to about `limit`.
    pub fn new(first: Duration, limit: Duration) -> Self {
        Self { first, limit, failures: 0 }
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The next pause: between half of it and all of it.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.first.saturating_mul(1 << self.failures.min(10)).min(self.limit);
        self.failures += 1;
        jitter(pause)
    }
}

/// Between half of `pause` and all of it.
pub fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..=1.0))
}
