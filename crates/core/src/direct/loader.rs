//! The loader: the only process that orders loads and unloads at its host's engine.
//!
//! One loader orders one engine, so orders need no lease: no other process sends any. An order without an
//! answer may still be carried out seconds later. Each order therefore names the order count that the engine
//! must still have: of all orders on one count at most one takes effect, and the next report shows which.

mod capacity;
mod host_memory;
mod incarnation;
pub mod load_limiter;
mod lost_orders;
pub mod order;
mod plan;
mod replies;
mod report;
mod room;

use super::{
    backlog::PrefillBacklog,
    call::AdapterId,
    capacity::CapacityEstimate,
    demand::RECENT_HALF_LIFE,
    membership::{InstanceId, TargetIncarnation},
    messages::{BaseOffer, LoadRequest, RouterNotice},
    orders::{EngineOrder, EngineReport, OrderAnswer, OrderVerb},
};
use crate::{
    demand::DecayedCount,
    ids::{BootId, Timestamp},
};
use host_memory::HostMemory;
use incarnation::is_later_incarnation;
use load_limiter::{LoadLimiter, LoadStart};
use lost_orders::LostOrders;
use replies::{AwaitedReport, EngineState};
use room::KnownSizes;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Maximum of concurrent adapter loads of an engine, as the engines allow.
pub const MAX_CONCURRENT_LOADS: usize = 4;
/// Age after which a router's notice is dropped; routers send one at least every second.
const NOTICE_TTL: Duration = Duration::from_millis(2_500);
/// Time for which a load request must have waited before an adapter in use is evicted for it. The unload
/// waits for the runs of the adapter, and all other loads of the engine wait for the unload, so this is a last
/// resort: at 0.4 s, an engine whose runs had become slow loaded nothing most of the time.
const EVICTION_PATIENCE: Duration = Duration::from_millis(1_500);
/// Half-life of the demand that decides which adapters are kept. An engine has about 14 slots and loads a
/// dozen rare adapters a second: under LRU, even adapters used twice a second would be evicted before their
/// next call. Popularity changes within seconds, so the half-life must not be longer.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
/// Time for which an adapter counts as in use after a router reported a new call for it, besides the calls
/// reported as running: others may be in transit.
const RECENT_USE_TIME: Duration = Duration::from_millis(150);
/// Maximum of adapters whose demand is counted; at this number, those with demand below [`DEMAND_FLOOR`] are dropped.
const DEMAND_LIMIT: usize = 1_024;
/// Demand below which an adapter is dropped when there are too many.
const DEMAND_FLOOR: f64 = 0.1;
/// Time of a load from host memory as a share of one from the weight store, as the engines specify.
pub(super) const HOST_MEMORY_LOAD_SHARE: f64 = 0.1;
/// Share of the time of a load from the weight store above which a load did not come from host memory.
const STORE_LOAD_SHARE: f64 = 0.5;
/// Interval of polling the engine's report during a load: one from host memory takes 25 ms, and calls wait
/// for it.
const FAST_POLL: Duration = Duration::from_millis(12);
/// Interval of polling once [`FAST_POLL_TIME`] has passed: the load is not from host memory.
const SLOW_POLL: Duration = Duration::from_millis(25);
/// Time after an order during which [`FAST_POLL`] applies.
const FAST_POLL_TIME: Duration = Duration::from_millis(60);
/// Polling interval while nothing is being loaded; detects a draining or restarted engine.
const IDLE_POLL: Duration = Duration::from_millis(500);
/// Polling interval while the engine does not answer.
const UNRESPONSIVE_POLL: Duration = Duration::from_millis(250);
/// Pause after an order that the engine refused, so that refusals do not cause a busy loop.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// The loader's next action.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoaderStep {
    /// Query the engine's incarnation.
    Identify,
    /// Query the engine's report.
    Poll,
    /// Send an order to the engine.
    Order(EngineOrder),
    /// Wait for a router's notice, until this time at the latest.
    Wait(Timestamp),
}

struct NoticeState {
    notice: RouterNotice,
    received: Timestamp,
    /// When each load request was first seen.
    requested: HashMap<AdapterId, Timestamp>,
    /// Adapters whose load requests were fulfilled since the notice arrived. The router drops a request only with its
    /// next notice; if the adapter is evicted before that, the old request must not cause a second load.
    fulfilled: HashSet<AdapterId>,
    /// Whether the router has requested a report that was not sent yet.
    wants_report: bool,
    /// The last report to the router on adapters that its calls wait for.
    last_awaited: Option<AwaitedReport>,
}

