//! Slots of plain services that all routers share: a call takes one before it is sent and returns it when it ends.

use super::{context::RouterContext, links::registry_loaders};
use crate::clock;
use metrics::{counter, gauge};
use plantain_core::{
    direct::{
        concurrency::{
            ServiceTag, SlotTag,
            account::{SlotAccount, SlotCall, SlotDecision, SlotResult, SlotTicket, SlotView},
            is_coordinated,
            messages::{SlotGrant, SlotReport},
            service_tag,
        },
        membership::InstanceId,
    },
    ids::{BootId, ServiceName, Timestamp},
};
use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};
use tokio::sync::{Notify, oneshot};

/// Odd factor that mixes the bits of a target's tag and a router's boot id (from the golden ratio).
const ORDER_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Identifies a waiting call over all services.
type WaitKey = (ServiceTag, SlotTicket);

/// Targets of one service whose slots are coordinated.
pub(crate) struct CoordinatedService {
    service: ServiceName,
    /// Targets and their slots, those of the router's own zone first.
    targets: Vec<(SlotTag, u16)>,
    /// Latency of the fastest target in ms; 0 if unknown.
    latency_ms: f64,
}

/// The accounts of all coordinated services at this router.
pub(crate) struct SlotTracker {
    boot: BootId,
    accounts: RefCell<HashMap<ServiceTag, (ServiceName, SlotAccount)>>,
    waiting: RefCell<HashMap<WaitKey, oneshot::Sender<SlotDecision>>>,
    /// Notified when a report may be due.
    pub(crate) wake: Notify,
}

impl SlotTracker {
    /// Starts without coordinated services.
    pub(crate) fn new(boot: BootId) -> Rc<Self> {
        Rc::new(Self {
            boot,
            accounts: RefCell::default(),
            waiting: RefCell::default(),
            wake: Notify::new(),
        })
    }

    /// Sets the services whose slots are coordinated, and the targets whose loaders may coordinate them.
    fn set_services(
        &self,
        services: &[CoordinatedService],
        coordinators: &[InstanceId],
        routers: usize,
    ) {
        let mut accounts = self.accounts.borrow_mut();
        accounts.retain(|_, (name, _)| services.iter().any(|spec| spec.service == *name));
        for spec in services {
            let tag = service_tag(&spec.service);
            let (_, account) = accounts.entry(tag).or_insert_with(|| {
                (Arc::clone(&spec.service), SlotAccount::new(self.boot, tag, clock::now()))
            });
            account.set_fleet(&spec.targets, coordinators, routers);
            account.set_first_run(spec.latency_ms);
        }
        // Calls that wait for a service without an account go on without a slot.
        self.waiting.borrow_mut().retain(|(tag, _), _| accounts.contains_key(tag));
        drop(accounts);
        self.wake.notify_one();
    }

    /// Whether a coordinator divides the slots of a service now.
    pub(crate) fn is_managed(&self, service: &ServiceName) -> bool {
        let accounts = self.accounts.borrow();
        let account = accounts.get(&service_tag(service));
        account.is_some_and(|(_, account)| account.is_managed(clock::now()))
    }

    /// State of a service's account.
    pub(crate) fn view(&self, service: &ServiceName) -> SlotView {
        let accounts = self.accounts.borrow();
        let account = accounts.get(&service_tag(service));
        account.map(|(_, account)| account.view(clock::now())).unwrap_or_default()
    }

