//! Costs of sending a call to a target, in milliseconds of expected wait.

use super::CallNeed;
use crate::{
    direct::{
        call::{AdapterId, ModelCall},
        capacity::EngineCapacity,
        loader::HOST_MEMORY_LOAD_SHARE,
        placement::AdapterPlacement,
        target::TargetState,
        targets::TargetPool,
        waits::{batch_wait_ms, slot_wait_ms},
    },
    ids::Timestamp,
};

/// Cost of each call that an engine of the median rate runs: each adds 0.02 ms to a step, over about 70 steps.
const ACTIVE_MS: f64 = 1.4;
/// Fraction of the load time that remains, on average, for an adapter whose load is already under way.
const LOADING_SHARE: f64 = 0.5;
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

pub(super) fn zone_cost(target: &TargetState, need: &CallNeed<'_>) -> f64 {
    if target.entry.zone == *need.zone { 0.0 } else { ZONE_MS }
}

fn failure_cost(target: &TargetState, now: Timestamp) -> f64 {
    let backoff = if target.health.is_backing_off(now) { 4.0 * FAILURE_MS } else { 0.0 };
    target.health.failure_share(now) * FAILURE_MS
        + f64::from(target.overdue) * OVERDUE_MS
        + backoff
        + target.entry.cold.as_millis() as f64 / 100.0
}

pub(super) fn plain_cost(target: &TargetState, need: &CallNeed<'_>, now: Timestamp) -> f64 {
    f64::from(target.in_flight) * PLAIN_CALL_MS
        + target.latency.read_ms(now)
        + failure_cost(target, now)
        + zone_cost(target, need)
}

pub(super) fn engine_cost(
    pool: &TargetPool,
    target: &TargetState,
    call: &ModelCall,
    adapter: Option<&AdapterId>,
    placement: &AdapterPlacement,
    waits_there: bool,
    now: Timestamp,
) -> f64 {
    let capacity = pool.capacity(target, now);
    let unread = target.prefill_tokens_at_rate(capacity.tokens_per_ms, now);
    let prefill = capacity.prefill_ms(unread);
    // The call's own prefill is in the cost as far as engines differ, so that long prompts go to fast ones.
    let own_prefill = capacity.extra_prefill_ms(f64::from(call.tokens_in));
    let stall = adapter
        .map_or(0.0, |adapter| stall_cost(pool, target, adapter, placement, waits_there, now));
    prefill
        + stall
        + batch_cost(pool, target, call, capacity, now)
        + failure_cost(target, now)
        + own_prefill
}

fn batch_cost(
    pool: &TargetPool,
    target: &TargetState,
    call: &ModelCall,
    capacity: EngineCapacity,
    now: Timestamp,
) -> f64 {
    let active_ms = ACTIVE_MS * capacity.step_ratio();
    let report = target.fresh_report(now);
    let active = report.map_or(0, |report| u32::from(report.active)).max(target.in_flight);
    let queued = report.map_or(0, |report| u32::from(report.queued));
    let Some(spec) = pool.engine_of(target) else { return f64::from(active) * active_ms };
    let used = report.map_or(0, |report| u64::from(report.kv_used));
    let wanted = u64::from(call.tokens_in) + u64::from(call.tokens_out);
    let exceeds_capacity = active >= spec.batch || used + wanted > spec.kv_tokens;
    // Queued calls start first, one for each run that ends.
    let runs_before = queued + u32::from(exceeds_capacity);
    // An engine preempts calls when its KV cache is full, and processes their prompts again.
    let reprocessing =
        if exceeds_capacity { capacity.prefill_ms(f64::from(call.tokens_in)) } else { 0.0 };
    // Reported run times include the wait in the engine's queue: by Little's law, runs end at the rate of all calls there
    // over that time.
    let concurrent_runs = if capacity.is_reported { spec.batch + queued } else { spec.batch };
    f64::from(active) * active_ms
        + f64::from(runs_before) * batch_wait_ms(capacity.run_ms, concurrent_runs)
        + reprocessing
}

fn stall_cost(
    pool: &TargetPool,
    target: &TargetState,
    adapter: &AdapterId,
    placement: &AdapterPlacement,
    waits_there: bool,
    now: Timestamp,
) -> f64 {
    let newest = pool.newest_version(adapter);
    if target.held_version(adapter, now).is_some_and(|held| held >= newest) {
        return 0.0;
    }
    let is_in_memory = target.is_in_host_memory(adapter, now);
    let share = if is_in_memory { HOST_MEMORY_LOAD_SHARE } else { 1.0 };
    let unpreferred =
        placement.load_price(&target.entry.incarnation) * pool.wait_estimates().load_ms() * share;
    if target.is_loader_silent(now) {
        return unpreferred + NO_LOADER_MS;
    }
    let unpreferred =
        unpreferred + if target.was_recently_saturated(now) { SATURATED_LOAD_MS } else { 0.0 };
    let Some(report) = target.fresh_report(now) else {
        return unpreferred + pool.wait_estimates().load_ms() + pool.wait_estimates().queue_ms();
    };
    let load = f64::from(report.load_ms) * share;
    if target.is_loading(adapter, now) {
        return unpreferred + load * LOADING_SHARE;
    }
    // A load from host memory does not wait for the weight store. A call that waits at the target already is itself part
    // of the queue.
    let queue = if waits_there || is_in_memory { 0.0 } else { f64::from(report.queue_ms) };
    unpreferred + load + queue
}

/// Expected wait for an adapter slot, if the adapter must be loaded. The caller adds it only for targets
/// where the call does not wait yet: otherwise a call would give up its place in the queue whenever slots
/// become free elsewhere.
pub(super) fn slot_wait_cost(
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
