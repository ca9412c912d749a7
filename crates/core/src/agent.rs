//! The agent's state machine: it alone controls its one target.
//!
//! It takes events and returns actions. Because nothing else sends orders to the target, rules such as
//! "an adapter in use is never evicted" are local invariants of this module.

mod admission;
mod dispatch;
pub mod events;
pub mod loads;
pub mod queue;
pub mod residency;

use crate::{
    agent::{
        events::{AgentAction, AgentEvent, LoadResult, OfferSummary, WorkId},
        loads::LoadTable,
        queue::{QueuedWork, WorkQueue},
        residency::{EvictionPolicy, ResidentTable},
    },
    config::PresetRecord,
    direct::advertised_state::AdvertisedState,
    ids::{AdapterDigest, AdapterKey, ConfigRevision, Timestamp},
    outcome::{Refusal, RefusalReason},
    protocol::{TargetReport, WorkItem},
    stats::RunningMean,
    target::TargetKind,
};
use std::{collections::HashMap, time::Duration};

/// Time after which a reservation that was never released expires. It only has to outlast the
/// entry's claim of the idempotency key, a few round trips to the platform.
pub const RESERVATION_TTL: Duration = Duration::from_secs(10);
/// Estimate of a request's service time until the first request has ended.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Probability that an evicted adapter must be loaded again soon, per unit of its demand.
const RELOAD_CHANCE: f64 = 0.1;
/// Demand assumed for the victim while all adapters are in use and none can be evicted.
const PINNED_DEMAND: f64 = 50.0;

/// Fixed properties of an agent and its target.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Base model or service that the target serves.
    pub kind: TargetKind,
    /// Adapters that the engine holds at once.
    pub slots: usize,
    /// Requests that the target runs at once.
    pub batch_limit: u32,
    /// Loads that the engine performs at once.
    pub load_limit: usize,
    /// Which adapter to evict.
    pub eviction: EvictionPolicy,
    /// Initial value of the resident set's counter; higher than any value that an earlier process of this
    /// target has sent.
    pub residency_base: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WorkPhase {
    /// Accepted, not yet released by the entry; expires at this time.
    Reserved(Timestamp),
    /// Waits for its adapter or a batch slot.
    Queued,
    /// Sent to the target.
    Running,
}

#[derive(Debug)]
struct WorkRecord {
    offer: OfferSummary,
    phase: WorkPhase,
    accepted: Timestamp,
    deadline: Timestamp,
    stall: Option<Duration>,
    is_cancelled: bool,
}

/// State of one agent: its accepted requests, its target, and the adapters resident or wanted there.
#[derive(Debug)]
pub struct AgentState {
    options: AgentOptions,
    queue_limit: u32,
    revision: ConfigRevision,
    draining: bool,
    leased: bool,
    target_up: bool,
    advertised: AdvertisedState,
    running: u32,
    requests: HashMap<WorkId, WorkRecord>,
    queue: WorkQueue,
    residents: ResidentTable,
    loads: LoadTable,
    service_time: RunningMean,
    actions: Vec<AgentAction>,
}

