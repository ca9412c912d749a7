//! Choice of a target: one cost in milliseconds of expected wait, and the order of preferred targets
//! of an adapter.

use super::{
    backlog::TOKENS_PER_MS,
    call::{AdapterId, ModelCall},
    membership::TargetIncarnation,
    target::TargetState,
    targets::TargetPool,
    waits::slot_wait_ms,
};
use crate::{
    ids::{AdapterVersion, ServiceName, Timestamp, ZoneName},
    rendezvous::weight,
};
use std::{cmp::Ordering, sync::Arc};
use xxhash_rust::xxh3::xxh3_64;

/// Cost of each call that an engine runs: a step takes 0.02 ms longer for each, over some 70 steps.
const ACTIVE_MS: f64 = 1.4;
/// Part of a load's time for which an adapter that is on its way is waited for, on the mean.
const COMING_SHARE: f64 = 0.5;
/// Further cost of loading elsewhere than at a preferred target, in loads from the weight store. The store
/// must give the adapter once more, where the preferred target's host may have it in its memory, and later
/// calls that go to the preferred target gain nothing of it: so the load costs the fleet what it costs the
/// call. More so than that, since the engine there has to evict an adapter that belongs there.
const STRAY_LOADS: f64 = 1.6;
/// The same at the target after the preferred ones, which gets what they cannot take, and with it later
/// calls.
const SPARE_LOADS: f64 = 1.0;
/// What another target must be better by for a call to leave the one where it waits for its adapter:
/// the load there has begun, and one begun elsewhere starts over.
const LEAVE_MS: f64 = 250.0;
/// Cost of a target whose loader is silent, where a load is needed: nobody would order it.
const NO_LOADER_MS: f64 = 5_000.0;
/// Cost of a load at a target that turns calls away: when the adapter is there, there may be no room for the call.
const CROWDED_LOAD_MS: f64 = 5_000.0;
/// Cost of a failed call: about the objective that it misses.
const FAILURE_MS: f64 = 1_500.0;
/// Cost of each call whose first byte is overdue.
const OVERDUE_MS: f64 = 250.0;
/// Cost of a target in another availability zone: two trips of some 1.5 ms, and bytes between zones.
const ZONE_MS: f64 = 6.0;
/// Cost of a call of this router in flight at a plain service's target, beside what its answers take.
const PLAIN_CALL_MS: f64 = 15.0;
/// Range of the random part that spreads near ties over the targets.
const TIE_MS: f64 = 4.0;
/// Calls a second that one copy of an adapter carries before another is wanted.
const CALLS_PER_COPY: f64 = 10.0;

/// What a choice is made for.
#[derive(Clone, Debug)]
pub struct CallNeed<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model call, if the service is one of engines.
    pub model: Option<&'a ModelCall>,
    /// The router's zone.
    pub zone: &'a ZoneName,
    /// Targets that had the call already.
    pub excluded: &'a [TargetIncarnation],
    /// Routers in all.
    pub routers: usize,
    /// Target at which the call already waits for its adapter.
    pub waiting_at: Option<&'a TargetIncarnation>,
    /// Whether a loader may still be asked before the choice.
    pub may_ask: bool,
}

/// What to do with a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetChoice {
    /// Send it; the version is what the target holds of the adapter.
    Send(TargetIncarnation, Option<AdapterVersion>),
    /// Ask its loader, and choose again: what is known of it is old or nothing.
    Ask(TargetIncarnation),
    /// Have the adapter loaded there, at this version at least, and send it then.
    Load(TargetIncarnation, AdapterId, AdapterVersion),
    /// Engines are there, and their loaders put the base model on them: it will be served soon.
    AwaitBase,
    /// No target can take it.
    Nowhere,
}

/// The adapter that a call needs, if it is more than the base model.
pub fn adapter_of(call: &ModelCall) -> Option<AdapterId> {
    let name = call.need.adapter.as_ref()?;
    Some(AdapterId { base: Arc::clone(&call.need.base), name: Arc::clone(name) })
}

