//! Placement of adapters: which engines are preferred for an adapter, how many copies it gets, and which engines take
//! the calls that these cannot take.
//!
//! A router knows what an engine holds only if it asked that engine's loader recently. A copy at an engine that other
//! routers do not ask is of no use to their calls, and they load the adapter once more. So under load, calls leave the
//! preferred engines only for the next ones in the adapter's order, which all routers compute alike.

use super::{
    call::AdapterId, membership::TargetIncarnation, messages::LoaderReport, selection::CallNeed,
    target::TargetState, targets::TargetPool,
};
use crate::{
    ids::Timestamp,
    rendezvous::{weight, weighted_score},
};

/// Calls per second that one copy of an adapter serves before another copy is added, by a router's own estimate.
const CALLS_PER_COPY: f64 = 10.0;
/// Prices of a load at the overflow engines, in their order, as multiples of a load from the weight store. The store
/// transfers the adapter once more, while the preferred engine's host may have it in memory, and the engine evicts an
/// adapter that is its own. The prices rise so that most overflow copies are at the first of these engines.
const OVERFLOW_PRICES: [f64; 3] = [1.0, 1.3, 1.6];
/// Price of a load at any other engine, as a multiple of a load from the weight store: no later call finds the copy, so
/// that about four calls in a row each load the adapter.
const STRAY_PRICE: f64 = 6.4;
/// Ratio of the largest rate to the median, or of the median to the smallest, up to which engines count as equal: measured
/// rates of equal engines differ by up to a fifth.
const EQUAL_RATES: f64 = 1.2;
/// Steps of weights in a factor of two: engines whose rates differ by less than a fifth mostly have the same weight, so
/// that noise in the measured rates moves no adapters.
const STEPS_PER_DOUBLING: f64 = 2.0;
/// Largest step in either direction, a weight of 4 or 1/4: a wrong rate moves no more adapters than that.
const MAX_STEP: f64 = 4.0;
/// Distance from a step at which an engine changes it: half a step to the boundary, and a quarter of a step beyond.
const STEP_CHANGE: f64 = 0.75;

/// An engine's weight in the placement of adapters, in steps of a factor of the square root of 2.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WeightStep(i8);

impl WeightStep {
    /// Applies the engine's prefill rate over the median of its service, 0 or more; `None` where engines count as equal.
    pub fn update(&mut self, relative_speed: Option<f64>) {
        let speed = relative_speed.unwrap_or(1.0);
        let exact = (speed.log2() * STEPS_PER_DOUBLING).clamp(-MAX_STEP, MAX_STEP);
        if relative_speed.is_none() || (exact - f64::from(self.0)).abs() > STEP_CHANGE {
            self.0 = exact.round() as i8;
        }
    }

    /// The weight; 1 for an engine of the median rate.
    pub fn weight(self) -> f64 {
        (f64::from(self.0) / STEPS_PER_DOUBLING).exp2()
    }
}

/// Prefill rate of a report's engine over the median of the engines of its service whose rates are known; `None` where
/// these rates differ too little to matter.
pub(super) fn relative_speed(pool: &TargetPool, report: &LoaderReport) -> Option<f64> {
    let service = &pool.target(&report.incarnation)?.entry.service;
    let others = pool.service_targets(service).filter(|target| {
        !target.has_ended() && target.entry.incarnation.id != report.incarnation.id
    });
    let known = others.filter_map(|target| Some(target.loader.as_ref()?.report.prefill_rate));
    let mut rates: Vec<u16> = known.chain([report.prefill_rate]).filter(|rate| *rate > 0).collect();
    rates.sort_unstable();
    let median = f64::from(*rates.get(rates.len() / 2)?);
    let largest = f64::from(*rates.last()?) / median;
    let smallest = f64::from(*rates.first()?) / median;
    let is_uneven = largest > EQUAL_RATES || smallest * EQUAL_RATES < 1.0;
    is_uneven.then(|| f64::from(report.prefill_rate) / median)
}

/// Who decided how many copies an adapter gets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CopySource {
    /// The loader of the first engine in its order that states a decision.
    Loader,
    /// The router, by its own estimate of the demand.
    #[default]
    Router,
}

impl CopySource {
    /// All sources.
    pub const ALL: [Self; 2] = [Self::Loader, Self::Router];

    /// Name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Loader => "loader",
            Self::Router => "router",
        }
    }
}

