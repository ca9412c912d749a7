//! Placement of adapters: which engines are preferred for an adapter, and how many copies it gets.

use super::{
    call::AdapterId, membership::TargetIncarnation, selection::CallNeed, target::TargetState,
    targets::TargetPool,
};
use crate::{ids::Timestamp, rendezvous::weight};
use xxhash_rust::xxh3::xxh3_64;

/// Calls per second that one copy of an adapter serves before another copy is added.
const CALLS_PER_COPY: f64 = 10.0;

/// The preferred targets of an adapter, by rendezvous hashing: as many as its demand needs, and one spare at
/// the end.
pub fn preferred_targets(
    pool: &TargetPool,
    need: &CallNeed<'_>,
    adapter: &AdapterId,
    now: Timestamp,
) -> Vec<TargetIncarnation> {
    let rate = pool.demand().rate(adapter, need.routers, now);
    let copies = 1 + (rate / CALLS_PER_COPY) as usize;
    let key = adapter_key(adapter);
    let usable = pool.service_targets(need.service).filter(|target| {
        !target.is_draining()
            && !target.has_ended()
            && !target.is_backing_off(now)
            && !target.health.is_backing_off(now)
            && !target.is_unresponsive(now)
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
    weighted.truncate(copies + 1);
    weighted.into_iter().map(|(_, _, target)| target.entry.incarnation.clone()).collect()
}

fn adapter_key(adapter: &AdapterId) -> u64 {
    xxh3_64(adapter.name.as_bytes()) ^ xxh3_64(adapter.base.as_bytes()).rotate_left(1)
}