    /// Requests a slot for a call and waits until it is decided. Without a coordinator, the call is counted at its
    /// first target and the decision is [`SlotDecision::Unmanaged`].
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        service: &ServiceName,
        call: SlotCall,
    ) -> (SlotDecision, Option<SlotGuard>) {
        let tag = service_tag(service);
        let first = call.targets.first().copied();
        let result = match self.accounts.borrow_mut().get_mut(&tag) {
            Some((_, account)) => account.request(call, clock::now()),
            None => return (SlotDecision::Unmanaged, None),
        };
        self.deliver_decisions();
        let decision = match result {
            SlotResult::Decided(decision) => decision,
            SlotResult::Waiting(ticket) => {
                counter!("plantain_slot_waits_total").increment(1);
                self.wait((tag, ticket)).await
            }
        };
        let guard = match decision {
            SlotDecision::Start(target) => Some(target),
            SlotDecision::Refused { .. } => None,
            SlotDecision::Unmanaged => first.inspect(|target| self.count(tag, *target)),
        };
        self.wake.notify_one();
        let guard = guard.map(|target| SlotGuard {
            tracker: Rc::clone(self),
            service: tag,
            target,
            run: None,
        });
        (decision, guard)
    }

    async fn wait(&self, key: WaitKey) -> SlotDecision {
        let (sender, decided) = oneshot::channel();
        self.waiting.borrow_mut().insert(key, sender);
        self.wake.notify_one();
        let mut guard = WaitingSlot { tracker: self, key, decided };
        // The sender is dropped if the service is no longer coordinated.
        (&mut guard.decided).await.unwrap_or(SlotDecision::Unmanaged)
    }

    fn count(&self, service: ServiceTag, target: SlotTag) {
        if let Some((_, account)) = self.accounts.borrow_mut().get_mut(&service) {
            account.count(target);
        }
    }

    fn release(&self, service: ServiceTag, target: SlotTag, run: Option<Duration>) {
        if let Some((_, account)) = self.accounts.borrow_mut().get_mut(&service) {
            account.release(target, run, clock::now());
        }
        self.deliver_decisions();
        self.wake.notify_one();
    }

    /// Applies a coordinator's grant.
    pub(crate) fn take_grant(&self, from: &InstanceId, grant: &SlotGrant, now: Timestamp) {
        if let Some((_, account)) = self.accounts.borrow_mut().get_mut(&grant.service) {
            account.take_grant(from, grant, now);
        }
        self.deliver_decisions();
    }

    /// Reports that are due, each with the target whose loader gets it.
    pub(crate) fn take_reports(&self, now: Timestamp) -> Vec<(InstanceId, SlotReport)> {
        let mut accounts = self.accounts.borrow_mut();
        let reports = accounts.values_mut().flat_map(|(_, account)| account.take_reports(now));
        let reports = reports.collect();
        drop(accounts);
        self.deliver_decisions();
        reports
    }

    /// When [`Self::take_reports`] must be called next.
    pub(crate) fn next_step(&self) -> Option<Timestamp> {
        let accounts = self.accounts.borrow();
        accounts.values().filter_map(|(_, account)| account.next_step()).min()
    }

    /// Updates the gauges.
    pub(crate) fn update_metrics(&self) {
        for (name, account) in self.accounts.borrow().values() {
            let view = account.view(clock::now());
            gauge!("plantain_slots_allowed", "service" => name.to_string())
                .set(f64::from(view.allowed));
            gauge!("plantain_slots_in_use", "service" => name.to_string())
                .set(f64::from(view.in_use));
        }
    }

    fn deliver_decisions(&self) {
        let mut accounts = self.accounts.borrow_mut();
        let mut waiting = self.waiting.borrow_mut();
        for (tag, (_, account)) in accounts.iter_mut() {
            for (ticket, decision) in account.take_decided() {
                let sender = waiting.remove(&(*tag, ticket));
                let is_received = sender.is_some_and(|sender| sender.send(decision).is_ok());
                if let (false, SlotDecision::Start(target)) = (is_received, decision) {
                    account.release(target, None, clock::now());
                }
            }
        }
    }
}

/// A call's wait for a slot; cancelled if dropped before the decision.
struct WaitingSlot<'a> {
    tracker: &'a SlotTracker,
    key: WaitKey,
    decided: oneshot::Receiver<SlotDecision>,
}

impl Drop for WaitingSlot<'_> {
    fn drop(&mut self) {
        let (tag, ticket) = self.key;
        if self.tracker.waiting.borrow_mut().remove(&self.key).is_some() {
            if let Some((_, account)) = self.tracker.accounts.borrow_mut().get_mut(&tag) {
                account.cancel(ticket);
            }
            self.tracker.wake.notify_one();
        } else if let Ok(SlotDecision::Start(target)) = self.decided.try_recv() {
            // The caller left after the decision was sent and before it was received.
            self.tracker.release(tag, target, None);
        }
    }
}

/// A slot of a target, returned when dropped.
pub(crate) struct SlotGuard {
    tracker: Rc<SlotTracker>,
    service: ServiceTag,
    target: SlotTag,
    run: Option<Duration>,
}

impl SlotGuard {
    /// Records the time from the call's send to the end of its answer.
    pub(crate) fn set_run(&mut self, run: Duration) {
        self.run = Some(run);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.tracker.release(self.service, self.target, self.run);
    }
}

/// Updates the coordinated services: those without engines whose targets state their slots, while the routers of the
/// fleet outnumber a quarter of these.
pub(crate) fn follow_slots(context: &RouterContext) {
    let routers = context.router_count();
    let services = coordinated_services(context, routers);
    let coordinators = if services.is_empty() { Vec::new() } else { registry_loaders(context) };
    context.slots.set_services(&services, &coordinators, routers);
}

fn coordinated_services(context: &RouterContext, routers: usize) -> Vec<CoordinatedService> {
    let (pool, settings, now) = (context.pool.borrow(), context.settings.borrow(), clock::now());
    let plain = pool.config().services.iter().filter(|(_, spec)| spec.engine.is_none());
    let services = plain.filter_map(|(name, _)| {
        let targets = pool.service_targets(name).filter(|target| !target.has_ended());
        let mut targets: Vec<_> = targets.filter(|target| target.entry.slots > 0).collect();
        let slots = targets.iter().map(|target| target.entry.slots).sum();
        if !is_coordinated(routers, slots) {
            return None;
        }
        // Routers of one zone prefer different targets of it.
        targets.sort_by_cached_key(|target| {
            let tag = target.entry.incarnation.stable_hash();
            (target.entry.zone != settings.zone, (tag ^ context.boot).wrapping_mul(ORDER_FACTOR))
        });
        let latency = targets.iter().map(|target| target.latency.read_ms(now));
        let known = latency.filter(|latency| *latency > 0.0);
        Some(CoordinatedService {
            service: Arc::clone(name),
            latency_ms: known.min_by(f64::total_cmp).unwrap_or_default(),
            targets: targets
                .iter()
                .map(|target| {
                    let slots = u16::try_from(target.entry.slots).unwrap_or(u16::MAX);
                    (target.entry.incarnation.stable_hash(), slots)
                })
                .collect(),
        })
    });
    services.collect()
}
