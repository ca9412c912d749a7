//! Copies of a rare and of a hot adapter in a fleet of routers, with small fakes of engines.

use super::{
    super::support::{ENGINES, adapter, ms, need, report, target},
    engine_name, engines,
};
use plantain_core::{
    demand::DecayedCount,
    direct::{
        call::AdapterId,
        demand::{RECENT_HALF_LIFE, encode_rate},
        health::CallOutcome,
        loader::copies::{CopyDecisions, CopyShare},
        membership::{BaseHolding, ListChange, TargetEntry, TargetIncarnation},
        messages::{LoaderMessage, LoaderReport, RouterMessage, RouterNotice},
        notices::NoticeSchedule,
        placement::{AdapterPlacement, CopySource, place_adapter},
        targets::TargetPool,
    },
    ids::{ServiceName, ZoneName},
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    ops::RangeInclusive,
    sync::Arc,
};

const ENGINE_COUNT: u16 = 40;
const BATCH: u16 = 16;
const RUN_MS: u16 = 400;
/// Time of a load from the weight store.
const LOAD_MS: u64 = 288;
/// Interval of the list's changes, by which routers learn what engines hold that they did not ask.
const LIST_PAUSE: u64 = 500;
/// Time without a call after which an engine evicts an adapter for others.
const IDLE_MS: u64 = 4_000;
/// Time after which a router looks again whether a load request was fulfilled.
const REQUEST_PAUSE: u64 = 300;
/// Time after its death for which an engine stays in the list.
const LAPSE_MS: u64 = 2_000;
/// Calls a second for the hot adapter, of which a copy serves ten, and for the rare one.
const HOT_RATE: f64 = 80.0;
const RARE_RATE: f64 = 0.2;

/// What happens to the engine whose loader decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The host ends.
    Died,
    /// No router reaches the host, which stays in the list.
    Partitioned,
    /// The loader is suspended; the engine serves.
    Frozen,
    /// The loader restarts, and has counted no calls.
    Restarted,
}

enum Event {
    Call(&'static str),
    Ended(usize, TargetIncarnation, AdapterId),
    Ask(usize, TargetIncarnation),
    Loaded(u16, AdapterId),
    List,
    Lapse(u16),
}

#[derive(Default)]
struct FakeEngine {
    /// Adapters held, with the time of their last call.
    held: BTreeMap<AdapterId, u64>,
    loading: Vec<AdapterId>,
    rates: HashMap<AdapterId, DecayedCount>,
    decisions: CopyDecisions,
    sequence: u32,
    fault: Option<Fault>,
}

impl FakeEngine {
    fn take_notice(&mut self, notice: &RouterNotice, now: u64) {
        let spreads = notice.spreads.iter().copied().chain(std::iter::repeat(1));
        for (used, spread) in notice.uses.iter().zip(spreads).filter(|(used, _)| used.started > 0) {
            let adapter = AdapterId { base: used.base.clone(), name: used.adapter.clone() };
            self.decisions.record(&adapter, used.started, spread, ms(now));
            let rate = self.rates.entry(adapter);
            rate.or_insert_with(|| DecayedCount::new(RECENT_HALF_LIFE))
                .add(f64::from(used.started), ms(now));
        }
    }

    fn make_report(&mut self, index: u16, now: u64) -> LoaderReport {
        self.sequence += 1;
        let names: Vec<_> = self.held.keys().map(|adapter| (&*adapter.name, 1)).collect();
        let made = report(&engine_name(index), self.sequence, &names);
        let share = CopyShare::new(BATCH, RUN_MS).expect("known");
        let adapters = made.holdings.iter().flat_map(BaseHolding::adapter_ids);
        let adapters: Vec<AdapterId> = adapters.collect();
        let rate = |adapter| self.rates.get(adapter).map_or(0.0, |rate| rate.rate(ms(now)));
        let rates = adapters.iter().map(|adapter| encode_rate(rate(adapter))).collect();
        let decisions = &mut self.decisions;
        let copies = adapters.iter().map(|adapter| decisions.decide(adapter, 0, share, ms(now)));
        let copies = copies.collect();
        LoaderReport { rates, copies, load_ms: LOAD_MS as u16, run_ms: RUN_MS, ..made }
    }

