//! Running means of durations.

use std::time::Duration;

/// Share of a new sample in a [`RunningMean`].
const SAMPLE_SHARE: f64 = 0.1;

/// Exponentially weighted mean of durations.
#[derive(Clone, Copy, Debug)]
pub struct RunningMean {
    seconds: f64,
    is_guess: bool,
}

impl RunningMean {
    /// Starts at a guess that the first sample replaces. Fading it out instead would leave targets
    /// that have not reported looking worse than all others for dozens of requests.
    pub fn new(guess: Duration) -> Self {
        Self { seconds: guess.as_secs_f64(), is_guess: true }
    }

    /// Takes in one sample.
    pub fn record(&mut self, sample: Duration) {
        if std::mem::take(&mut self.is_guess) {
            self.seconds = sample.as_secs_f64();
        }
        self.seconds += (sample.as_secs_f64() - self.seconds) * SAMPLE_SHARE;
    }

    /// The mean now.
    pub fn read(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
