//! The loader: the only process that orders loads and unloads at the one engine beside it.
//!
//! One host orders one engine, so orders need no lease: nobody else's can cross them. What remains
//! is an order without an answer, which the engine may carry out seconds later. Each order names the
//! order count that the engine must still have, so of all orders given on one count at most one takes
//! effect, and the next report tells which.

mod host_memory;
pub mod load_limiter;
mod lost_orders;
mod plan;
mod replies;
mod report;

use super::{
    backlog::PrefillBacklog,
    call::AdapterId,
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
use load_limiter::{LoadLimiter, LoadStart};
use lost_orders::LostOrders;
use replies::{EngineState, ToldMet};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Adapters that may be on their way to an engine at once, as the engines allow.
pub const MAX_CONCURRENT_LOADS: usize = 4;
/// Age after which a router's notice counts no more; routers send one at least each second.
const NOTICE_TTL: Duration = Duration::from_millis(2_500);
/// Time for which a load request must have waited before an adapter in use gives way to it. The unload waits
/// for the runs of the adapter, and all other loads of the engine wait for the unload, so this is the last
/// resort: at 0.4 s, an engine whose runs had become slow stood still most of the time.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Half-life of the demand by which adapters are kept. An engine has some 14 slots and loads a dozen
/// rare adapters a second: kept by their last use, even those wanted twice a second would be gone before
/// their next call. Popularity moves within some seconds, so the memory must not be longer.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
/// Time for which an adapter counts as in use after a router told of a new call for it, beside those that
/// routers say run: other calls may be on their way.
const JUST_USED: Duration = Duration::from_millis(150);
/// Adapters whose demand is remembered; beyond it the least wanted are forgotten.
const DEMAND_LIMIT: usize = 1_024;
/// Demand below which an adapter is forgotten when there are too many.
const DEMAND_FLOOR: f64 = 0.1;
/// Time of a load from the host's memory as a part of one from the weight store, as the engines state.
const NEAR_SHARE: f64 = 0.1;
/// Part of the time of a load from the weight store from which one cannot have come from the host's memory.
const FAR_SHARE: f64 = 0.5;
/// Pause between reports asked of the engine while something is on its way: a load from the host's
/// memory takes 25 ms, and calls wait for it.
const FAST_POLL: Duration = Duration::from_millis(12);
/// The same once a load has lasted longer than one from the host's memory.
const SLOW_POLL: Duration = Duration::from_millis(25);
/// Time after an order for which [`FAST_POLL`] holds.
const FAST_SPAN: Duration = Duration::from_millis(60);
/// Pause between reports while nothing is on its way; shows a draining or restarted engine.
const IDLE_POLL: Duration = Duration::from_millis(500);
/// Pause after an engine did not answer.
const DARK_POLL: Duration = Duration::from_millis(250);
/// Pause after an order that the engine turned down, so that a refusal cannot become a busy loop.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// What the loader does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoaderStep {
    /// Ask which incarnation of the engine this is.
    Identify,
    /// Ask for a report.
    Poll,
    /// Give an order.
    Order(EngineOrder),
    /// Wait for a notice, until this time at the latest.
    Wait(Timestamp),
}

struct NoticeState {
    notice: RouterNotice,
    received: Timestamp,
    /// When each load request was first seen.
    requested: HashMap<AdapterId, Timestamp>,
    /// Load requests met since the notice came. The router withdraws a request only with its next notice;
    /// until then it must not ask for a load again when its adapter has been evicted meanwhile.
    met: HashSet<AdapterId>,
    /// Whether it wants a report and has had none since.
    wants_report: bool,
    /// What it was last told of the adapters for which its calls wait.
    told_met: Option<ToldMet>,
}

