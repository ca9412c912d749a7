//! How many engines are to hold each adapter of this loader's engine.
//!
//! A loader sees only the calls at its own engine. With several copies this is a part of the demand, and the part
//! depends on how many engines hold the adapter and not on how many were decided: a copy may still be loading, or have
//! been evicted. Routers therefore state with their calls how many engines they know to hold the adapter, and each call
//! counts as that many. As routers spread their calls evenly over these engines, the sum estimates the demand over the
//! fleet, and it does not change when a copy is added or removed.

use super::LoaderMachine;
use crate::{demand::DecayedCount, direct::call::AdapterId, ids::Timestamp};
use std::{collections::HashMap, time::Duration};

/// Fraction of an engine's batch that calls of one adapter should use: the rest serves the other adapters of the engine.
const BATCH_SHARE: f64 = 0.25;
/// Demand above the boundary between two numbers of copies at which a copy is added, as a multiple of the boundary.
const ADD_FACTOR: f64 = 1.25;
/// Demand below the boundary at which a copy is removed, as a multiple of the boundary.
const REMOVE_FACTOR: f64 = 0.75;
/// Time for which demand must be below the boundary before a copy is removed. A removed copy costs a load if demand
/// returns, and bursts of calls come more often than once in this time.
const REMOVE_TIME: Duration = Duration::from_secs(2);
/// Demand by the last second, as a multiple of the boundary, at which copies are added without waiting for the steady
/// estimate. The estimate of a second deviates by a fifth at ten calls a second, so that three such deviations are
/// rarely reached by chance.
const SUDDEN_FACTOR: f64 = 1.6;
/// Half-life of the steady estimate: at ten calls a second it deviates by a tenth, less than the quarter at which the
/// number of copies changes.
const STEADY_HALF_LIFE: Duration = Duration::from_secs(3);
/// Half-life of the estimate that shows sudden demand.
const SUDDEN_HALF_LIFE: Duration = Duration::from_secs(1);
/// Factor by which the decided number may exceed the engines that routers know to hold the adapter, or else those that
/// this engine's own calls prove necessary. Bounds the number of copies while further copies do not arrive, for instance
/// because their loaders are unreachable.
const GROWTH_LIMIT: f64 = 2.0;
/// Part of the expected fall of this engine's own demand after an addition that may still be missing when the next copy
/// is added. Smaller values wait for longer, larger ones are reached by chance while no calls go to the new copy.
const SETTLED_SHARE: f64 = 1.0 / 3.0;
/// Time without any new call after which the counts are discarded. The process may have been suspended, and the calls of
/// that time are missing.
const GAP_TIME: Duration = Duration::from_secs(1);
/// Time after a gap for which calls are not counted: notices that arrived during a suspension are read at once.
const BACKLOG_TIME: Duration = Duration::from_millis(100);
/// Time of counting before the first decision, and after a gap. Until then routers use their own estimates.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Maximum of adapters with counts, about 250 bytes each; an engine holds 14 to 16 at a time.
const ADAPTER_LIMIT: usize = 1_024;
/// Maximum of changes kept until the next log lines are written; an engine holds 16 adapters at most, and a number
/// changes at most every second or so.
const CHANGE_LIMIT: usize = 32;
/// Count below which an adapter is dropped when there are too many.
const COUNT_FLOOR: f64 = 0.1;

/// What one copy of an adapter serves.
#[derive(Clone, Copy, Debug)]
pub struct CopyShare {
    /// Calls of one adapter that an engine should run concurrently.
    calls: f64,
    /// Mean time of a run in seconds.
    run_seconds: f64,
}

impl CopyShare {
    /// The share by an engine's batch and its mean time of a run in ms; `None` if either is unknown (0).
    pub fn new(batch: u16, run_ms: u16) -> Option<Self> {
        let calls = (f64::from(batch) * BATCH_SHARE).max(1.0);
        (batch > 0 && run_ms > 0)
            .then_some(Self { calls, run_seconds: f64::from(run_ms) / 1_000.0 })
    }
}

/// A change of a decision, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct CopyChange {
    /// The adapter.
    pub adapter: AdapterId,
    /// Number of engines that were to hold it, and that are to hold it now.
    pub copies: (u8, u8),
    /// Estimate of the demand over the fleet, as a multiple of what one copy serves.
    pub demand: f64,
    /// The part of this engine's own calls in it.
    pub own: f64,
}

/// Counts and decision of one adapter.
#[derive(Debug)]
struct CopyState {
    /// Calls at this engine.
    own: DecayedCount,
    /// The same, each multiplied by the number of engines over which its router spreads calls.
    steady: DecayedCount,
    /// The same by the last second.
    sudden: DecayedCount,
    /// Number of engines that are to hold the adapter.
    copies: u8,
    /// Since when demand is below the boundary, and its maximum since then, in copies.
    low: Option<(Timestamp, f64)>,
    /// The range of this engine's own demand in which no further copy is added. After an addition, the own demand must
    /// either fall, as calls go to the new copy, or rise, as total demand does. If it does neither, more copies are of no
    /// use.
    settling: Option<(f64, f64)>,
}

impl CopyState {
    fn new(copies: u8) -> Self {
        let steady = DecayedCount::new(STEADY_HALF_LIFE);
        let sudden = DecayedCount::new(SUDDEN_HALF_LIFE);
        Self { own: steady, steady, sudden, copies, low: None, settling: None }
    }
}