    fn is_reachable(&self) -> bool {
        !matches!(self.fault, Some(Fault::Died | Fault::Partitioned))
    }
}

/// Messages, loads and decisions since the last reset.
#[derive(Clone, Debug, Default)]
struct FleetCounts {
    calls: usize,
    failed: usize,
    messages: usize,
    bytes: usize,
    hot_loads: usize,
    /// Calls that met a decision of a loader.
    by_loader: usize,
    /// Most preferred engines of the hot adapter that any call met.
    most_copies: usize,
}

struct FakeFleet {
    routers: Vec<(TargetPool, NoticeSchedule)>,
    engines: Vec<FakeEngine>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: HashMap<usize, Event>,
    event_count: usize,
    random: u64,
    now: u64,
    service: ServiceName,
    counts: FleetCounts,
}

fn index_of(incarnation: &TargetIncarnation) -> u16 {
    incarnation.id.trim_start_matches("engine-").parse().expect("an engine of this fleet")
}

fn zone_of(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

impl FakeFleet {
    fn new(routers: usize) -> Self {
        let make = |boot| (engines(ENGINE_COUNT), NoticeSchedule::new(boot as u64));
        let mut fleet = Self {
            routers: (0..routers).map(make).collect(),
            engines: (0..ENGINE_COUNT).map(|_| FakeEngine::default()).collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            event_count: 0,
            random: 0x9e37_79b9_7f4a_7c15,
            now: 0,
            service: ENGINES.into(),
            counts: FleetCounts::default(),
        };
        for name in ["hot", "rare"] {
            fleet.push(0, Event::Call(name));
        }
        fleet.push(LIST_PAUSE, Event::List);
        fleet
    }

    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn push(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((self.now + after, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, id)));
                break;
            }
            self.now = at;
            match self.events.remove(&id).expect("queued") {
                Event::Call(name) => self.call(name),
                Event::Ended(router, incarnation, id) => {
                    self.routers[router].0.call_ended(&incarnation, 0);
                    if self.routers[router].0.use_ended(&incarnation, &id) {
                        self.notify(router, &incarnation, false);
                    }
                }
                Event::Ask(router, incarnation) => self.notify(router, &incarnation, true),
                Event::Loaded(index, id) => {
                    let engine = &mut self.engines[usize::from(index)];
                    engine.loading.retain(|loading| *loading != id);
                    engine.held.insert(id, at);
                }
                Event::List => self.send_list(),
                Event::Lapse(index) => {
                    let removed = ListChange::Removed(engine_name(index).as_str().into());
                    for (pool, _) in &mut self.routers {
                        pool.apply_changes(std::slice::from_ref(&removed), ms(at));
                    }
                }
            }
        }
        self.now = until;
    }

    /// Evicts unused adapters, and sends what engines hold to all routers.
    fn send_list(&mut self) {
        let now = self.now;
        let mut changes = Vec::new();
        for (index, engine) in (0..).zip(&mut self.engines) {
            engine.held.retain(|_, last| now - *last < IDLE_MS);
            if engine.fault == Some(Fault::Died) {
                continue;
            }
            let names: Vec<_> = engine.held.keys().map(|adapter| (&*adapter.name, 1)).collect();
            let holdings = report(&engine_name(index), 0, &names).holdings;
            let entry =
                target(&engine_name(index), ENGINES, zone_of(usize::from(index)), index + 1);
            let entry = TargetEntry { holdings, ..entry };
            let known = self.routers[0].0.target(&entry.incarnation);
            if known.is_some_and(|known| known.entry.holdings != entry.holdings) {
                changes.push(ListChange::Put(Arc::new(entry)));
            }
        }
        for (pool, _) in self.routers.iter_mut().filter(|_| !changes.is_empty()) {
            pool.apply_changes(&changes, ms(now));
        }
        self.push(LIST_PAUSE, Event::List);
    }

    /// Sends a notice to an engine's loader, and applies its report if one is wanted.
    fn notify(&mut self, router: usize, incarnation: &TargetIncarnation, wants_report: bool) {
        let now = ms(self.now);
        let (pool, schedule) = &mut self.routers[router];
        if wants_report {
            pool.request_report(incarnation, now);
        }
        let Some(notice) = schedule.make(pool, incarnation, now) else { return };
        let message = RouterMessage::Notice(notice.clone());
        self.counts.messages += 1;
        self.counts.bytes += postcard::to_allocvec(&message).expect("encoded").len();
        let index = index_of(incarnation);
        let engine = &mut self.engines[usize::from(index)];
        if engine.fault.is_some() {
            return;
        }
        engine.take_notice(&notice, self.now);
        let mut loads = Vec::new();
        for request in &notice.load_requests {
            let id = AdapterId { base: request.base.clone(), name: request.adapter.clone() };
            if !engine.held.contains_key(&id) && !engine.loading.contains(&id) {
                engine.loading.push(id.clone());
                loads.push(id);
            }
        }
        if notice.wants_report {
            let report = engine.make_report(index, self.now);
            let message = LoaderMessage::Report(report.clone());
            self.counts.messages += 1;
            self.counts.bytes += postcard::to_allocvec(&message).expect("encoded").len();
            let host = pool.target(incarnation).map(|target| target.entry.address.ip());
            pool.take_report(host.expect("a known engine"), report, now);
        }
        for id in loads {
            self.counts.hot_loads += usize::from(&*id.name == "hot");
            self.push(LOAD_MS, Event::Loaded(index, id));
        }
    }

    fn place(&self, router: usize, id: &AdapterId) -> AdapterPlacement {
        let zone: ZoneName = zone_of(router).into();
        let mut need = need(&self.service, &zone, None);
        need.routers = self.routers.len();
        place_adapter(&self.routers[router].0, &need, id, ms(self.now))
    }

    /// Engines that hold an adapter, as a router knows them.
    fn known_holders(&self, router: usize, id: &AdapterId) -> Vec<TargetIncarnation> {
        let now = ms(self.now);
        let targets = self.routers[router].0.service_targets(&self.service);
        let holders = targets.filter(|target| {
            !target.health.is_backing_off(now) && target.held_version(id, now).is_some()
        });
        holders.map(|target| target.entry.incarnation.clone()).collect()
    }

    /// A call at a router drawn at random. It goes to one of the engines that hold the adapter, each with equal
    /// probability; without any, its load is requested at the first preferred engine.
    fn call(&mut self, name: &'static str) {
        let rate = if name == "hot" { HOT_RATE } else { RARE_RATE };
        let pause = (-(1.0 - self.draw()).ln() / rate * 1_000.0) as u64;
        self.push(pause, Event::Call(name));
        let router = (self.draw() * self.routers.len() as f64) as usize;
        let (id, now) = (adapter(name), ms(self.now));
        self.counts.calls += 1;
        self.routers[router].0.record_demand(&id, now);
        for _ in 0..6 {
            let placement = self.place(router, &id);
            let holders = self.known_holders(router, &id);
            let draw = self.draw();
            let chosen = holders.get((draw * holders.len() as f64) as usize);
            let chosen = chosen.unwrap_or(&placement.preferred[0]).clone();
            let target = self.routers[router].0.target(&chosen).expect("a known engine");
            if !target.is_report_sufficient(&id, now) {
                self.notify(router, &chosen, true);
                if self.known_holders(router, &id) != holders {
                    continue;
                }
            }
            let engine = &mut self.engines[usize::from(index_of(&chosen))];
            if !engine.is_reachable() {
                self.routers[router].0.record_outcome(&chosen, CallOutcome::Silent, now);
                continue;
            }
            if let Some(last) = engine.held.get_mut(&id) {
                *last = self.now;
            } else {
                self.request_load(router, &chosen, &id);
            }
            self.routers[router].0.call_started(&chosen, Some(&id), 100);
            self.notify(router, &chosen, false);
            self.push(u64::from(RUN_MS), Event::Ended(router, chosen, id.clone()));
            self.follow(router, &id);
            return;
        }
        self.counts.failed += 1;
    }

    fn request_load(&mut self, router: usize, incarnation: &TargetIncarnation, id: &AdapterId) {
        if self.routers[router].0.prefetch(incarnation, id, 1, ms(self.now)) {
            self.notify(router, incarnation, false);
            self.push(REQUEST_PAUSE, Event::Ask(router, incarnation.clone()));
        }
    }

    /// Requests the missing copies, and counts the decision that a call met.
    fn follow(&mut self, router: usize, id: &AdapterId) {
        let placement = self.place(router, id);
        self.counts.by_loader += usize::from(placement.decided_by == CopySource::Loader);
        if &*id.name == "hot" {
            self.counts.most_copies = self.counts.most_copies.max(placement.preferred.len());
        }
        let holders = self.known_holders(router, id);
        let missing = placement.preferred.iter().filter(|target| !holders.contains(target));
        for incarnation in missing {
            self.request_load(router, incarnation, id);
        }
    }

    /// Number of reachable engines that hold an adapter.
    fn holders(&self, name: &str) -> usize {
        let reachable = self.engines.iter().filter(|engine| engine.is_reachable());
        reachable.filter(|engine| engine.held.contains_key(&adapter(name))).count()
    }

    /// Lets a fault happen to the first preferred engine of the hot adapter.
    fn break_decider(&mut self, fault: Fault) {
        let index = index_of(&self.place(0, &adapter("hot")).preferred[0]);
        let engine = &mut self.engines[usize::from(index)];
        match fault {
            Fault::None => {}
            Fault::Died => {
                engine.fault = Some(fault);
                engine.held.clear();
                self.push(LAPSE_MS, Event::Lapse(index));
            }
            Fault::Restarted => engine.decisions = CopyDecisions::default(),
            Fault::Partitioned | Fault::Frozen => engine.fault = Some(fault),
        }
    }
}