/// Demand for an adapter at the engine.
struct AdapterDemand {
    /// Decides which adapters are kept.
    lasting: DecayedCount,
    /// Reported to routers; decides how many engines hold the adapter.
    recent: DecayedCount,
}

impl Default for AdapterDemand {
    fn default() -> Self {
        let (lasting, recent) = (DEMAND_HALF_LIFE, RECENT_HALF_LIFE);
        Self { lasting: DecayedCount::new(lasting), recent: DecayedCount::new(recent) }
    }
}

impl AdapterDemand {
    fn add(&mut self, count: f64, now: Timestamp) {
        self.lasting.add(count, now);
        self.recent.add(count, now);
    }
}

/// State machine of one loader and its engine.
pub struct LoaderMachine {
    boot: BootId,
    sequence: u32,
    instance: Option<InstanceId>,
    report: Option<EngineReport>,
    is_answering: bool,
    polled: Timestamp,
    next_poll: Timestamp,
    not_before: Timestamp,
    /// When a report last told routers that this incarnation of the engine answers.
    last_confirmed: Option<Timestamp>,
    ordered: Timestamp,
    notices: HashMap<SocketAddr, NoticeState>,
    demand: HashMap<AdapterId, AdapterDemand>,
    lost: LostOrders,
    sizes: KnownSizes,
    /// Loads in progress.
    loading: HashMap<AdapterId, LoadStart>,
    load_limiter: LoadLimiter,
    backlog: PrefillBacklog,
    capacity: CapacityEstimate,
    memory: HostMemory,
    /// Whether the engine has reported since this process started.
    has_reported: bool,
    /// Loads for calls that can still meet their objective, since the last load for a late call.
    timely_loads: u8,
    /// The engine's state as last reported to all routers.
    reported_state: Option<EngineState>,
    /// Base models that routers last offered for an empty engine. Kept while no router has calls here, so
    /// that an engine that restarts empty gets its base model before the next call.
    offer: Option<EngineOffer>,
}

/// Base models that may be loaded on the engine, and its memory for them.
struct EngineOffer {
    bases: Vec<BaseOffer>,
    memory_mb: f32,
}

