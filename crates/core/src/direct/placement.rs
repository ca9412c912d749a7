//! Placement of adapters: which engines are preferred for an adapter, how many copies it gets, and which engines take
//! the calls that these cannot take.
//!
//! A router knows what an engine holds only if it asked that engine's loader recently. A copy at an engine that other
//! routers do not ask is of no use to their calls, and they load the adapter once more. So under load, calls leave the
//! preferred engines only for the next ones in the adapter's order, which all routers compute alike.

use super::{
    call::AdapterId, membership::TargetIncarnation, selection::CallNeed, target::TargetState,
    targets::TargetPool,
};
use crate::{ids::Timestamp, rendezvous::weight};

/// Calls per second that one copy of an adapter serves before another copy is added.
const CALLS_PER_COPY: f64 = 10.0;

/// Prices of a load at the overflow engines, in their order, as multiples of a load from the weight store. The store
/// transfers the adapter once more, while the preferred engine's host may have it in memory, and the engine evicts an
/// adapter that is its own. The prices rise so that most overflow copies are at the first of these engines.
const OVERFLOW_PRICES: [f64; 3] = [1.0, 1.3, 1.6];
/// Price of a load at any other engine, as a multiple of a load from the weight store: no later call finds the copy, so
/// that about four calls in a row each load the adapter.
const STRAY_PRICE: f64 = 6.4;

/// Engines for one adapter, by rendezvous hashing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdapterPlacement {
    /// Engines that are to hold the adapter: as many as its demand needs.
    pub preferred: Vec<TargetIncarnation>,
    /// The engines after them in the adapter's order, which take calls when the preferred ones are busy.
    pub overflow: Vec<TargetIncarnation>,
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
    let rate = pool.demand().rate(adapter, need.routers, now);
    let copies = 1 + (rate / CALLS_PER_COPY) as usize;
    let key = adapter.stable_hash();
    let usable = pool.service_targets(need.service).filter(|target| {
        !target.is_draining()
            && !target.has_ended()
            && !target.is_backing_off(now)
            && !target.health.is_backing_off(now)
            && !target.is_unresponsive(now)
            && need.admits_software(target)
    });
    // A saturated target gets no copies, unless all targets are saturated.
    let mut weighted: Vec<(bool, u64, &TargetState)> = usable
        .map(|target| {
            (!target.was_recently_saturated(now), weight(key, &target.entry.incarnation.id), target)
        })
        .collect();
    weighted.sort_unstable_by_key(|(has_capacity, weight, _)| {
        std::cmp::Reverse((*has_capacity, *weight))
    });
    let mut ordered = weighted.into_iter().map(|(_, _, target)| target.entry.incarnation.clone());
    let preferred = ordered.by_ref().take(copies).collect();
    let overflow = ordered.take(OVERFLOW_PRICES.len()).collect();
    AdapterPlacement { preferred, overflow }
}