/// Number of engines that are to hold an adapter, at least 1.
struct CopyCount {
    copies: usize,
    source: CopySource,
}

/// Number of engines that are to hold an adapter: as decided by the loader of the first engine in the adapter's order
/// whose fresh report states a decision, else by this router's own estimate.
///
/// A router has fresh reports only of engines that it sent calls to. Of 300 routers with one hot adapter, 6 in 100 calls
/// met a fresh report of the first engine; all loaders that hold the adapter estimate the same demand.
fn count_copies(
    pool: &TargetPool,
    need: &CallNeed<'_>,
    adapter: &AdapterId,
    ordered: &[&TargetState],
    now: Timestamp,
) -> CopyCount {
    let mut reports = ordered.iter().filter_map(|target| target.fresh_report(now));
    if let Some(copies) = reports.find_map(|report| decided_copies(report, adapter)) {
        return CopyCount { copies, source: CopySource::Loader };
    }
    let rate = pool.demand().rate(adapter, need.routers, now);
    CopyCount { copies: 1 + (rate / CALLS_PER_COPY) as usize, source: CopySource::Router }
}

/// Number of copies of an adapter that a report states; `None` if its loader did not decide it.
fn decided_copies(report: &LoaderReport, adapter: &AdapterId) -> Option<usize> {
    let names = report
        .holdings
        .iter()
        .flat_map(|holding| holding.adapters.keys().map(|name| (&holding.base, name)));
    let mut decided = names.zip(&report.copies);
    let (_, copies) =
        decided.find(|((base, name), _)| **base == adapter.base && **name == adapter.name)?;
    (*copies > 0).then_some(usize::from(*copies))
}

/// Usable targets in an adapter's order, by weighted rendezvous hashing.
fn ordered_targets<'a>(
    pool: &'a TargetPool,
    need: &CallNeed<'_>,
    adapter: &AdapterId,
    now: Timestamp,
) -> Vec<&'a TargetState> {
    let key = adapter.stable_hash();
    let usable = pool.service_targets(need.service).filter(|target| {
        !target.is_draining()
            && !target.has_ended()
            && !target.is_backing_off(now)
            && !target.health.is_backing_off(now)
            && !target.is_unresponsive(now)
    });
    // A saturated target gets no copies, unless all targets are saturated.
    let mut scored: Vec<(bool, f64, u64, &TargetState)> = usable
        .map(|target| {
            let hash = weight(key, &target.entry.incarnation.id);
            let score = weighted_score(hash, target.weight.weight());
            (!target.was_recently_saturated(now), score, hash, target)
        })
        .collect();
    scored.sort_unstable_by(|a, b| {
        b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then_with(|| b.2.cmp(&a.2))
    });
    scored.into_iter().map(|(_, _, _, target)| target).collect()
}

/// Engines for one adapter, by rendezvous hashing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdapterPlacement {
    /// Engines that are to hold the adapter: as many as its demand needs.
    pub preferred: Vec<TargetIncarnation>,
    /// The engines after them in the adapter's order, which take calls when the preferred ones are busy.
    pub overflow: Vec<TargetIncarnation>,
    /// Who decided the number of preferred engines.
    pub decided_by: CopySource,
}

impl AdapterPlacement {
    /// Price of a load at an engine beside its own time, as a multiple of a load from the weight store.
    pub fn load_price(&self, incarnation: &TargetIncarnation) -> f64 {
        if self.preferred.contains(incarnation) {
            return 0.0;
        }
        let position = self.overflow.iter().position(|overflow| overflow == incarnation);
        position.and_then(|index| OVERFLOW_PRICES.get(index)).copied().unwrap_or(STRAY_PRICE)
    }
}

/// Chooses the engines for an adapter.
pub fn place_adapter(
    pool: &TargetPool,
    need: &CallNeed<'_>,
    adapter: &AdapterId,
    now: Timestamp,
) -> AdapterPlacement {
    let ordered = ordered_targets(pool, need, adapter, now);
    let CopyCount { copies, source } = count_copies(pool, need, adapter, &ordered, now);
    let mut ordered = ordered.into_iter().map(|target| target.entry.incarnation.clone());
    let preferred = ordered.by_ref().take(copies).collect();
    let overflow = ordered.take(OVERFLOW_PRICES.len()).collect();
    AdapterPlacement { preferred, overflow, decided_by: source }
}