impl LoaderMachine {
    /// Changes of the numbers of copies since the last call.
    pub fn take_copy_changes(&mut self) -> Vec<CopyChange> {
        self.copies.take_changes()
    }
}

/// Decisions for all adapters of one engine. Kept for one incarnation of the engine.
#[derive(Debug, Default)]
pub struct CopyDecisions {
    adapters: HashMap<AdapterId, CopyState>,
    /// Start of the present period of counting.
    since: Timestamp,
    /// When the last call was counted; `None` before the first one.
    counted: Option<Timestamp>,
    /// Changes that were not logged yet.
    changes: Vec<CopyChange>,
}

impl CopyDecisions {
    /// Counts calls that a router, which spreads its calls over `spread` engines, sent to this engine.
    pub fn record(&mut self, adapter: &AdapterId, started: u16, spread: u8, now: Timestamp) {
        let has_gap = self.counted.is_none_or(|counted| now.saturating_sub(counted) > GAP_TIME);
        self.counted = Some(now);
        if has_gap {
            self.since = now + BACKLOG_TIME;
            for state in self.adapters.values_mut() {
                *state = CopyState::new(state.copies);
            }
        }
        if now < self.since {
            return;
        }
        if self.adapters.len() >= ADAPTER_LIMIT && !self.adapters.contains_key(adapter) {
            self.adapters.retain(|_, state| state.steady.read(now) > COUNT_FLOOR);
            if self.adapters.len() >= ADAPTER_LIMIT {
                return;
            }
        }
        let state = self.adapters.entry(adapter.clone()).or_insert_with(|| CopyState::new(1));
        let weighted = f64::from(started) * f64::from(spread.max(1));
        state.own.add(f64::from(started), now);
        state.steady.add(weighted, now);
        state.sudden.add(weighted, now);
    }

    /// Number of adapters with counts.
    pub fn len(&self) -> usize {
        self.adapters.len()
    }

    /// Whether no adapter has counts.
    pub fn is_empty(&self) -> bool {
        self.adapters.is_empty()
    }

    /// Number of engines that are to hold an adapter for which `waiting` calls wait at this engine; 0 if it is not
    /// decided.
    pub fn decide(
        &mut self,
        adapter: &AdapterId,
        waiting: u32,
        share: CopyShare,
        now: Timestamp,
    ) -> u8 {
        let counting = now.saturating_sub(self.since);
        let Some(counted) = self.counted else { return 0 };
        let is_current = now.saturating_sub(counted) <= GAP_TIME && counting >= WARM_UP_TIME;
        let Some(state) = self.adapters.get_mut(adapter).filter(|_| is_current) else { return 0 };
        // All in copies: demand over the calls that one copy serves.
        let waiting = f64::from(waiting) / share.calls;
        let in_copies = |count: &DecayedCount, half_life: Duration| {
            // Corrects for the time before counting began.
            let observed = 1.0 - (-counting.as_secs_f64() / half_life.as_secs_f64()).exp2();
            count.rate(now) / observed * share.run_seconds / share.calls + waiting
        };
        let own = in_copies(&state.own, STEADY_HALF_LIFE);
        let steady = in_copies(&state.steady, STEADY_HALF_LIFE);
        let sudden = in_copies(&state.sudden, SUDDEN_HALF_LIFE);
        let before = state.copies;
        state.add_copies(own, steady, sudden);
        state.remove_copies(steady.max(sudden), now);
        if state.copies != before && self.changes.len() < CHANGE_LIMIT {
            let copies = (before, state.copies);
            let demand = steady.max(sudden);
            self.changes.push(CopyChange { adapter: adapter.clone(), copies, demand, own });
        }
        state.copies
    }

    /// Changes of decisions since the last call.
    pub fn take_changes(&mut self) -> Vec<CopyChange> {
        std::mem::take(&mut self.changes)
    }
}

impl CopyState {
    fn add_copies(&mut self, own: f64, steady: f64, sudden: f64) {
        if let Some((lower, upper)) = self.settling {
            if (lower..=upper).contains(&own) {
                return;
            }
            self.settling = None;
        }
        let copies = f64::from(self.copies);
        let demand = if sudden > SUDDEN_FACTOR * copies { sudden.max(steady) } else { steady };
        let spread = steady / own.max(f64::MIN_POSITIVE);
        let limit = (GROWTH_LIMIT * spread).max(demand / spread / ADD_FACTOR).ceil();
        let wanted = (demand / ADD_FACTOR).ceil().min(limit);
        if wanted > copies {
            let expected = copies / wanted;
            // In a sudden rise, the steady estimate has not reached the own demand yet.
            let sudden_own = sudden / spread;
            let level = if sudden_own > SUDDEN_FACTOR * own { sudden_own } else { own };
            let lower = level * (expected + (1.0 - expected) * SETTLED_SHARE);
            self.settling = Some((lower, level * ADD_FACTOR));
            self.copies = wanted.min(f64::from(u8::MAX)) as u8;
            self.low = None;
        }
    }

    fn remove_copies(&mut self, demand: f64, now: Timestamp) {
        if self.copies <= 1 || demand >= REMOVE_FACTOR * f64::from(self.copies - 1) {
            self.low = None;
            return;
        }
        let (since, peak) =
            self.low.map_or((now, demand), |(since, peak)| (since, peak.max(demand)));
        self.low = Some((since, peak));
        if now.saturating_sub(since) >= REMOVE_TIME {
            self.copies = ((peak / REMOVE_FACTOR).floor() as u8 + 1).min(self.copies - 1);
            (self.low, self.settling) = (None, None);
        }
    }
}
