//! Running means of durations.

use std::time::Duration;

/// Weight of a new sample in a [`RunningMean`].
const SAMPLE_SHARE: f64 = 0.1;

/// Exponentially weighted mean of durations.
#[derive(Clone, Copy, Debug)]
pub struct RunningMean {
    seconds: f64,
    is_initial: bool,
}

impl RunningMean {
    /// Starts at an initial value that the first sample replaces. If it decayed instead, targets that
    /// have not reported would look worse than all others for dozens of requests.
    pub fn new(initial: Duration) -> Self {
        Self { seconds: initial.as_secs_f64(), is_initial: true }
    }

    /// Moves the mean towards `sample`; the first sample replaces the initial value.
    pub fn record(&mut self, sample: Duration) {
        if std::mem::take(&mut self.is_initial) {
            self.seconds = sample.as_secs_f64();
        }
        self.seconds += (sample.as_secs_f64() - self.seconds) * SAMPLE_SHARE;
    }

    /// The current mean.
    pub fn read(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