/// Chooses a target for a call; `draw` gives numbers uniform in 0 to 1.
pub fn choose_target(
    pool: &TargetPool,
    need: &CallNeed<'_>,
    now: Timestamp,
    mut draw: impl FnMut() -> f64,
) -> TargetChoice {
    let adapter = need.model.and_then(adapter_of);
    let preferred = adapter.as_ref().map(|adapter| preferred_targets(pool, need, adapter, now));
    let usable = pool.service_targets(need.service).filter(|target| is_usable(target, need, now));
    let costed = usable.map(|target| {
        let cost = match need.model {
            None => plain_cost(target, need, now),
            Some(call) => {
                let homes = preferred.as_deref().unwrap_or_default();
                let is_waited = need.waiting_at == Some(&target.entry.incarnation);
                engine_cost(pool, target, call, adapter.as_ref(), homes, is_waited, now)
                    + zone_cost(target, need)
                    + if is_waited {
                        -LEAVE_MS
                    } else {
                        place_cost(pool, target, adapter.as_ref(), now)
                    }
            }
        };
        (cost + draw() * TIE_MS, target)
    });
    let best = costed.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal));
    let Some((_, target)) = best else {
        return if awaits_base(pool, need, now) {
            TargetChoice::AwaitBase
        } else {
            TargetChoice::Nowhere
        };
    };
    let incarnation = target.entry.incarnation.clone();
    let Some(adapter) = adapter else { return TargetChoice::Send(incarnation, None) };
    if need.may_ask && !target.is_report_sufficient(&adapter, now) {
        return TargetChoice::Ask(incarnation);
    }
    let newest = pool.newest_version(&adapter);
    match target.held_version(&adapter, now) {
        Some(held) if held >= newest => TargetChoice::Send(incarnation, Some(held)),
        _ => TargetChoice::Load(incarnation, adapter, newest),
    }
}

/// Expected time to an answer of a plain service whose calls wait, in milliseconds: that of its least
/// loaded target. 0 where no calls wait.
pub fn queued_plain_ms(pool: &TargetPool, need: &CallNeed<'_>, now: Timestamp) -> f64 {
    if !pool.shows_queue(need.service, need.routers) {
        return 0.0;
    }
    let usable = pool.service_targets(need.service).filter(|target| is_usable(target, need, now));
    let expected = usable.map(|target| target.latency.read_ms(now)).min_by(f64::total_cmp);
    expected.unwrap_or(0.0)
}

/// Targets where copies of an adapter belong, by rendezvous hashing: as many as its demand asks for,
/// and one to spare at the end.
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
    // A target that turns calls away is no place for copies, unless all others do so too.
    let mut weighted: Vec<(bool, u64, &TargetState)> = usable
        .map(|target| {
            (!target.was_recently_saturated(now), weight(key, &target.entry.incarnation.id), target)
        })
        .collect();
    weighted.sort_unstable_by_key(|(has_room, weight, _)| std::cmp::Reverse((*has_room, *weight)));
    weighted.truncate(copies + 1);
    weighted.into_iter().map(|(_, _, target)| target.entry.incarnation.clone()).collect()
}

fn adapter_key(adapter: &AdapterId) -> u64 {
    xxh3_64(adapter.name.as_bytes()) ^ xxh3_64(adapter.base.as_bytes()).rotate_left(1)
}

fn is_usable(target: &TargetState, need: &CallNeed<'_>, now: Timestamp) -> bool {
    is_alive(target, need, now)
        && !target.is_saturated(now)
        && need.model.is_none_or(|call| target.holds_base(&call.need.base, now))
}

fn is_alive(target: &TargetState, need: &CallNeed<'_>, now: Timestamp) -> bool {
    !target.is_draining()
        && !target.has_ended()
        && !target.is_backing_off(now)
        && !target.is_unresponsive(now)
        && !need.excluded.contains(&target.entry.incarnation)
}

/// Whether an engine has just started empty and its loader is not known to be silent: after a crash of all
/// engines, the base model is back within a second or two, and callers that were turned away meanwhile
/// would all have to come back for it.
fn awaits_base(pool: &TargetPool, need: &CallNeed<'_>, now: Timestamp) -> bool {
    need.model.is_some()
        && pool.service_targets(need.service).any(|target| {
            is_alive(target, need, now)
                && !target.is_loader_silent(now)
                && !target.is_saturated(now)
        })
}

fn zone_cost(target: &TargetState, need: &CallNeed<'_>) -> f64 {
    if target.entry.zone == *need.zone { 0.0 } else { ZONE_MS }
}

