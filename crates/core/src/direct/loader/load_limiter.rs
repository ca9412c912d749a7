//! Adaptive limit on concurrent loads from the weight store, by load time.
//!
//! The weight store serves all engines. Up to some number of concurrent loads each gets full speed; above
//! that all slow down together, and the store does not report it. When every loader ran as many loads as its
//! engine takes, 48 loads shared the capacity for 8: each took 1.5 s instead of 0.25 s, and all calls missed
//! their objective instead of some. A loader cannot see the others' loads, but it sees the time of its own
//! and shrinks its window when that grows, like delay-based congestion control.

use crate::ids::Timestamp;
use std::{collections::VecDeque, time::Duration};

/// Weight of a new sample in the smoothed time. A loader has a few loads a second, and their times change
/// with the other loaders' load within about a second.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Multiple of the shortest load time above which the store counts as congested. Some engines have nothing
/// to load while others have a queue, so the store is fully used only if the windows add up to more than it
/// serves at full speed: at 1.3 a fifth of it stayed unused after a cold start of twelve engines.
const CONGESTED_RATIO: f64 = 1.5;
/// Factor on the window after a load that took too long.
const BACKOFF: f64 = 0.8;
/// Growth of the window, in loads, after as many uncongested loads as its size.
const GROWTH: f64 = 1.0;
/// Growth in place of [`GROWTH`] until the first load that takes too long (slow start): one engine's loads alone never
/// congest the store, and a slowly growing window would make waiting calls late.
const FIRST_GROWTH: f64 = 4.0;
/// Factor on the shortest time after each load that took too long while the window was one: the store may
/// have become slower permanently, and counts as twice as slow after two dozen such loads. With a larger
/// window it does not grow, or a long overload would become the baseline.
const BASELINE_GROWTH: f64 = 1.03;
/// Samples kept to separate loads from host memory from those from the store.
const SAMPLE_LIMIT: usize = 32;
/// Ratio of neighbours among the sorted samples above which the lower ones count as loads from host memory,
/// which is ten times as fast.
const HOST_MEMORY_GAP: f64 = 3.0;
/// Loads after which a loader that started beside a running engine knows what is in host memory: enough to
/// displace all that was there before. Hosts hold about six times the slots of an engine.
const UNKNOWN_LOADS: usize = 128;
/// Expected load time before the first sample, which replaces it.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(250);

/// Load times from the weight store, and the window of concurrent loads derived from them.
#[derive(Debug)]
pub struct LoadLimiter {
    /// Times of loads whose source is not known.
    samples: VecDeque<Duration>,
    has_sample: bool,
    shortest: Duration,
    smoothed: Duration,
    window: f64,
    growth: f64,
    limit: usize,
    /// Remaining loads that may come from host memory without the loader knowing.
    unknown: usize,
}

impl LoadLimiter {
    /// Starts with a window of one load; `limit` is the engine's own maximum.
    pub fn new(limit: usize) -> Self {
        Self {
            samples: VecDeque::new(),
            has_sample: false,
            shortest: INITIAL_LOAD_TIME,
            smoothed: INITIAL_LOAD_TIME,
            window: 1.0,
            growth: FIRST_GROWTH,
            limit,
            unknown: 0,
        }
    }

    /// For an engine that ran before, whose host may have any adapter in memory. If loads from host memory
    /// counted as loads from the store, all later loads from the store would look congested.
    #[must_use]
    pub fn with_unknown_memory(mut self) -> Self {
        self.unknown = UNKNOWN_LOADS;
        self
    }

    /// Records a load that took `time`.
    pub fn record(&mut self, time: Duration) {
        if let Some(floor) = self.store_time_floor(time) {
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
                self.shortest = self.shortest.mul_f64(BASELINE_GROWTH);
            }
            self.window *= BACKOFF;
            self.growth = GROWTH;
        } else {
            self.window += self.growth / self.window;
        }
        self.window = self.window.clamp(1.0, self.limit as f64);
    }

    /// Maximum of concurrent loads from the store.
    pub fn window(&self) -> usize {
        self.window as usize
    }

    /// Expected time of a load from the store that begins now.
    pub fn expected(&self) -> Duration {
        self.smoothed
    }

    /// Whether the store is so loaded that a prefetch would slow down loads that calls wait for.
    pub fn is_congested(&self) -> bool {
        self.smoothed > self.shortest.mul_f64(CONGESTED_RATIO)
    }

    /// Time below which loads come from host memory; used while the contents of host memory are not known.
    /// The store's load times rise and fall together with its load, and those from host memory stay well
    /// below them.
    fn store_time_floor(&mut self, time: Duration) -> Option<Duration> {
        if self.unknown == 0 {
            return None;
        }
        self.unknown -= 1;
        self.samples.push_back(time);
        if self.samples.len() > SAMPLE_LIMIT {
            self.samples.pop_front();
        }
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let gap = sorted.windows(2).rev().find(|pair| pair[1] > pair[0].mul_f64(HOST_MEMORY_GAP));
        gap.map(|pair| pair[1])
    }
}

/// Start of a load in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadStart {
    /// When the engine accepted the load.
    pub(super) at: Timestamp,
    /// Whether it is expected to come from host memory.
    pub(super) from_host_memory: bool,
}
