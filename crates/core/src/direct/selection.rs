//! Target selection: the target with the lowest cost, in milliseconds of expected wait, and the preferred
//! targets of an adapter.

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

/// Cost of each call that an engine runs: each adds 0.02 ms to a step, over about 70 steps.
const ACTIVE_MS: f64 = 1.4;
/// Fraction of the load time that remains, on average, for an adapter whose load is already under way.
const LOADING_SHARE: f64 = 0.5;
/// Extra cost of a load at a target that is not preferred, as a multiple of a load from the weight store. The store
/// transfers the adapter once more, while the preferred target's host may have it in memory, and later calls to the
/// preferred target do not profit: the fleet loses as much time as the call. The factor is above 1 because the engine
/// also evicts an adapter for which this target is preferred.
const UNPREFERRED_LOAD_FACTOR: f64 = 1.6;
/// Extra cost of a load at the spare target, the one after the preferred ones, as a multiple of a load from the weight
/// store. The spare target takes the preferred ones' overflow, and thus later calls for the adapter too.
const SPARE_LOAD_FACTOR: f64 = 1.0;
/// Difference in cost above which a call that waits for its adapter at one target moves to a cheaper one: the load has
/// begun, and a load at the other target starts from the beginning.
const MOVE_THRESHOLD_MS: f64 = 250.0;
/// Cost of a target that needs a load and whose loader is silent: no process would order the load.
const NO_LOADER_MS: f64 = 5_000.0;
/// Cost of a load at a target that was recently saturated: the target may refuse the call although the adapter is
/// loaded.
const SATURATED_LOAD_MS: f64 = 5_000.0;
/// Cost of a failed call: about the latency objective that it misses.
const FAILURE_MS: f64 = 1_500.0;
/// Cost of each call whose first byte is overdue.
const OVERDUE_MS: f64 = 250.0;
/// Cost of a target in another availability zone: two round trips of about 1.5 ms, and traffic between zones.
const ZONE_MS: f64 = 6.0;
/// Cost of each call that this router has in flight at a plain service's target, added to its latency.
const PLAIN_CALL_MS: f64 = 15.0;
/// Range of the random part that spreads calls over targets of nearly equal cost.
const TIE_MS: f64 = 4.0;
/// Calls per second that one copy of an adapter serves before another copy is added.
const CALLS_PER_COPY: f64 = 10.0;

/// What a call needs of a target, and what limits the choice.
#[derive(Clone, Debug)]
pub struct CallNeed<'a> {
    /// Service that the call is for.
    pub service: &'a ServiceName,
    /// The model call, if the service is one of engines.
    pub model: Option<&'a ModelCall>,
    /// The router's zone.
    pub zone: &'a ZoneName,
    /// Targets that the call was sent to already.
    pub excluded: &'a [TargetIncarnation],
    /// Number of routers in the fleet.
    pub routers: usize,
    /// Target at which the call waits for its adapter; `None` before its first choice.
    pub waiting_at: Option<&'a TargetIncarnation>,
    /// Whether the router may request a loader's report before it decides.
    pub may_request_report: bool,
}

/// The next step for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetChoice {
    /// Send it; the version is the one of the adapter that the target holds, `None` without an adapter.
    Send(TargetIncarnation, Option<AdapterVersion>),
    /// Request a report from the target's loader and choose again: the last report is too old or missing.
    RequestReport(TargetIncarnation),
    /// Have the adapter loaded there, at this version or a newer one, then send the call.
    Load(TargetIncarnation, AdapterId, AdapterVersion),
    /// Engines are up but empty; wait until their loaders have loaded the base model.
    AwaitBase,
    /// No target can take the call.
    Nowhere,
}

/// The adapter that a call needs; `None` if the base model is enough.
pub fn adapter_of(call: &ModelCall) -> Option<AdapterId> {
    let name = call.need.adapter.as_ref()?;
    Some(AdapterId { base: Arc::clone(&call.need.base), name: Arc::clone(name) })
}

/// Chooses a target for a call; `draw` returns random numbers, uniform from 0 to 1.
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
                let preferred_incarnations = preferred.as_deref().unwrap_or_default();
                let waits_there = need.waiting_at == Some(&target.entry.incarnation);
                engine_cost(
                    pool,
                    target,
                    call,
                    adapter.as_ref(),
                    preferred_incarnations,
                    waits_there,
                    now,
                ) + zone_cost(target, need)
                    + if waits_there {
                        -MOVE_THRESHOLD_MS
                    } else {
                        slot_wait_cost(pool, target, adapter.as_ref(), now)
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
    if need.may_request_report && !target.is_report_sufficient(&adapter, now) {
        return TargetChoice::RequestReport(incarnation);
    }
    let newest = pool.newest_version(&adapter);
    match target.held_version(&adapter, now) {
        Some(held) if held >= newest => TargetChoice::Send(incarnation, Some(held)),
        _ => TargetChoice::Load(incarnation, adapter, newest),
    }
}

