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
/// Multiple of the shortest time from which the store is taken to be shared by too many. Some engines have
/// no load to begin while others have a queue, so the store is used to its full only if the windows add up
/// to more than it serves at full speed: at 1.3 a fifth of it stayed unused after a cold start of twelve
/// engines.
const CONGESTED_RATIO: f64 = 1.5;
/// Part of the window that is left after a load that took too long.
const BACKOFF: f64 = 0.8;
/// What the window grows by after as many loads in good time as it holds.
const GROWTH: f64 = 1.0;
/// The same before any load took too long: one engine's loads alone never congest the store, and calls
/// that wait while its loader feels its way are late.
const FIRST_GROWTH: f64 = 4.0;
/// What the shortest time grows by with each load that took too long although it was the only one of its
/// engine: the store may have become slower for good, and is believed to be twice as slow after two dozen.
/// While more are on their way it does not grow, or a long rush would pass for the usual.
const DRIFT: f64 = 1.03;
/// Samples among which those of the host's memory are looked for.
const MEMORY: usize = 32;
/// Ratio of neighbours among the sorted samples from which the lower ones are taken to have come from the
/// host's memory, which is ten times as fast.
const NEAR_GAP: f64 = 3.0;
/// Loads after which a loader that started beside a running engine knows what the host has in its memory:
/// as many as push out all that was there before. Hosts hold some six times the slots of an engine.
const UNKNOWN_LOADS: usize = 128;
/// Time of a load before any was seen: an assumption, replaced by the first sample.
const PRIOR: Duration = Duration::from_millis(250);

/// Times of loads from the weight store, and the window of loads that they allow.
#[derive(Debug)]
pub struct LoadLimiter {
    /// Times of loads of which it is not known where they come from.
    samples: VecDeque<Duration>,
    has_sample: bool,
    shortest: Duration,
    smoothed: Duration,
    window: f64,
    growth: f64,
    limit: usize,
    /// Loads for which it is not known whether they come from the host's memory.
    unknown: usize,
}

impl LoadLimiter {
    /// Starts with a window of one load; the engine itself takes at most `limit`.
    pub fn new(limit: usize) -> Self {
        Self {
            samples: VecDeque::new(),
            has_sample: false,
            shortest: PRIOR,
            smoothed: PRIOR,
            window: 1.0,
            growth: FIRST_GROWTH,
            limit,
            unknown: 0,
        }
    }

    /// The same beside an engine that ran before, whose host may have any adapter in its memory. Taken for
    /// loads from the store, these would make every other one look congested for good.
    #[must_use]
    pub fn with_unknown_memory(mut self) -> Self {
        self.unknown = UNKNOWN_LOADS;
        self
    }

    /// A load that was on its way for `time` has ended.
    pub fn record(&mut self, time: Duration) {
        if let Some(floor) = self.far_floor(time) {
            if self.shortest < floor {
                (self.shortest, self.smoothed) = (floor, floor);
            }
            if time < floor {
                return;
            }
        }
        if std::mem::replace(&mut self.has_sample, true) {
            self.shortest = self.shortest.min(time);
            self.smoothed =
                self.smoothed.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT);
        } else {
            (self.shortest, self.smoothed) = (time, time);
        }
        self.adapt(time);
    }

    fn adapt(&mut self, time: Duration) {
        if time > self.shortest.mul_f64(CONGESTED_RATIO) {
            if self.window() == 1 {
                self.shortest = self.shortest.mul_f64(DRIFT);
            }
            self.window *= BACKOFF;
            self.growth = GROWTH;
        } else {
            self.window += self.growth / self.window;
        }
        self.window = self.window.clamp(1.0, self.limit as f64);
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
        self.smoothed > self.shortest.mul_f64(CONGESTED_RATIO)
    }

    /// Time below which loads come from the host's memory, while it is not known what the host has there:
    /// times of the store rise and fall with those who share it, for all loads alike, and those of the
    /// host's memory stay apart.
    fn far_floor(&mut self, time: Duration) -> Option<Duration> {
        if self.unknown == 0 {
            return None;
        }
        self.unknown -= 1;
        self.samples.push_back(time);
        if self.samples.len() > MEMORY {
            self.samples.pop_front();
        }
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let gap = sorted.windows(2).rev().find(|pair| pair[1] > pair[0].mul_f64(NEAR_GAP));
        gap.map(|pair| pair[1])
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
