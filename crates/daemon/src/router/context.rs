//! What the tasks of a router share. They run on one thread, so plain cells do.

pub(crate) mod guards;

use super::{
    connections::ConnectionPool, constants, crashes::keeper::CrashTracker, journal::RequestJournal,
    limits::LimitTracker,
};
use crate::{clock, options::site::RouterFile};
use metrics::counter;
use plantain_core::{
    direct::{
        budget::FleetRetryBudget,
        call::{AdapterId, ModelCall},
        directory::{PeerView, PresenceRegistry, RouterDirectory, RouterTable},
        limits::terms::FleetSize,
        membership::TargetIncarnation,
        selection::{CallNeed, adapter_of, preferred_targets},
        targets::TargetPool,
    },
    ids::{AdapterVersion, BootId, ServiceName, Timestamp, ZoneName},
};
use slog::{Logger, warn};
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
    time::{sleep, timeout},
};

/// Shared state of a router's serving thread.
pub(crate) struct RouterContext {
    /// This process's start.
    pub(crate) boot: BootId,
    /// Settings, replaced when their file changes.
    pub(crate) settings: RefCell<Arc<RouterFile>>,
    /// Targets, configuration and versions.
    pub(crate) pool: RefCell<TargetPool>,
    /// Crashes of targets, and the calls that were there.
    pub(crate) crashes: CrashTracker,
    /// What customers use.
    pub(crate) limits: LimitTracker,
    /// Whether a newer configuration may be in force than the one that is known.
    pub(crate) may_be_behind: Cell<bool>,
    /// Unused connections to targets.
    pub(crate) connections: ConnectionPool,
    /// Wakes calls that wait for an adapter at a target.
    waiters: RefCell<HashMap<TargetIncarnation, Rc<Notify>>>,
    /// Loaders to be told of a new wish at once.
    pub(crate) hurried: RefCell<HashSet<TargetIncarnation>>,
    /// Wakes the link to loaders.
    pub(crate) hurry: Notify,
    /// The request log.
    pub(crate) journal: RequestJournal,
    /// All other logs.
    pub(crate) logger: Logger,
    /// Whether the balancer may send connections.
    pub(crate) is_ready: Arc<AtomicBool>,
    /// Calls in flight.
    pub(crate) calls: Cell<usize>,
    /// Turns true when the process is told to stop.
    pub(crate) stopping: watch::Receiver<bool>,
    started: Timestamp,
    budgets: RefCell<HashMap<ServiceName, FleetRetryBudget>>,
    routers: RefCell<RouterTable>,
    /// Wakes the one who tells the control thread of the other routers.
    pub(crate) routers_heard: Notify,
    /// Routers that come by at this one, since they know no loader.
    pub(crate) registry: RefCell<PresenceRegistry>,
}

impl RouterContext {
    /// Starts with no target and no configuration.
    pub(crate) fn new(
        settings: Arc<RouterFile>,
        boot: BootId,
        logger: Logger,
        is_ready: Arc<AtomicBool>,
        stopping: watch::Receiver<bool>,
    ) -> Rc<Self> {
        Rc::new(Self {
            boot,
            crashes: CrashTracker::new(&settings.name, boot),
            limits: LimitTracker::new(boot, settings.bounds.limits.terms()),
            may_be_behind: Cell::new(false),
            settings: RefCell::new(settings),
            pool: RefCell::new(TargetPool::new()),
            connections: ConnectionPool::default(),
            waiters: RefCell::default(),
            hurried: RefCell::default(),
            hurry: Notify::new(),
            journal: RequestJournal::new(logger.clone()),
            logger,
            is_ready,
            calls: Cell::new(0),
            stopping,
            started: clock::now(),
            budgets: RefCell::default(),
            routers: RefCell::default(),
            routers_heard: Notify::new(),
            registry: RefCell::default(),
        })
    }

    /// Whether the router has started so lately that it may not have read yet what it needs.
    pub(crate) fn is_starting(&self) -> bool {
        clock::now().saturating_sub(self.started) < constants::START_WAIT
    }

    /// Waits for a first configuration, at most until `deadline`, if the router has just started.
    pub(crate) async fn first_config(&self, deadline: Timestamp) {
        let deadline = deadline.min(self.started + constants::START_WAIT);
        becomes_true(deadline, || self.pool.borrow().config().number > 0).await;
    }

