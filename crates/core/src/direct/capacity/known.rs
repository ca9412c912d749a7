//! What a router knows of the capacities of a service's engines.

use super::RATE_STEPS;
use crate::{
    direct::{backlog::TOKENS_PER_MS, messages::LoaderReport},
    ids::Timestamp,
};
use std::time::Duration;

/// Age up to which a reported capacity is used. A router requests reports only of engines to which it is about to send
/// calls, and an engine's capacity seldom changes.
const CAPACITY_TTL: Duration = Duration::from_mins(1);
/// Ratio of the largest prefill rate to the median, or of the median to the smallest, above which capacities count.
/// Estimates of equal engines differ by less.
const EFFECT_RATIO: f64 = 1.2;

/// Capacity that an engine's loader last reported, for one incarnation of the engine.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::direct) struct KnownCapacity {
    /// In 1/16 token a millisecond; 0: unknown.
    prefill_rate: u16,
    /// 0: unknown.
    run_ms: u16,
    reported: Timestamp,
}

impl KnownCapacity {
    /// The capacity in a report that arrived at `now`.
    pub(in crate::direct) fn new(report: &LoaderReport, now: Timestamp) -> Self {
        Self { prefill_rate: report.prefill_rate, run_ms: report.run_ms, reported: now }
    }

    fn tokens_per_ms(&self, now: Timestamp) -> Option<f64> {
        (self.prefill_rate > 0 && self.is_fresh(now))
            .then(|| f64::from(self.prefill_rate) / RATE_STEPS)
    }

    fn run_ms(&self, now: Timestamp) -> Option<f64> {
        (self.run_ms > 0 && self.is_fresh(now)).then(|| f64::from(self.run_ms))
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.reported) <= CAPACITY_TTL
    }
}

/// Capacity of an engine, as costs use it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Prompt tokens that it prefills in a millisecond.
    pub tokens_per_ms: f64,
    /// Median of that over the engines of its service.
    pub median_tokens_per_ms: f64,
    /// Mean time of a run in milliseconds, from the send of its call.
    pub run_ms: f64,
    /// Whether the loaders' reports decided it.
    pub is_reported: bool,
}

impl EngineCapacity {
    /// Capacity of all engines, where nothing better is known.
    pub(in crate::direct) fn usual(run_ms: f64) -> Self {
        Self {
            tokens_per_ms: TOKENS_PER_MS,
            median_tokens_per_ms: TOKENS_PER_MS,
            run_ms,
            is_reported: false,
        }
    }

    /// Time in ms in which it prefills `tokens`.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms
    }

    /// Time in ms by which it prefills `tokens` later than an engine of the median rate; negative if earlier.
    pub fn extra_prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms - tokens / self.median_tokens_per_ms
    }

    /// Time of a step at it as a multiple of the time at an engine of the median rate.
    pub fn step_ratio(&self) -> f64 {
        self.median_tokens_per_ms / self.tokens_per_ms
    }
}

/// Comparison of the known capacities of a service's engines.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::direct) struct ServiceCapacity {
    /// Median prefill rate in tokens a millisecond; `None` unless the engines differ enough.
    median_rate: Option<f64>,
    /// Median of the mean times of runs, in milliseconds.
    median_run_ms: Option<f64>,
}

impl ServiceCapacity {
    /// Compares the engines of a service.
    pub(in crate::direct) fn new<'a>(
        engines: impl Iterator<Item = &'a KnownCapacity>,
        now: Timestamp,
    ) -> Self {
        let (mut rates, mut runs) = (Vec::new(), Vec::new());
        for engine in engines {
            rates.extend(engine.tokens_per_ms(now));
            runs.extend(engine.run_ms(now));
        }
        let median_rate = median(&mut rates).filter(|median| {
            let largest = rates.iter().copied().fold(0.0, f64::max);
            let smallest = rates.iter().copied().fold(f64::INFINITY, f64::min);
            largest > median * EFFECT_RATIO || *median > smallest * EFFECT_RATIO
        });
        Self { median_rate, median_run_ms: median(&mut runs) }
    }

    /// Whether the engines differ enough.
    pub(in crate::direct) fn is_in_effect(&self) -> bool {
        self.median_rate.is_some()
    }

    /// Capacity of an engine of the service; `usual` is the one where capacities do not count.
    pub(in crate::direct) fn engine_capacity(
        &self,
        known: &KnownCapacity,
        usual: EngineCapacity,
        now: Timestamp,
    ) -> EngineCapacity {
        let Some(median) = self.median_rate else { return usual };
        EngineCapacity {
            tokens_per_ms: known.tokens_per_ms(now).unwrap_or(median),
            median_tokens_per_ms: median,
            run_ms: known.run_ms(now).or(self.median_run_ms).unwrap_or(usual.run_ms),
            is_reported: true,
        }
    }
}

/// Median of some values; the lower one of the middle two.
fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