impl AgentState {
    /// Starts with nothing resident, and takes no work before the target is known to be up.
    pub fn new(options: AgentOptions) -> Self {
        Self {
            residents: ResidentTable::new(options.slots, options.eviction),
            options,
            queue_limit: PresetRecord::new("initial").queue_limit,
            revision: 0,
            draining: false,
            leased: true,
            target_up: false,
            advertised: AdvertisedState::default(),
            running: 0,
            requests: HashMap::new(),
            queue: WorkQueue::default(),
            loads: LoadTable::default(),
            service_time: RunningMean::new(INITIAL_SERVICE_TIME),
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the resulting actions, in order.
    pub fn handle(&mut self, event: AgentEvent, now: Timestamp) -> Vec<AgentAction> {
        match event {
            AgentEvent::Offered(offer) => self.offered(*offer, now),
            AgentEvent::Released(work) => self.released(work),
            AgentEvent::Cancelled(work) => self.cancelled(work),
            AgentEvent::Finished { work, service_time } => self.finished(work, service_time, now),
            AgentEvent::AdapterMissing(work) => self.adapter_missing(work, now),
            AgentEvent::LoadPermitted(key) => self.loads.permit(&key),
            AgentEvent::LoadEnded { key, result, took } => {
                self.load_ended(&key, result, took, now);
            }
            AgentEvent::EvictEnded { key, evicted } => self.residents.evict_ended(&key, evicted),
            AgentEvent::Inventory(held) => {
                self.residents.reconcile(held, now);
                self.request_missing_loads(now);
            }
            AgentEvent::TargetRestarted => self.target_restarted(now),
            AgentEvent::TargetUp(up) => self.set_target_up(up),
            AgentEvent::TargetBacksOff(backoff) => self.start_backoff(backoff, now),
            AgentEvent::LeaseHeld(held) => self.leased = held,
            AgentEvent::Configured { revision, queue_limit } => {
                self.revision = self.revision.max(revision);
                self.queue_limit = queue_limit;
            }
            AgentEvent::Stopping => self.draining = true,
            AgentEvent::Tick => self.expire(now),
        }
        self.dispatch_work(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether the agent may exit: it is stopping and holds no accepted work.
    pub fn is_drained(&self) -> bool {
        self.draining && self.requests.is_empty()
    }

    /// Whether this process holds the lease of its target.
    pub fn is_leased(&self) -> bool {
        self.leased
    }

    /// Whether the target is known to be up.
    pub fn is_target_up(&self) -> bool {
        self.target_up
    }

    /// Requests sent to the target and not yet ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests accepted and waiting.
    pub fn queued(&self) -> u32 {
        self.requests.len() as u32 - self.running
    }

    /// The resident set, for tests and status pages.
    pub fn residents(&self) -> &ResidentTable {
        &self.residents
    }

    /// Number of adapters that accepted work waits for.
    pub fn loads_wanted(&self) -> usize {
        self.loads.keys().count()
    }

    /// Number of requests that pin `key`, queued and reserved ones included.
    pub fn pins(&self, key: &AdapterKey) -> u32 {
        self.residents.pins(key)
    }

    /// Builds the report for an entry. It includes the resident set only if `known_residency`, the counter of the
    /// last set that the entry has received, is out of date.
    pub fn report(&self, known_residency: u64, now: Timestamp) -> TargetReport {
        let changes = self.residents.counter() + self.loads.counter();
        let residency = self.options.residency_base + changes;
        let stale = known_residency != residency;
        let loading = || self.loads.keys().map(AdapterKey::digest).collect::<Vec<AdapterDigest>>();
        TargetReport {
            residency,
            residents: stale.then(|| self.residents.ready_digests()),
            loading: if stale { loading() } else { Vec::new() },
            running: self.running,
            queued: self.queued(),
            batch_limit: self.options.batch_limit,
            load_wait: self.loads.expected_wait(self.options.load_limit, now),
            slot_cost: self.slot_cost(now),
            service_time: self.service_time.read(),
            leaving: self.draining,
            revision: self.revision,
        }
    }

    /// Expected cost of the eviction that a load needs. The probability that the evicted adapter is loaded
    /// again grows with its demand.
    fn slot_cost(&self, now: Timestamp) -> Duration {
        let demand = self.residents.victim_demand(now).unwrap_or(PINNED_DEMAND);
        self.loads.load_time().mul_f64(demand * RELOAD_CHANCE)
    }

    fn offered(&mut self, offer: OfferSummary, now: Timestamp) {
        let work = offer.work;
        match self.check_offer(&offer, now) {
            Err(refusal) => self.actions.push(AgentAction::Refuse { work, refusal }),
            Ok(()) => self.accept(offer, now),
        }
    }

    fn accept(&mut self, offer: OfferSummary, now: Timestamp) {
        let work = offer.work;
        if let WorkItem::Completion { key, .. } = &offer.item {
            self.residents.pin(key, now);
        }
        let ready = match &offer.item {
            WorkItem::Completion { key, .. } => self.residents.is_ready(key),
            WorkItem::Service { .. } => true,
        };
        let phase = if offer.idempotent {
            self.queue.push(QueuedWork::new(&offer));
            WorkPhase::Queued
        } else {
            WorkPhase::Reserved(now + RESERVATION_TTL)
        };
        let record = WorkRecord {
            phase,
            accepted: now,
            deadline: now + offer.time_left,
            stall: ready.then_some(Duration::ZERO),
            is_cancelled: false,
            offer,
        };
        self.request_load(&record, now);
        self.requests.insert(work, record);
        self.actions.push(AgentAction::Accept { work });
    }

    fn request_load(&mut self, record: &WorkRecord, now: Timestamp) {
        if let WorkItem::Completion { key, .. } = &record.offer.item
            && !self.residents.is_present(key)
            && let Some(urgency) = self.loads.request(key, record.offer.priority, now)
        {
            self.actions.push(AgentAction::AskPermit { key: key.clone(), urgency });
        }
    }

    /// Requests loads for all accepted work whose adapter is no longer resident, as after a restart.
    fn request_missing_loads(&mut self, now: Timestamp) {
        let requests = std::mem::take(&mut self.requests);
        for record in requests.values().filter(|record| record.phase != WorkPhase::Running) {
            self.request_load(record, now);
        }
        self.requests = requests;
    }

    fn released(&mut self, work: WorkId) {
        let Some(record) = self.requests.get_mut(&work) else { return };
        if matches!(record.phase, WorkPhase::Reserved(_)) {
            record.phase = WorkPhase::Queued;
            self.queue.push(QueuedWork::new(&record.offer));
        }
    }

    fn cancelled(&mut self, work: WorkId) {
        let Some(record) = self.requests.get_mut(&work) else { return };
        record.is_cancelled = true;
        match record.phase {
            // A non-idempotent request that runs is not aborted, because that would leave its effect
            // half done and its outcome unknown.
            WorkPhase::Running if record.offer.idempotent => {
                self.actions.push(AgentAction::Abort { work });
            }
            WorkPhase::Running => {}
            WorkPhase::Queued | WorkPhase::Reserved(_) => self.forget(work),
        }
    }

    fn finished(&mut self, work: WorkId, service_time: Duration, now: Timestamp) {
        let Some(record) = self.requests.get(&work) else { return };
        if record.phase != WorkPhase::Running {
            return;
        }
        if let WorkItem::Completion { key, .. } = &record.offer.item {
            self.residents.touch(key, now);
        }
        self.service_time.record(service_time);
        self.forget(work);
    }

    /// Requeues a request that the engine refused because it does not hold the adapter, and requests
    /// the load again. The request has not run; if it was cancelled, it is dropped.
    fn adapter_missing(&mut self, work: WorkId, now: Timestamp) {
        let Some(record) = self.requests.get_mut(&work) else { return };
        if record.phase != WorkPhase::Running {
            return;
        }
        record.phase = WorkPhase::Queued;
        record.stall = None;
        self.running -= 1;
        self.queue.push(QueuedWork::new(&record.offer));
        if let WorkItem::Completion { key, .. } = &record.offer.item {
            self.residents.mark_missing(key);
        }
        if record.is_cancelled {
            self.refuse_accepted(work, RefusalReason::LoadFailed);
        }
        self.request_missing_loads(now);
    }

    fn load_ended(&mut self, key: &AdapterKey, result: LoadResult, took: Duration, now: Timestamp) {
        match result {
            LoadResult::Loaded => {
                self.residents.load_ended(key, true, now);
                self.loads.loaded(key, took);
                self.record_stalls(key, now);
            }
            LoadResult::Failed | LoadResult::StoreBusy => {
                self.residents.load_ended(key, false, now);
                if self.loads.failed(key, result, now) {
                    self.refuse_waiters(key);
                }
            }
        }
    }

    fn record_stalls(&mut self, key: &AdapterKey, now: Timestamp) {
        for record in self.requests.values_mut().filter(|record| record.offer.needs(key)) {
            record.stall.get_or_insert(now.saturating_sub(record.accepted));
        }
    }

    fn refuse_waiters(&mut self, key: &AdapterKey) {
        let waits =
            |record: &&WorkRecord| record.phase != WorkPhase::Running && record.offer.needs(key);
        let waiters: Vec<WorkId> =
            self.requests.values().filter(waits).map(|record| record.offer.work).collect();
        for work in waiters {
            self.refuse_accepted(work, RefusalReason::LoadFailed);
        }
    }

    /// Starts the backoff that the target asked for, and refuses all waiting work, so that entries can
    /// offer it to other targets.
    fn start_backoff(&mut self, backoff: Duration, now: Timestamp) {
        self.advertised.record_backoff(backoff, now);
        let is_waiting = |record: &&WorkRecord| record.phase != WorkPhase::Running;
        let waiting: Vec<WorkId> =
            self.requests.values().filter(is_waiting).map(|record| record.offer.work).collect();
        for work in waiting {
            let refusal = self.backoff_refusal(now);
            self.refuse_with(work, refusal);
        }
    }

    /// Records whether the target answers. One that was down and answers again counts as a new incarnation,
    /// because not all targets report their start.
    fn set_target_up(&mut self, up: bool) {
        if up && !self.target_up {
            self.advertised = AdvertisedState::default();
        }
        self.target_up = up;
    }

    fn target_restarted(&mut self, now: Timestamp) {
        self.advertised = AdvertisedState::default();
        self.residents.clear();
        self.loads.forget_started();
        self.request_missing_loads(now);
    }

    /// Refuses accepted work that has passed its deadline or whose reservation has expired. It was never
    /// sent to the target, so it is certain that it did not run; the early refusal leaves the caller time
    /// to act.
    fn expire(&mut self, now: Timestamp) {
        let late: Vec<WorkId> = self
            .requests
            .values()
            .filter(|record| Self::is_late(record, now))
            .map(|record| record.offer.work)
            .collect();
        for work in late {
            self.refuse_accepted(work, RefusalReason::TooLate);
        }
    }

    fn is_late(record: &WorkRecord, now: Timestamp) -> bool {
        match record.phase {
            WorkPhase::Running => false,
            WorkPhase::Reserved(expires) => now >= expires.min(record.deadline),
            WorkPhase::Queued => now >= record.deadline,
        }
    }

    fn refuse_accepted(&mut self, work: WorkId, reason: RefusalReason) {
        let refusal = self.refusal(reason);
        self.refuse_with(work, refusal);
    }

    fn refuse_with(&mut self, work: WorkId, refusal: Refusal) {
        self.forget(work);
        self.actions.push(AgentAction::Refuse { work, refusal });
    }

    fn forget(&mut self, work: WorkId) {
        let Some(record) = self.requests.remove(&work) else { return };
        if record.phase == WorkPhase::Running {
            self.running -= 1;
        }
        self.queue.remove(work);
        if let WorkItem::Completion { key, .. } = &record.offer.item {
            self.residents.unpin(key);
            if self.residents.pins(key) == 0 && self.loads.cancel(key) {
                self.actions.push(AgentAction::DropPermit { key: key.clone() });
            }
        }
    }
}
