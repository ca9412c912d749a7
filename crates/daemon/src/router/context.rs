//! State shared by the tasks of the serving thread. They run on one thread, so plain cells suffice.

pub(crate) mod guards;

use super::{
    answers::AnswerMemory, connections::ConnectionPool, constants, crashes::tracker::CrashTracker,
    journal::RequestJournal, limits::LimitTracker, slots::SlotTracker, streams::StreamTracker,
};
use crate::{clock, duty::supervisor::DutySupervisor, options::site::RouterFile};
use metrics::counter;
use plantain_core::{
    direct::{
        budget::FleetRetryBudget,
        call::{AdapterId, ModelCall},
        directory::{PeerView, PresenceRegistry, RouterDirectory, RouterTable},
        limits::terms::FleetSize,
        membership::TargetIncarnation,
        overload::ConnectionGate,
        placement::place_adapter,
        selection::{CallNeed, SoftwareNeed, adapter_of},
        stopping::StopSchedule,
        targets::TargetPool,
        urgency::CustomerUseTable,
    },
    ids::{AdapterVersion, BootId, ServiceName, Timestamp, ZoneName},
    memory::MemoryShares,
};
use plantain_net::request_body::BodyMemory;
use slog::{Logger, info, warn};
use std::{
    cell::{Cell, RefCell, RefMut},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    task::spawn_local,
    time::{sleep, timeout},
};

/// Shared state of a router's serving thread.
pub(crate) struct RouterContext {
    /// Id of this start of the process.
    pub(crate) boot: BootId,
    /// Settings, replaced when their file changes.
    pub(crate) settings: RefCell<Arc<RouterFile>>,
    /// Targets, configuration and adapter versions.
    pub(crate) pool: RefCell<TargetPool>,
    /// Crashes of targets, and the calls that ran there.
    pub(crate) crashes: CrashTracker,
    /// Use of customers' and targets' rate limits.
    pub(crate) limits: LimitTracker,
    /// Customers' use of services, from which the urgency of their calls follows.
    pub(crate) customer_use: RefCell<CustomerUseTable>,
    /// Slots of plain services that all routers share.
    pub(crate) slots: Rc<SlotTracker>,
    /// Versions at which streams began.
    pub(crate) streams: StreamTracker,
    /// Whether the known configuration may be outdated, because it cannot be followed now.
    pub(crate) may_be_outdated: Cell<bool>,
    /// Memory of the bodies of callers' requests.
    pub(crate) bodies: BodyMemory,
    /// Memory of buffered answers.
    pub(crate) answers: AnswerMemory,
    /// Idle connections to targets.
    pub(crate) connections: ConnectionPool,
    /// Wakes calls that wait for a report from a target's loader.
    waiters: RefCell<HashMap<TargetIncarnation, Rc<Notify>>>,
    /// Targets whose loaders must get a notice immediately.
    pub(crate) pending_notices: RefCell<HashSet<TargetIncarnation>>,
    /// Wakes the link to loaders to send these notices.
    pub(crate) notice_wake: Notify,
    /// Log of ended calls.
    pub(crate) journal: RequestJournal,
    /// Logger for everything else.
    pub(crate) logger: Logger,
    /// Readiness as served to the load balancer.
    pub(crate) is_ready: Arc<AtomicBool>,
    /// Watches over the process's duties.
    pub(crate) supervisor: DutySupervisor,
    /// Decides which new connections are taken.
    pub(super) gate: RefCell<ConnectionGate>,
    /// Calls in flight.
    pub(crate) calls: Cell<usize>,
    /// Becomes true on the stop signal.
    pub(crate) stopping: watch::Receiver<bool>,
    /// Schedule of the stop, once it has begun.
    pub(super) stop: Cell<Option<StopSchedule>>,
    started: Timestamp,
    budgets: RefCell<HashMap<ServiceName, FleetRetryBudget>>,
    routers: RefCell<RouterTable>,
    /// Notified when a directory of the other routers arrived.
    pub(crate) routers_changed: Notify,
    /// Routers that registered at this one because they know no loader.
    pub(crate) registry: RefCell<PresenceRegistry>,
}

/// What a router shares with the rest of its process.
pub(crate) struct RouterProcess {
    /// Id of this start of the process.
    pub(crate) boot: BootId,
    /// Readiness as served to the load balancer.
    pub(crate) is_ready: Arc<AtomicBool>,
    /// Becomes true on the stop signal.
    pub(crate) stopping: watch::Receiver<bool>,
    /// Watches over the process's duties.
    pub(crate) supervisor: DutySupervisor,
}