/// Expected latency of a plain service whose calls queue, in milliseconds: that of its fastest target.
/// 0 if no calls queue.
pub fn queued_plain_ms(pool: &TargetPool, need: &CallNeed<'_>, now: Timestamp) -> f64 {
    if !pool.shows_queue(need.service, need.routers) {
        return 0.0;
    }
    let usable = pool.service_targets(need.service).filter(|target| is_usable(target, need, now));
    let expected = usable.map(|target| target.latency.read_ms(now)).min_by(f64::total_cmp);
    expected.unwrap_or(0.0)
}

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

/// Whether an engine is up without the base model and its loader is not silent. After a crash of all engines
/// the base model is loaded again within a second or two; callers refused meanwhile would all have to retry.
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

fn failure_cost(target: &TargetState, now: Timestamp) -> f64 {
    let backoff = if target.health.is_backing_off(now) { 4.0 * FAILURE_MS } else { 0.0 };
    target.health.failure_share(now) * FAILURE_MS
        + f64::from(target.overdue) * OVERDUE_MS
        + backoff
        + target.entry.cold.as_millis() as f64 / 100.0
}

fn plain_cost(target: &TargetState, need: &CallNeed<'_>, now: Timestamp) -> f64 {
    f64::from(target.in_flight) * PLAIN_CALL_MS
        + target.latency.read_ms(now)
        + failure_cost(target, now)
        + zone_cost(target, need)
}

fn engine_cost(
    pool: &TargetPool,
    target: &TargetState,
    call: &ModelCall,
    adapter: Option<&AdapterId>,
    preferred: &[TargetIncarnation],
    waits_there: bool,
    now: Timestamp,
) -> f64 {
    let prefill = target.fleet_prefill_tokens(now) / TOKENS_PER_MS;
    let stall = adapter
        .map_or(0.0, |adapter| stall_cost(pool, target, adapter, preferred, waits_there, now));
    prefill + stall + batch_cost(pool, target, call, now) + failure_cost(target, now)
}

fn batch_cost(pool: &TargetPool, target: &TargetState, call: &ModelCall, now: Timestamp) -> f64 {
    let report = target.fresh_report(now);
    let active = report.map_or(0, |report| u32::from(report.active)).max(target.in_flight);
    let queued = report.map_or(0, |report| u32::from(report.queued));
    let Some(spec) = pool.engine_of(target) else { return f64::from(active) * ACTIVE_MS };
    let used = report.map_or(0, |report| u64::from(report.kv_used));
    let wanted = u64::from(call.tokens_in + call.tokens_out);
    let exceeds_capacity = active >= spec.batch || used + wanted > spec.kv_tokens;
    // Queued calls start first, one for each run that ends.
    let runs_before = queued + u32::from(exceeds_capacity);
    // An engine preempts calls when its KV cache is full, and processes their prompts again.
    let reprocessing =
        if exceeds_capacity { f64::from(call.tokens_in) / TOKENS_PER_MS } else { 0.0 };
    f64::from(active) * ACTIVE_MS
        + f64::from(runs_before) * pool.wait_estimates().batch_wait_ms(spec.batch)
        + reprocessing
}

fn stall_cost(
    pool: &TargetPool,
    target: &TargetState,
    adapter: &AdapterId,
    preferred: &[TargetIncarnation],
    waits_there: bool,
    now: Timestamp,
) -> f64 {
    let newest = pool.newest_version(adapter);
    if target.held_version(adapter, now).is_some_and(|held| held >= newest) {
        return 0.0;
    }
    let unpreferred =
        match preferred.iter().position(|incarnation| *incarnation == target.entry.incarnation) {
            Some(index) if index + 1 < preferred.len() => 0.0,
            Some(_) => SPARE_LOAD_FACTOR * pool.wait_estimates().load_ms(),
            None => UNPREFERRED_LOAD_FACTOR * pool.wait_estimates().load_ms(),
        };
    if target.is_loader_silent(now) {
        return unpreferred + NO_LOADER_MS;
    }
    let unpreferred =
        unpreferred + if target.was_recently_saturated(now) { SATURATED_LOAD_MS } else { 0.0 };
    let Some(report) = target.fresh_report(now) else {
        return unpreferred + pool.wait_estimates().load_ms() + pool.wait_estimates().queue_ms();
    };
    let load = f64::from(report.load_ms);
    if target.is_loading(adapter, now) {
        return unpreferred + load * LOADING_SHARE;
    }
    // A call that waits at the target already is itself part of the queue.
    let queue = if waits_there { 0.0 } else { f64::from(report.queue_ms) };
    unpreferred + load + queue
}

/// Expected wait for an adapter slot, if the adapter must be loaded. The caller adds it only for targets
/// where the call does not wait yet: otherwise a call would give up its place in the queue whenever slots
/// become free elsewhere.
fn slot_wait_cost(
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
