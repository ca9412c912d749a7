//! Target selection: the target with the lowest cost, in milliseconds of expected wait.

mod costs;

use super::{
    call::{AdapterId, ModelCall},
    membership::TargetIncarnation,
    placement::place_adapter,
    target::TargetState,
    targets::TargetPool,
};
use crate::ids::{AdapterVersion, ServiceName, SoftwareVersion, Timestamp, ZoneName};
use costs::{engine_cost, plain_cost, slot_wait_cost, zone_cost};
use std::{cmp::Ordering, sync::Arc};

/// Difference in cost above which a call that waits for its adapter at one target moves to a cheaper one: the load has
/// begun, and a load at the other target starts from the beginning.
const MOVE_THRESHOLD_MS: f64 = 250.0;
/// Range of the random part that spreads calls over targets of nearly equal cost.
const TIE_MS: f64 = 4.0;

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
    /// Software version that the call needs.
    pub software: SoftwareNeed<'a>,
}

/// Software version that a call needs of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoftwareNeed<'a> {
    /// Any version.
    Any,
    /// Any version; one that all routers know if there is a choice, since the call begins a stream that another router may
    /// have to resume.
    Settled,
    /// This version alone, at which the call's stream began.
    Only(&'a SoftwareVersion),
}

impl CallNeed<'_> {
    /// Whether a target's software version may run the call.
    pub fn admits_software(&self, target: &TargetState) -> bool {
        match self.software {
            SoftwareNeed::Any | SoftwareNeed::Settled => true,
            SoftwareNeed::Only(software) => target.entry.software.as_ref() == Some(software),
        }
    }
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
    let placement = adapter.as_ref().map(|adapter| place_adapter(pool, need, adapter, now));
    let placement = placement.unwrap_or_default();
    let costed = usable_targets(pool, need, now).into_iter().map(|target| {
        let cost = match need.model {
            None => plain_cost(target, need, now),
            Some(call) => {
                let waits_there = need.waiting_at == Some(&target.entry.incarnation);
                engine_cost(pool, target, call, adapter.as_ref(), &placement, waits_there, now)
                    + zone_cost(target, need)
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

/// Targets that can take a call. If there are others, those on silent hosts are left out, and for a call that begins a
/// stream those of a new version.
fn usable_targets<'p>(
    pool: &'p TargetPool,
    need: &CallNeed<'_>,
    now: Timestamp,
) -> Vec<&'p TargetState> {
    let usable = pool.service_targets(need.service).filter(|target| is_usable(target, need, now));
    let mut usable: Vec<&TargetState> = usable.collect();
    if usable.iter().any(|target| !target.is_host_silent(now)) {
        usable.retain(|target| !target.is_host_silent(now));
    }
    if need.software == SoftwareNeed::Settled
        && pool.has_unsettled_software(need.service, now)
        && usable.iter().any(|target| pool.has_settled_software(target, now))
    {
        usable.retain(|target| pool.has_settled_software(target, now));
    }
    usable
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
        && need.admits_software(target)
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