impl RouterContext {
    /// Starts without targets and configuration.
    pub(crate) fn new(
        settings: Arc<RouterFile>,
        process: RouterProcess,
        logger: Logger,
    ) -> Rc<Self> {
        let RouterProcess { boot, is_ready, stopping, supervisor } = process;
        let shares = MemoryShares::new(settings.memory());
        Rc::new(Self {
            boot,
            crashes: CrashTracker::new(&settings.name, boot),
            limits: LimitTracker::new(boot, settings.bounds.limits.terms()),
            customer_use: RefCell::default(),
            slots: SlotTracker::new(boot),
            streams: StreamTracker::default(),
            may_be_outdated: Cell::new(false),
            settings: RefCell::new(settings),
            pool: RefCell::new(TargetPool::new()),
            bodies: BodyMemory::new(&shares),
            answers: AnswerMemory::new(shares.answers),
            connections: ConnectionPool::default(),
            waiters: RefCell::default(),
            pending_notices: RefCell::default(),
            notice_wake: Notify::new(),
            journal: RequestJournal::new(logger.clone()),
            logger,
            is_ready,
            supervisor,
            gate: RefCell::default(),
            calls: Cell::new(0),
            stopping,
            stop: Cell::new(None),
            started: clock::now(),
            budgets: RefCell::default(),
            routers: RefCell::default(),
            routers_changed: Notify::new(),
            registry: RefCell::default(),
        })
    }

    /// Whether the router started less than [`constants::START_WAIT`] ago and may still lack configuration or targets.
    pub(crate) fn is_starting(&self) -> bool {
        clock::now().saturating_sub(self.started) < constants::START_WAIT
    }

    /// Waits for the first configuration, at most until `deadline` and [`constants::START_WAIT`] after the start.
    pub(crate) async fn wait_for_first_config(&self, deadline: Timestamp) {
        self.poll_while_starting(deadline, || self.pool.borrow().config().number > 0).await;
    }

    /// Polls a condition, at most until `deadline` and [`constants::START_WAIT`] after the start.
    pub(crate) async fn poll_while_starting(
        &self,
        deadline: Timestamp,
        is_true: impl Fn() -> bool,
    ) {
        poll_until(deadline.min(self.started + constants::START_WAIT), is_true).await;
    }

    /// Whether the stop signal came.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Sets readiness; returns whether it changed.
    pub(crate) fn set_ready(&self, is_ready: bool) -> bool {
        self.is_ready.swap(is_ready, Ordering::AcqRel) != is_ready
    }

    /// Counts a call for its service's retry budget and its adapter's demand.
    pub(crate) fn record_call(&self, service: &ServiceName, model: Option<&ModelCall>) {
        let now = clock::now();
        self.with_budget(service, |budget| budget.record_call(now));
        let mut pool = self.pool.borrow_mut();
        match model {
            None => pool.record_concurrency(service),
            Some(model) => {
                if let Some(adapter) = adapter_of(model) {
                    pool.record_demand(&adapter, now);
                }
            }
        }
    }

