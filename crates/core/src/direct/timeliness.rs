//! Whether a model call can still be served before its deadline.
//!
//! A call that waits until its deadline for a load that cannot end before then takes a place in the loaders' queues
//! from calls that can be served, and its caller learns of the refusal too late to try elsewhere. Such a call is
//! refused at once. All estimates are lower bounds, so that a call that would merely be late is not refused.

use super::{
    call::AdapterId,
    loader::MAX_CONCURRENT_LOADS,
    selection::{CallNeed, adapter_of},
    target::TargetState,
    targets::TargetPool,
};
use crate::ids::{AdapterVersion, Timestamp};
use std::time::Duration;

/// Evidence that no engine can have a call's adapter loaded in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadOverrun {
    /// Shortest time until any engine could have loaded the adapter, as a lower bound.
    pub shortest: Duration,
    /// Time that the call has left until it must be sent.
    pub time_left: Duration,
    /// Number of engines that could take the call.
    pub engines: usize,
    /// Age of the oldest report among those used.
    pub oldest: Duration,
}

impl LoadOverrun {
    /// Time by which the load ends too late; a caller that returns after it may find a shorter queue.
    pub fn excess(&self) -> Duration {
        self.shortest.saturating_sub(self.time_left)
    }
}

/// Expected wait at one engine, as a lower bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EngineWait {
    /// Not known: the call is not refused.
    Unknown,
    /// Time until the adapter is loaded, and the age of the report that says so.
    Load(Duration, Duration),
    /// The engine cannot take the call before its deadline.
    Never,
}

/// What a call needs, and until when.
struct CallTerms<'a> {
    need: &'a CallNeed<'a>,
    base: &'a str,
    adapter: AdapterId,
    version: AdapterVersion,
    /// Whether queues of loads may consist of less urgent ones, which the call's load would go before.
    may_overtake: bool,
    time_left: Duration,
}

/// Returns evidence that a call cannot be served before its deadline, or `None` if it may be served.
///
/// `time_left` is the time within which the call must be sent. `priority` is that of the call; 0 is the highest.
/// The evidence requires a fresh report of the loader of every engine that could take the call. There is none for a
/// call that was sent to a target already, since it may have run there.
pub fn find_overrun(
    pool: &TargetPool,
    need: &CallNeed<'_>,
    priority: u8,
    time_left: Duration,
    now: Timestamp,
) -> Option<LoadOverrun> {
    let call = need.model.filter(|_| need.excluded.is_empty())?;
    let adapter = adapter_of(call)?;
    let version = pool.newest_version(&adapter);
    let base = &call.need.base;
    let mut terms = CallTerms { need, base, adapter, version, may_overtake: false, time_left };
    let overrun = compare_engines(pool, &terms, now)?;
    terms.may_overtake = has_lower_priority(pool, priority);
    if terms.may_overtake { compare_engines(pool, &terms, now) } else { Some(overrun) }
}

fn compare_engines(
    pool: &TargetPool,
    terms: &CallTerms<'_>,
    now: Timestamp,
) -> Option<LoadOverrun> {
    let mut overrun = None;
    for target in pool.service_targets(terms.need.service) {
        let (wait, age) = match engine_wait(target, terms, now) {
            EngineWait::Unknown => return None,
            EngineWait::Load(wait, _) if wait <= terms.time_left => return None,
            EngineWait::Load(wait, age) => (wait, age),
            EngineWait::Never => continue,
        };
        let known = overrun.get_or_insert(LoadOverrun {
            shortest: wait,
            time_left: terms.time_left,
            engines: 0,
            oldest: age,
        });
        known.shortest = known.shortest.min(wait);
        known.engines += 1;
        known.oldest = known.oldest.max(age);
    }
    overrun
}

fn engine_wait(target: &TargetState, terms: &CallTerms<'_>, now: Timestamp) -> EngineWait {
    let latest = now + terms.time_left;
    if target.is_draining() || target.has_ended() || target.is_backing_off(latest) {
        return EngineWait::Never;
    }
    let Some(view) = target.loader.as_ref().filter(|_| target.fresh_report(now).is_some()) else {
        return EngineWait::Unknown;
    };
    let report = &view.report;
    // Without loads in progress, the load time may be of long ago. Only a new load shows whether it still holds, and a
    // fleet that refused the calls would order none.
    let has_loads = report.queue_ms > 0 || !report.loading.is_empty();
    if !report.is_answering || !has_loads {
        return EngineWait::Unknown;
    }
    if !target.holds_base(terms.base, now) {
        // An empty engine may get any base model; one with another base model keeps it.
        return if report.holdings.is_empty() { EngineWait::Unknown } else { EngineWait::Never };
    }
    let holds_version = |held: Option<AdapterVersion>| held.is_some_and(|it| it >= terms.version);
    if holds_version(target.held_version(&terms.adapter, now))
        || target.is_loading(&terms.adapter, now)
        || target.is_in_host_memory(&terms.adapter, now)
        // Held until recently: the host may have it in memory, and load it without a queue in a tenth of the time.
        || holds_version(listed_version(target, &terms.adapter))
    {
        return EngineWait::Unknown;
    }
    let age = now.saturating_sub(view.received);
    let waits_there = terms.need.waiting_at == Some(&target.entry.incarnation);
    let queue = if waits_there || terms.may_overtake {
        // The call's place in the queue is not known.
        Duration::ZERO
    } else {
        shortest_queue(report.queue_ms)
    };
    let load = Duration::from_millis(report.load_ms.into());
    // The load may have begun right after the report, for this call or for one of another router.
    EngineWait::Load((queue + load).saturating_sub(age), age)
}

/// Shortest time in which a reported queue of loads can end. A report divides the queue by the number of loads that
/// the loader lets run at once just then, at least one. That number may grow to the engine's maximum meanwhile: after
/// a cold start it does so within a few loads.
fn shortest_queue(queue_ms: u16) -> Duration {
    Duration::from_millis(queue_ms.into()) / MAX_CONCURRENT_LOADS as u32
}

/// Version of an adapter that a target held when its entry in the list was written.
fn listed_version(target: &TargetState, adapter: &AdapterId) -> Option<AdapterVersion> {
    let mut holdings = target.entry.holdings.iter();
    let holding = holdings.find(|holding| holding.base == adapter.base)?;
    holding.adapters.get(&adapter.name).copied()
}

/// Whether any route or customer has a lower priority. A reported queue may then consist of loads for its calls.
fn has_lower_priority(pool: &TargetPool, priority: u8) -> bool {
    let config = pool.config();
    let customers = config.customers.rules().iter().filter_map(|customer| customer.priority);
    let routes = config.routes().map(|route| route.priority);
    routes.chain(customers).any(|other| other > priority)
}
