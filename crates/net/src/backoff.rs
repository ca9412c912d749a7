//! Exponential backoff with jitter, so that many processes do not retry at the same time.

use rand::RngExt;
use std::time::Duration;

/// Exponential backoff: the pause doubles with each consecutive failure.
#[derive(Debug)]
pub struct RetryBackoff {
    first: Duration,
    limit: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Creates a backoff whose pauses grow from `first` to `limit`, before jitter.
    pub fn new(first: Duration, limit: Duration) -> Self {
        Self { first, limit, failures: 0 }
    }

    /// Resets the pause to the first one after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the pause after it, with jitter.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.first.saturating_mul(1 << self.failures.min(10)).min(self.limit);
        self.failures += 1;
        jitter(pause)
    }
}

/// Returns a uniformly random duration between half of `pause` and `pause`.
pub fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..=1.0))
}