fn trouble_cost(target: &TargetState, now: Timestamp) -> f64 {
    let backoff = if target.health.is_backing_off(now) { 4.0 * FAILURE_MS } else { 0.0 };
    target.health.failure_share(now) * FAILURE_MS
        + f64::from(target.overdue) * OVERDUE_MS
        + backoff
        + target.entry.cold.as_millis() as f64 / 100.0
}

fn plain_cost(target: &TargetState, need: &CallNeed<'_>, now: Timestamp) -> f64 {
    f64::from(target.in_flight) * PLAIN_CALL_MS
        + target.latency.read_ms(now)
        + trouble_cost(target, now)
        + zone_cost(target, need)
}

fn engine_cost(
    pool: &TargetPool,
    target: &TargetState,
    call: &ModelCall,
    adapter: Option<&AdapterId>,
    preferred: &[TargetIncarnation],
    is_waited: bool,
    now: Timestamp,
) -> f64 {
    let prefill = target.fleet_prefill_tokens(now) / TOKENS_PER_MS;
    let stall =
        adapter.map_or(0.0, |adapter| stall_cost(pool, target, adapter, preferred, is_waited, now));
    prefill + stall + batch_cost(pool, target, call, now) + trouble_cost(target, now)
}

fn batch_cost(pool: &TargetPool, target: &TargetState, call: &ModelCall, now: Timestamp) -> f64 {
    let report = target.fresh_report(now);
    let active = report.map_or(0, |report| u32::from(report.active)).max(target.in_flight);
    let queued = report.map_or(0, |report| u32::from(report.queued));
    let Some(spec) = pool.engine_of(target) else { return f64::from(active) * ACTIVE_MS };
    let used = report.map_or(0, |report| u64::from(report.kv_used));
    let wanted = u64::from(call.tokens_in + call.tokens_out);
    let is_saturated = active >= spec.batch || used + wanted > spec.kv_tokens;
    // Those in the queue have their turns first, each when a run ends.
    let turns = queued + u32::from(is_saturated);
    // A full engine puts calls back when its memory runs out, and reads their prompts anew.
    let again = if is_saturated { f64::from(call.tokens_in) / TOKENS_PER_MS } else { 0.0 };
    f64::from(active) * ACTIVE_MS
        + f64::from(turns) * pool.wait_estimates().batch_wait_ms(spec.batch)
        + again
}

fn stall_cost(
    pool: &TargetPool,
    target: &TargetState,
    adapter: &AdapterId,
    preferred: &[TargetIncarnation],
    is_waited: bool,
    now: Timestamp,
) -> f64 {
    let newest = pool.newest_version(adapter);
    if target.held_version(adapter, now).is_some_and(|held| held >= newest) {
        return 0.0;
    }
    let stray =
        match preferred.iter().position(|incarnation| *incarnation == target.entry.incarnation) {
            Some(index) if index + 1 < preferred.len() => 0.0,
            Some(_) => SPARE_LOADS * pool.wait_estimates().load_ms(),
            None => STRAY_LOADS * pool.wait_estimates().load_ms(),
        };
    if target.is_loader_silent(now) {
        return stray + NO_LOADER_MS;
    }
    let stray = stray + if target.was_recently_saturated(now) { CROWDED_LOAD_MS } else { 0.0 };
    let Some(report) = target.fresh_report(now) else {
        return stray + pool.wait_estimates().load_ms() + pool.wait_estimates().queue_ms();
    };
    let load = f64::from(report.load_ms);
    if target.is_loading(adapter, now) {
        return stray + load * COMING_SHARE;
    }
    // The queue in which the call has its turn already holds itself.
    let queue = if is_waited { 0.0 } else { f64::from(report.queue_ms) };
    stray + load + queue
}

/// Wait for a slot for an adapter that must be loaded. It counts only where a call does not wait yet:
/// one that does has its turn, and would lose it each time that slots come and go elsewhere.
fn place_cost(
    pool: &TargetPool,
    target: &TargetState,
    adapter: Option<&AdapterId>,
    now: Timestamp,
) -> f64 {
    let is_needed = adapter.is_some_and(|adapter| {
        target.held_version(adapter, now).is_none() && !target.is_loading(adapter, now)
    });
    if is_needed {
        target.fresh_report(now).map_or(pool.wait_estimates().slot_wait_ms(), slot_wait_ms)
    } else {
        0.0
    }
}