impl LoaderMachine {
    /// Starts without any state; `boot` identifies this start of the process.
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            sequence: 0,
            instance: None,
            report: None,
            is_answering: false,
            polled: Duration::ZERO,
            next_poll: Duration::ZERO,
            not_before: Duration::ZERO,
            last_confirmed: None,
            ordered: Duration::ZERO,
            notices: HashMap::new(),
            demand: HashMap::new(),
            lost: LostOrders::default(),
            sizes: KnownSizes::default(),
            loading: HashMap::new(),
            load_limiter: LoadLimiter::new(MAX_CONCURRENT_LOADS),
            backlog: PrefillBacklog::default(),
            capacity: CapacityEstimate::default(),
            memory: HostMemory::default(),
            has_reported: false,
            timely_loads: 0,
            reported_state: None,
            offer: None,
        }
    }

    /// Last report of the engine; `None` before the first one of its incarnation.
    pub fn report(&self) -> Option<&EngineReport> {
        self.report.as_ref()
    }

    /// Number of loads in progress from the weight store, and the limiter that bounds it.
    pub fn load_limiter(&self) -> (usize, &LoadLimiter) {
        (self.store_loads(), &self.load_limiter)
    }

    /// Age of the last report at `now`.
    pub fn report_age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.polled)
    }

    /// Applies a router's notice, unless it is older than the last one from the same start of the router.
    pub fn take_notice(&mut self, router: SocketAddr, notice: RouterNotice, now: Timestamp) {
        let is_old = self.notices.get(&router).is_some_and(|state| {
            state.notice.boot == notice.boot && state.notice.sequence >= notice.sequence
        });
        if is_old {
            return;
        }
        self.measure_capacity(router, &notice, now);
        let started = notice.uses.iter().filter(|used| used.started > 0);
        let started = started.map(|used| {
            let adapter =
                AdapterId { base: Arc::clone(&used.base), name: Arc::clone(&used.adapter) };
            (adapter, used.started)
        });
        for (adapter, count) in started.collect::<Vec<_>>() {
            self.record_demand(adapter, count, now);
        }
        let tokens = notice.uses.iter().map(|used| used.started_tokens);
        self.backlog.add(tokens.fold(0, u32::saturating_add), now);
        self.sizes.note(&notice.bases, self.report.as_ref());
        self.sizes.note(&notice.sizes, self.report.as_ref());
        if !notice.bases.is_empty() {
            let (bases, memory_mb) = (notice.bases.clone(), notice.memory_mb);
            self.offer = Some(EngineOffer { bases, memory_mb });
        }
        let known = self.notices.get(&router);
        let earlier = known.map(|state| &state.requested);
        let requested = notice.load_requests.iter().map(|request| {
            let adapter = requested_adapter(request);
            let since =
                earlier.and_then(|requested| requested.get(&adapter)).copied().unwrap_or(now);
            (adapter, since)
        });
        let state = NoticeState {
            requested: requested.collect(),
            fulfilled: HashSet::new(),
            wants_report: notice.wants_report || known.is_some_and(|state| state.wants_report),
            last_awaited: known
                .filter(|state| has_same_requests(state, &notice))
                .and_then(|s| s.last_awaited),
            received: now,
            notice,
        };
        self.notices.insert(router, state);
    }

    /// Applies a report of the engine.
    pub fn take_report(&mut self, report: EngineReport, now: Timestamp) {
        let is_restarted =
            self.report.as_ref().is_some_and(|known| is_later_incarnation(known, &report));
        if is_restarted {
            self.begin_incarnation(report.started.is_some());
        } else if !self.is_answering && report.started.is_none() {
            // Without a start time, a new incarnation with the same order count looks like the last one.
            self.instance = None;
        }
        if !std::mem::replace(&mut self.has_reported, true) && report.order_count > 0 {
            self.load_limiter = LoadLimiter::new(MAX_CONCURRENT_LOADS).with_unknown_memory();
        }
        self.is_answering = true;
        self.polled = now;
        let is_changing = !report.loading.is_empty() || report.is_busy;
        let pause = match (is_changing, now.saturating_sub(self.ordered) < FAST_POLL_TIME) {
            (false, _) => IDLE_POLL,
            (true, true) => FAST_POLL,
            (true, false) => SLOW_POLL,
        };
        self.next_poll = now + pause;
        self.note_fulfilled(&report);
        self.note_loaded(&report, now);
        self.report = Some(report);
    }

    /// Records the times of loads that have ended.
    fn note_loaded(&mut self, report: &EngineReport, now: Timestamp) {
        let ended: Vec<AdapterId> =
            self.loading.keys().filter(|id| !report.is_loading(id)).cloned().collect();
        for id in ended {
            let Some(start) = self.loading.remove(&id) else { continue };
            if report.held(&id).is_none() {
                continue;
            }
            let time = now.saturating_sub(start.at);
            if !start.from_host_memory {
                self.load_limiter.record(time);
            } else if time > self.load_limiter.expected().mul_f64(STORE_LOAD_SHARE) {
                self.memory.forget_older(&id);
            }
            self.memory.note(id, now);
        }
    }

    /// How long a load that begins now is expected to take.
    fn expected_load(&self, id: &AdapterId) -> Duration {
        let time = self.load_limiter.expected();
        if self.memory.holds(id) { time.mul_f64(HOST_MEMORY_LOAD_SHARE) } else { time }
    }

    fn note_fulfilled(&mut self, report: &EngineReport) {
        for state in self.notices.values_mut() {
            for request in &state.notice.load_requests {
                let adapter = requested_adapter(request);
                if report.held(&adapter).is_some_and(|version| version >= request.version) {
                    state.fulfilled.insert(adapter);
                }
            }
        }
    }

    fn record_demand(&mut self, adapter: AdapterId, count: u16, now: Timestamp) {
        if self.demand.len() >= DEMAND_LIMIT {
            self.demand.retain(|_, demand| demand.lasting.read(now) > DEMAND_FLOOR);
        }
        self.demand.entry(adapter).or_default().add(f64::from(count), now);
    }

    /// Records that the engine did not answer a query for its report or incarnation.
    pub fn note_silence(&mut self, now: Timestamp) {
        self.is_answering = false;
        self.polled = now;
        self.next_poll = now + UNRESPONSIVE_POLL;
    }

    /// Applies the engine's answer to an order, or its absence.
    pub fn take_answer(&mut self, order: &EngineOrder, answer: OrderAnswer, now: Timestamp) {
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Done => self.apply(order, answer, now),
            OrderAnswer::WrongInstance => self.instance = None,
            OrderAnswer::Silent => self.lost.note(order, now),
            OrderAnswer::Conflict => {}
            OrderAnswer::Refused => self.not_before = now + REFUSED_PAUSE,
        }
        let was_accepted = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done);
        if was_accepted {
            self.ordered = now;
            self.next_poll = self.next_poll.min(now + FAST_POLL);
        } else {
            // The known state may be wrong now: query the engine's report before the next order.
            self.next_poll = now;
            self.not_before = self.not_before.max(now + REFUSED_PAUSE);
        }
    }

    /// Drops expired state and returns the next action.
    pub fn next_step(&mut self, now: Timestamp) -> LoaderStep {
        self.capacity.note_step(now);
        self.notices.retain(|_, state| now.saturating_sub(state.received) < NOTICE_TTL);
        self.lost.expire(now);
        if now >= self.next_poll {
            return LoaderStep::Poll;
        }
        if !self.is_answering {
            return LoaderStep::Wait(self.next_poll);
        }
        let Some(id) = self.instance.clone() else { return LoaderStep::Identify };
        if now < self.not_before {
            return LoaderStep::Wait(self.not_before.min(self.next_poll));
        }
        let Some(report) = &self.report else { return LoaderStep::Poll };
        let verb = if report.is_draining || report.is_busy { None } else { self.next_order(now) };
        match verb {
            Some(verb) => {
                let order_count = report.order_count;
                let incarnation = TargetIncarnation { id, started: report.started };
                LoaderStep::Order(EngineOrder { verb, order_count, incarnation })
            }
            None => LoaderStep::Wait(self.next_poll),
        }
    }

    /// Number of calls that use an adapter now; a call reported within [`RECENT_USE_TIME`] counts as one more.
    fn uses(&self, id: &AdapterId, running: &HashMap<AdapterId, u32>, now: Timestamp) -> u32 {
        let demand = self.demand.get(id);
        let is_fresh = demand.is_some_and(|demand| demand.lasting.age(now) < RECENT_USE_TIME);
        running.get(id).copied().unwrap_or(0) + u32::from(is_fresh)
    }

    fn is_fulfilled(&self, request: &LoadRequest) -> bool {
        let version =
            self.report.as_ref().and_then(|report| report.held(&requested_adapter(request)));
        version.is_some_and(|version| version >= request.version)
    }

    fn apply(&mut self, order: &EngineOrder, answer: OrderAnswer, now: Timestamp) {
        let Some(report) = &mut self.report else { return };
        report.order_count = order.order_count + 1;
        if let OrderVerb::LoadAdapter(adapter, _) = &order.verb {
            self.count_timely_load(adapter, now);
            // Routers report uses only in their next notices. Without this a new adapter would count as unused and be
            // evicted before its first call is reported.
            self.record_demand(adapter.clone(), 1, now);
        }
        let Some(report) = &mut self.report else { return };
        match &order.verb {
            OrderVerb::LoadBase(_) => report.is_busy = answer == OrderAnswer::Accepted,
            OrderVerb::LoadAdapter(adapter, version) => {
                if answer == OrderAnswer::Accepted {
                    // A replacement waits for the runs of the old version, so its time does not show the speed of the
                    // weight store.
                    if report.held(adapter).is_none() {
                        let from_host_memory = self.memory.holds(adapter);
                        self.loading
                            .insert(adapter.clone(), LoadStart { at: now, from_host_memory });
                    }
                    report.loading.push((adapter.clone(), *version));
                } else if let Some(holding) = report.holding_mut(&adapter.base) {
                    holding.adapters.insert(Arc::clone(&adapter.name), *version);
                }
            }
            OrderVerb::UnloadAdapter(adapter) => {
                self.memory.note(adapter.clone(), now);
                if let Some(holding) = report.holding_mut(&adapter.base) {
                    holding.adapters.remove(&adapter.name);
                }
            }
        }
    }

    fn running(&self) -> HashMap<AdapterId, u32> {
        let mut running: HashMap<AdapterId, u32> = HashMap::new();
        for state in self.notices.values() {
            for used in &state.notice.uses {
                let adapter =
                    AdapterId { base: Arc::clone(&used.base), name: Arc::clone(&used.adapter) };
                *running.entry(adapter).or_default() += u32::from(used.running);
            }
            for request in state.notice.load_requests.iter().filter(|request| request.waiting > 0) {
                *running.entry(requested_adapter(request)).or_default() +=
                    u32::from(request.waiting);
            }
        }
        running
    }
}

fn has_same_requests(state: &NoticeState, notice: &RouterNotice) -> bool {
    let known =
        state.notice.load_requests.iter().map(|request| (&request.adapter, request.version));
    known.eq(notice.load_requests.iter().map(|request| (&request.adapter, request.version)))
}

fn as_millis(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}

fn requested_adapter(request: &LoadRequest) -> AdapterId {
    AdapterId { base: Arc::clone(&request.base), name: Arc::clone(&request.adapter) }
}