/// How much an adapter was wanted at the engine.
struct AdapterDemand {
    /// Decides what is kept.
    lasting: DecayedCount,
    /// Decides how many engines hold it.
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

/// The state machine.
pub struct LoaderMachine {
    boot: BootId,
    sequence: u32,
    instance: Option<InstanceId>,
    report: Option<EngineReport>,
    is_answering: bool,
    polled: Timestamp,
    next_poll: Timestamp,
    not_before: Timestamp,
    ordered: Timestamp,
    notices: HashMap<SocketAddr, NoticeState>,
    demand: HashMap<AdapterId, AdapterDemand>,
    lost: LostOrders,
    /// Loads on their way.
    loading: HashMap<AdapterId, LoadStart>,
    load_limiter: LoadLimiter,
    backlog: PrefillBacklog,
    memory: HostMemory,
    /// Whether the engine has reported since this process started.
    has_met: bool,
    /// Loads for calls in time since the last one for a late call.
    timely_loads: u8,
    /// What all routers were last told of the engine's state.
    told_state: Option<EngineState>,
    /// What routers last offered to put on an empty engine. Kept when no router has calls here: an engine
    /// that starts again empty is filled before the next call comes.
    offer: Option<EngineOffer>,
}

/// Base models that an engine may be given, and its room for them.
struct EngineOffer {
    bases: Vec<BaseOffer>,
    memory_mb: f32,
}

impl LoaderMachine {
    /// Starts knowing nothing; `boot` tells this start from others.
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
            ordered: Duration::ZERO,
            notices: HashMap::new(),
            demand: HashMap::new(),
            lost: LostOrders::default(),
            loading: HashMap::new(),
            load_limiter: LoadLimiter::new(MAX_CONCURRENT_LOADS),
            backlog: PrefillBacklog::default(),
            memory: HostMemory::default(),
            has_met: false,
            timely_loads: 0,
            told_state: None,
            offer: None,
        }
    }

    /// The incarnation of the engine that is ordered.
    pub fn incarnation(&self) -> Option<TargetIncarnation> {
        let id = self.instance.clone()?;
        Some(TargetIncarnation { id, started: self.report.as_ref()?.started })
    }

    /// Last report of the engine.
    pub fn report(&self) -> Option<&EngineReport> {
        self.report.as_ref()
    }

    /// Loads on their way from the weight store, and the gauge that bounds them.
    pub fn load_limiter(&self) -> (usize, &LoadLimiter) {
        (self.far_loads(), &self.load_limiter)
    }

    /// Age of the last report at `now`.
    pub fn report_age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.polled)
    }

    /// Takes a router's notice; an older one of the same start is dropped.
    pub fn take_notice(&mut self, router: SocketAddr, notice: RouterNotice, now: Timestamp) {
        let is_old = self.notices.get(&router).is_some_and(|state| {
            state.notice.boot == notice.boot && state.notice.sequence >= notice.sequence
        });
        if is_old {
            return;
        }
        let started = notice.uses.iter().filter(|used| used.started > 0);
        let started = started.map(|used| {
            let adapter =
                AdapterId { base: Arc::clone(&used.base), name: Arc::clone(&used.adapter) };
            (adapter, used.started)
        });
        for (adapter, count) in started.collect::<Vec<_>>() {
            self.record_demand(adapter, count, now);
        }
        self.backlog.add(notice.uses.iter().map(|used| used.started_tokens).sum(), now);
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
            met: HashSet::new(),
            wants_report: notice.wants_report || known.is_some_and(|state| state.wants_report),
            told_met: known
                .filter(|state| has_same_requests(state, &notice))
                .and_then(|s| s.told_met),
            received: now,
            notice,
        };
        self.notices.insert(router, state);
    }

    /// The engine told which incarnation this is. A new incarnation holds nothing that is known.
    pub fn take_instance(&mut self, instance: InstanceId) {
        if self.instance.as_ref() != Some(&instance) {
            self.report = None;
            self.next_poll = Duration::ZERO;
        }
        self.instance = Some(instance);
    }

    /// The engine reported.
    pub fn take_report(&mut self, report: EngineReport, now: Timestamp) {
        let is_reborn =
            self.report.as_ref().is_some_and(|known| is_later_incarnation(known, &report));
        if is_reborn {
            self.begin_incarnation();
        } else if !self.is_answering && report.started.is_none() {
            // Without its start, an incarnation that has ordered as much as the last one looks the same.
            self.instance = None;
        }
        if !std::mem::replace(&mut self.has_met, true) && report.order_count > 0 {
            self.load_limiter = LoadLimiter::new(MAX_CONCURRENT_LOADS).with_unknown_memory();
        }
        self.is_answering = true;
        self.polled = now;
        let is_moving = !report.loading.is_empty() || report.is_busy;
        let pause = match (is_moving, now.saturating_sub(self.ordered) < FAST_SPAN) {
            (false, _) => IDLE_POLL,
            (true, true) => FAST_POLL,
            (true, false) => SLOW_POLL,
        };
        self.next_poll = now + pause;
        self.note_met(&report);
        self.note_loaded(&report, now);
        self.report = Some(report);
    }

    /// What was known of the engine is no longer true, and what was met may be requested again.
    fn begin_incarnation(&mut self) {
        self.instance = None;
        self.lost.begin_incarnation();
        self.loading.clear();
        self.backlog = PrefillBacklog::default();
        self.memory = HostMemory::default();
        for state in self.notices.values_mut() {
            state.met.clear();
        }
    }

    /// Learns from loads that have ended.
    fn note_loaded(&mut self, report: &EngineReport, now: Timestamp) {
        let ended: Vec<AdapterId> =
            self.loading.keys().filter(|id| !report.is_loading(id)).cloned().collect();
        for id in ended {
            let Some(start) = self.loading.remove(&id) else { continue };
            if report.held(&id).is_none() {
                continue;
            }
            let time = now.saturating_sub(start.at);
            if !start.is_near {
                self.load_limiter.record(time);
            } else if time > self.load_limiter.expected().mul_f64(FAR_SHARE) {
                self.memory.forget_older(&id);
            }
            self.memory.note(id, now);
        }
    }

    /// How long a load that begins now is expected to take.
    fn expected_load(&self, id: &AdapterId) -> Duration {
        let time = self.load_limiter.expected();
        if self.memory.holds(id) { time.mul_f64(NEAR_SHARE) } else { time }
    }

    fn note_met(&mut self, report: &EngineReport) {
        for state in self.notices.values_mut() {
            for request in &state.notice.load_requests {
                let adapter = requested_adapter(request);
                if report.held(&adapter).is_some_and(|version| version >= request.version) {
                    state.met.insert(adapter);
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

    /// The engine did not answer the question for a report or for its incarnation.
    pub fn note_silence(&mut self, now: Timestamp) {
        self.is_answering = false;
        self.polled = now;
        self.next_poll = now + DARK_POLL;
    }

    /// The engine answered an order, or did not.
    pub fn take_answer(&mut self, order: &EngineOrder, answer: OrderAnswer, now: Timestamp) {
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Done => self.apply(order, answer, now),
            OrderAnswer::WrongInstance => self.instance = None,
            OrderAnswer::Silent if matches!(order.verb, OrderVerb::LoadAdapter(..)) => {
                self.lost.note(&order.incarnation.id, order.order_count, now);
            }
            OrderAnswer::Conflict | OrderAnswer::Silent => {}
            OrderAnswer::Refused => self.not_before = now + REFUSED_PAUSE,
        }
        let is_plain = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done);
        if is_plain {
            self.ordered = now;
            self.next_poll = self.next_poll.min(now + FAST_POLL);
        } else {
            // Whatever is believed may be wrong now; the engine's own word comes first.
            self.next_poll = now;
            self.not_before = self.not_before.max(now + REFUSED_PAUSE);
        }
    }

    /// Drops what has outlived its time and says what comes next.
    pub fn next_step(&mut self, now: Timestamp) -> LoaderStep {
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

    /// Calls that use an adapter now, as far as is known.
    fn uses(&self, id: &AdapterId, running: &HashMap<AdapterId, u32>, now: Timestamp) -> u32 {
        let demand = self.demand.get(id);
        let is_fresh = demand.is_some_and(|demand| demand.lasting.age(now) < JUST_USED);
        running.get(id).copied().unwrap_or(0) + u32::from(is_fresh)
    }

    fn is_met(&self, request: &LoadRequest) -> bool {
        let version =
            self.report.as_ref().and_then(|report| report.held(&requested_adapter(request)));
        version.is_some_and(|version| version >= request.version)
    }

    fn apply(&mut self, order: &EngineOrder, answer: OrderAnswer, now: Timestamp) {
        let Some(report) = &mut self.report else { return };
        report.order_count = order.order_count + 1;
        if let OrderVerb::LoadAdapter(adapter, _) = &order.verb {
            self.count_turn(adapter, now);
            // Routers tell of uses only now and then. Without this a new adapter would count as never
            // used, and be the first to go before its first call was heard of.
            self.record_demand(adapter.clone(), 1, now);
        }
        let Some(report) = &mut self.report else { return };
        match &order.verb {
            OrderVerb::LoadBase(_) => report.is_busy = answer == OrderAnswer::Accepted,
            OrderVerb::LoadAdapter(adapter, version) => {
                if answer == OrderAnswer::Accepted {
                    // A replacement waits for the runs of the old version, so its time says nothing of the
                    // weight store.
                    if report.held(adapter).is_none() {
                        let is_near = self.memory.holds(adapter);
                        self.loading.insert(adapter.clone(), LoadStart { at: now, is_near });
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

/// Whether an engine that reports anew has started again: its start is another one, or its order count
/// has fallen, which never happens within an incarnation.
fn is_later_incarnation(known: &EngineReport, report: &EngineReport) -> bool {
    let is_other_start = match (known.started, report.started) {
        (Some(known), Some(started)) => known != started,
        _ => false,
    };
    is_other_start || report.order_count < known.order_count
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