    /// Whether the process was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Sets readiness and says whether it changed.
    pub(crate) fn set_ready(&self, is_ready: bool) -> bool {
        self.is_ready.swap(is_ready, Ordering::AcqRel) != is_ready
    }

    /// Counts a call towards the repeats that its service may get, and its adapter's demand.
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

    /// Takes one repeat out of a service's budget.
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

    /// Notes the routers that a loader names.
    pub(crate) fn note_routers(&self, directory: &RouterDirectory, now: Timestamp) {
        self.routers.borrow_mut().note(directory, now);
        self.routers_heard.notify_one();
    }

    /// The other routers as the control thread sees them.
    pub(crate) fn peer_view(&self) -> PeerView {
        let settings = self.settings.borrow();
        self.routers.borrow().view(&settings.zone, settings.peer_listen, clock::now())
    }

    /// Zones of `all` whose number of routers is to be asked at this router's turn `turn`.
    pub(crate) fn zones_to_ask<'a>(&self, all: &'a [ZoneName], turn: usize) -> Vec<&'a ZoneName> {
        self.routers.borrow().zones_to_ask(all, turn, clock::now())
    }

    /// Routers in all, this one counted.
    pub(crate) fn router_count(&self) -> usize {
        let settings = self.settings.borrow();
        self.routers.borrow().count(&settings.zone, settings.peer_listen, clock::now())
    }

    /// How many routers there are, and may be.
    pub(crate) fn fleet_size(&self, now: Timestamp) -> FleetSize {
        let known = self.router_count();
        FleetSize::new(known, self.routers.borrow().max_routers(known, self.started, now))
    }

    /// Changes what is known of the other routers.
    pub(crate) fn routers_mut(&self) -> RefMut<'_, RouterTable> {
        self.routers.borrow_mut()
    }

    /// Wakes the calls that wait for an adapter at a target. Only these: a report comes from each
    /// loader several times a second, and each wake is a choice among all targets.
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

    /// Asks a target's loader for a report and waits for it, or for `limit`; returns whether it was not
    /// being asked already.
    pub(crate) async fn request_report(
        &self,
        incarnation: &TargetIncarnation,
        limit: Duration,
    ) -> bool {
        let is_new = self.pool.borrow_mut().request_report(incarnation, clock::now());
        if is_new {
            counter!("plantain_questions_total").increment(1);
            self.hurry(incarnation);
        }
        let waiter = self.waiter(incarnation);
        let _ = timeout(limit, waiter.notified()).await;
        if self.pool.borrow_mut().note_silence(incarnation, clock::now()) {
            warn!(self.logger, "loader silent"; "step" => "link", "target" => &*incarnation.id,
                "started" => incarnation.started);
        }
        is_new
    }

    fn waiter(&self, incarnation: &TargetIncarnation) -> Rc<Notify> {
        Rc::clone(self.waiters.borrow_mut().entry(incarnation.clone()).or_default())
    }

    /// A call uses its adapter no longer. The loader is told at once where it was the last one: it cannot
    /// give the adapter's place to another before, and calls wait for places.
    fn end_use(&self, incarnation: &TargetIncarnation, adapter: &AdapterId) {
        let was_last = self.pool.borrow_mut().use_ended(incarnation, adapter);
        if was_last {
            self.hurry(incarnation);
        }
    }

    /// Tells a target's loader of its wishes at once.
    pub(crate) fn hurry(&self, incarnation: &TargetIncarnation) {
        self.hurried.borrow_mut().insert(incarnation.clone());
        self.hurry.notify_one();
    }

    /// Wishes for copies of the adapters that are wanted often, where they are missing.
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
                may_ask: false,
            };
            let mut preferred = preferred_targets(&pool, &need, &adapter, now);
            preferred.pop();
            for incarnation in preferred {
                let newest = pool.newest_version(&adapter);
                if is_missing(&pool, &incarnation, &adapter, newest, now) {
                    pool.prefetch(&incarnation, &adapter, newest, now);
                }
            }
        }
    }
}

/// Waits for something that a router which has just started is about to learn, at most until `deadline`; returns
/// whether it has.
pub(crate) async fn becomes_true(deadline: Timestamp, is_true: impl Fn() -> bool) -> bool {
    while !is_true() {
        if clock::now() >= deadline {
            return false;
        }
        sleep(constants::START_LOOK).await;
    }
    true
}

/// The service whose engines hold the adapter's base model.
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
