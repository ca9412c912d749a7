//! Units used within a sliding window, in steps.

use crate::ids::Timestamp;
use std::time::Duration;

/// Steps that the window is divided into; all units of a step leave the window together.
const WINDOW_STEPS: u64 = 16;

/// Units used within the last window.
#[derive(Clone, Debug)]
pub(super) struct UsageWindow {
    step: Duration,
    /// Number and units of each step.
    steps: [(u64, i64); WINDOW_STEPS as usize],
}

impl UsageWindow {
    pub(super) fn new(window: Duration) -> Self {
        let step = (window / WINDOW_STEPS as u32).max(Duration::from_millis(1));
        Self { step, steps: [(0, 0); WINDOW_STEPS as usize] }
    }

    pub(super) fn add(&mut self, units: i64, now: Timestamp) {
        let number = self.number(now);
        let step = &mut self.steps[(number % WINDOW_STEPS) as usize];
        if step.0 != number {
            *step = (number, 0);
        }
        step.1 += units;
    }

    pub(super) fn sum(&self, now: Timestamp) -> i64 {
        let first = self.number(now) - WINDOW_STEPS + 1;
        self.steps.iter().filter(|(number, _)| *number >= first).map(|(_, units)| units).sum()
    }

    /// Step numbers start beyond one window, so that the initial array counts as expired.
    fn number(&self, now: Timestamp) -> u64 {
        (now.as_nanos() / self.step.as_nanos()) as u64 + 2 * WINDOW_STEPS
    }
}
