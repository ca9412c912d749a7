//! How long adapters are on their way to one engine, and how many of them may be so at once.
//!
//! Pattern: the weight store serves all engines. Up to some number of loads it gives each its full speed;
//! beyond that all slow down together, and none of them tells anybody. With every loader keeping as many
//! on their way as its engine takes, 48 loads shared what 8 need: each took 1.5 s instead of 0.25 s, and
//! all calls missed their objective instead of some. A loader cannot see the others, but it sees how long
//! its own loads take, as a sender sees congestion by delay, and keeps fewer on their way once that grows.

use crate::ids::Timestamp;
use std::{collections::VecDeque, time::Duration};

/// Share of a new sample in the smoothed time. A loader sees a few loads a second, and what it sees
/// changes with what all others do within about a second.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Multiple of the shortest time from which the store is taken to be shared by too many. Loads vary by
/// little while it is not; a load is seen to end up to 25 ms late, a tenth of its time.
const CONGESTED_RATIO: f64 = 1.3;
/// Part of the window that is left after a load that took too long.
const BACKOFF: f64 = 0.7;
/// What the window grows by after as many loads in good time as it holds.
const GROWTH: f64 = 0.5;
/// Samples among which the shortest is looked for: the store may become slower for good.
const MEMORY: usize = 32;
/// Time of a load before any was seen: the prior, replaced by the first sample.
const PRIOR: Duration = Duration::from_millis(250);

/// Times of loads from the weight store, and the window of loads that they allow.
#[derive(Debug)]
pub struct TransitGauge {
    samples: VecDeque<Duration>,
    smoothed: Duration,
    window: f64,
    limit: usize,
}

impl TransitGauge {
    /// Starts with a window of one load; the engine itself takes at most `limit`.
    pub fn new(limit: usize) -> Self {
        Self { samples: VecDeque::new(), smoothed: PRIOR, window: 1.0, limit }
    }

    /// A load from the weight store that was on its way for `time` has ended.
    pub fn record(&mut self, time: Duration) {
        self.smoothed = if self.samples.is_empty() {
            time
        } else {
            self.smoothed.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT)
        };
        self.samples.push_back(time);
        if self.samples.len() > MEMORY {
            self.samples.pop_front();
        }
        let is_congested = time > self.shortest().mul_f64(CONGESTED_RATIO);
        let window =
            if is_congested { self.window * BACKOFF } else { self.window + GROWTH / self.window };
        self.window = window.clamp(1.0, self.limit as f64);
    }

    /// Loads that may be on their way from the store at once.
    pub fn window(&self) -> usize {
        self.window as usize
    }

    /// How long a load that begins now is expected to take.
    pub fn expected(&self) -> Duration {
        self.smoothed
    }

    /// Whether others load so much that a load that nobody waits for would slow down those of calls.
    pub fn is_congested(&self) -> bool {
        self.smoothed > self.shortest().mul_f64(CONGESTED_RATIO)
    }

    fn shortest(&self) -> Duration {
        self.samples.iter().min().copied().unwrap_or(PRIOR)
    }
}

/// Loads that an engine has taken and that are still on their way.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadStart {
    /// When the engine took it.
    pub(super) at: Timestamp,
    /// Whether it is expected to come from the host's own memory.
    pub(super) is_near: bool,
}