    /// Takes one retry from a service's budget; returns whether there was one.
    pub(crate) fn try_retry(&self, service: &ServiceName) -> bool {
        let routers = self.router_count();
        self.with_budget(service, |budget| budget.try_retry(clock::now(), routers))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut FleetRetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let allowance = self.settings.borrow().bounds.allowance();
        let budget = budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| FleetRetryBudget::new(allowance, self.started));
        action(budget)
    }

    /// Records the routers that a loader's directory lists.
    pub(crate) fn note_routers(&self, directory: &RouterDirectory, now: Timestamp) {
        self.routers.borrow_mut().note(directory, now);
        self.routers_changed.notify_one();
    }

    /// The other routers, for the control thread.
    pub(crate) fn peer_view(&self) -> PeerView {
        let settings = self.settings.borrow();
        self.routers.borrow().view(&settings.zone, settings.peer_listen, clock::now())
    }

    /// Zones of `all` that this router asks for their number of routers when it sends the presence numbered `round`.
    pub(crate) fn zones_to_ask<'a>(&self, all: &'a [ZoneName], round: usize) -> Vec<&'a ZoneName> {
        self.routers.borrow().zones_to_query(all, round, clock::now())
    }

    /// Number of routers in all zones, including this one.
    pub(crate) fn router_count(&self) -> usize {
        let settings = self.settings.borrow();
        self.routers.borrow().count(&settings.zone, settings.peer_listen, clock::now())
    }

    /// Known number of routers, and the largest number that there may be while some are still unknown.
    pub(crate) fn fleet_size(&self, now: Timestamp) -> FleetSize {
        let known = self.router_count();
        FleetSize::new(known, self.routers.borrow().max_routers(known, self.started, now))
    }

    /// Table of the other routers, for changes.
    pub(crate) fn routers_mut(&self) -> RefMut<'_, RouterTable> {
        self.routers.borrow_mut()
    }

    /// Wakes only the calls that wait at this target: each loader sends several reports a second, and each call that
    /// is woken chooses among all targets again.
    pub(crate) fn wake_waiters(&self, incarnation: &TargetIncarnation) {
        let mut waiters = self.waiters.borrow_mut();
        if let Some(notify) = waiters.get(incarnation) {
            if Rc::strong_count(notify) == 1 {
                waiters.remove(incarnation);
            } else {
                notify.notify_waiters();
            }
        }
    }

    /// Requests a report from a target's loader and waits for it, at most `limit`; returns whether no request was
    /// pending yet.
    pub(crate) async fn request_report(
        &self,
        incarnation: &TargetIncarnation,
        limit: Duration,
    ) -> bool {
        let is_new = self.pool.borrow_mut().request_report(incarnation, clock::now());
        if is_new {
            counter!("plantain_questions_total").increment(1);
            self.notify_loader(incarnation);
        }
        let waiter = self.waiter(incarnation);
        let _ = timeout(limit, waiter.notified()).await;
        if self.pool.borrow_mut().note_silence(incarnation, clock::now()) {
            warn!(self.logger, "loader silent"; "step" => "link", "target" => &*incarnation.id,
                "started" => incarnation.started);
        }
        is_new
    }

    /// Requests a report from an engine's loader, without waiting for it, if nothing has been heard from the host lately.
    pub(crate) fn request_report_if_unheard(&self, incarnation: &TargetIncarnation) {
        let limit = constants::SILENCE_CHECK;
        if self.pool.borrow_mut().request_report_if_unheard(incarnation, limit, clock::now()) {
            counter!("plantain_questions_total").increment(1);
            self.notify_loader(incarnation);
        }
    }

    /// Probes targets whose hosts are silent: an engine that answers runs, and only its loader does not.
    pub(crate) fn probe_silent_hosts(self: &Rc<Self>, now: Timestamp) {
        for (incarnation, address) in self.pool.borrow_mut().take_due_probes(now) {
            counter!("plantain_host_probes_total").increment(1);
            warn!(self.logger, "host silent"; "step" => "link", "target" => &*incarnation.id,
                "started" => incarnation.started);
            let context = Rc::clone(self);
            spawn_local(async move {
                if context.connections.is_answering(address).await {
                    context.pool.borrow_mut().note_heard(&incarnation, clock::now());
                    info!(context.logger, "host answers without its loader"; "step" => "link",
                        "target" => &*incarnation.id, "started" => incarnation.started);
                }
            });
        }
    }

    fn waiter(&self, incarnation: &TargetIncarnation) -> Rc<Notify> {
        Rc::clone(self.waiters.borrow_mut().entry(incarnation.clone()).or_default())
    }

    /// Ends a call's use of its adapter. If it was the last use, the loader gets a notice immediately: until then it
    /// cannot give the adapter's slot to another adapter, and calls wait for slots.
    fn end_use(&self, incarnation: &TargetIncarnation, adapter: &AdapterId) {
        let was_last = self.pool.borrow_mut().use_ended(incarnation, adapter);
        if was_last {
            self.notify_loader(incarnation);
        }
    }

    /// Sends a notice to a target's loader immediately.
    pub(crate) fn notify_loader(&self, incarnation: &TargetIncarnation) {
        self.pending_notices.borrow_mut().insert(incarnation.clone());
        self.notice_wake.notify_one();
    }

    /// Requests prefetches of adapters in high demand on preferred targets that lack them.
    pub(crate) fn prefetch(&self, now: Timestamp) {
        let mut pool = self.pool.borrow_mut();
        pool.drop_old_prefetches(constants::PREFETCH_TTL, now);
        let zone = Arc::clone(&self.settings.borrow().zone);
        let routers = self.router_count();
        for adapter in pool.demand().wanted(constants::PREFETCH_RATE, routers, now) {
            let Some(service) = service_of(&pool, &adapter) else { continue };
            let need = CallNeed {
                service: &service,
                model: None,
                zone: &zone,
                excluded: &[],
                routers,
                waiting_at: None,
                may_request_report: false,
                software: SoftwareNeed::Any,
            };
            for incarnation in place_adapter(&pool, &need, &adapter, now).preferred {
                let newest = pool.newest_version(&adapter);
                if is_missing(&pool, &incarnation, &adapter, newest, now) {
                    pool.prefetch(&incarnation, &adapter, newest, now);
                }
            }
        }
    }
}

/// Polls a condition, at most until `deadline`; returns whether it became true.
pub(crate) async fn poll_until(deadline: Timestamp, is_true: impl Fn() -> bool) -> bool {
    while !is_true() {
        if clock::now() >= deadline {
            return false;
        }
        sleep(constants::START_POLL_PAUSE).await;
    }
    true
}

/// The service whose engines serve the adapter's base model.
fn service_of(pool: &TargetPool, adapter: &AdapterId) -> Option<ServiceName> {
    let mut services = pool.config().services.iter();
    let found = services.find(|(_, spec)| {
        let bases = spec.engine.iter().flat_map(|engine| &engine.bases);
        bases.into_iter().any(|base| base.name == adapter.base)
    });
    found.map(|(name, _)| Arc::clone(name))
}

fn is_missing(
    pool: &TargetPool,
    incarnation: &TargetIncarnation,
    adapter: &AdapterId,
    newest: AdapterVersion,
    now: Timestamp,
) -> bool {
    pool.target(incarnation).is_some_and(|target| {
        target.holds_base(&adapter.base, now)
            && !target.is_loading(adapter, now)
            && target.held_version(adapter, now).is_none_or(|held| held < newest)
    })
}