struct FaultCase {
    fault: Fault,
    /// Most loads of the hot adapter after the fault.
    loads: usize,
}

/// Demand for the hot adapter is eight copies; the hysteresis allows 7 to 11. Until loaders have counted for two
/// seconds, routers estimate by themselves and request up to 13; these surplus copies stay while slots are free.
const DECIDED: RangeInclusive<usize> = 7..=11;
const HELD: RangeInclusive<usize> = 7..=13;

/// Guards against messages of a call that grow with the routers, and against copies that run away or vanish when the
/// deciding loader is lost. With the decision of the first engine's loader alone, of which few routers have a fresh
/// report, 300 routers went by their own estimates and loaded the adapter at all 40 engines.
#[test]
fn copies_and_messages_hold_for_any_number_of_routers_and_after_faults() {
    let case = |fault, loads| FaultCase { fault, loads };
    let cases = [
        case(Fault::None, 1),
        case(Fault::Died, 3),
        case(Fault::Partitioned, 3),
        case(Fault::Frozen, 2),
        case(Fault::Restarted, 2),
    ];
    let mut failures = Vec::new();
    for routers in [30, 300, 1_000] {
        for case in &cases {
            let mut fleet = FakeFleet::new(routers);
            fleet.run(12_000);
            let (before, first) = (fleet.holders("hot"), std::mem::take(&mut fleet.counts));
            fleet.break_decider(case.fault);
            fleet.run(22_000);
            let counts = &fleet.counts;
            let (hot, rare) = (fleet.holders("hot"), fleet.holders("rare"));
            let is_met = HELD.contains(&before)
                && HELD.contains(&hot)
                && DECIDED.contains(&counts.most_copies)
                && rare <= 1
                && counts.hot_loads <= case.loads
                // A request for a report, the report, a notice at the start and one at the end of a call, and a fifth
                // more for requests without an answer.
                && counts.messages <= counts.calls * 5
                && counts.bytes <= counts.calls * 250
                && counts.failed * 100 <= counts.calls
                && counts.by_loader * 10 >= counts.calls * 9;
            if !is_met {
                failures.push(format!(
                    "{routers} routers, {:?}: {before} copies, then {hot}, {rare} rare; {first:?}; then {counts:?}",
                    case.fault
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
