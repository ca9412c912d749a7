//! A fleet of routers and loaders in simulated time. The real state machines exchange the real messages over a
//! network that delays, reorders and loses them.

use super::super::support::{BASE, ENGINES, adapter, config, model_call, ms, target};
use super::plan::{FleetCounts, FleetPlan};
use plantain_core::{
    direct::{
        call::AdapterId,
        directory::{
            PresenceRegistry, RouterPresence, RouterTable, loaders_to_query, registry_targets,
        },
        loader::{LoaderMachine, LoaderStep},
        membership::{BaseHolding, InstanceId, TargetEntry, TargetIncarnation},
        messages::{LoaderMessage, RouterMessage},
        notices::NoticeSchedule,
        orders::{EngineReport, OrderAnswer, OrderVerb},
        selection::{CallNeed, SoftwareNeed, TargetChoice, choose_target},
        targets::TargetPool,
    },
    ids::{ServiceName, ZoneName},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

const ZONES: usize = 5;
/// Run time of a call, in milliseconds.
const RUN_MS: u64 = 400;
/// Pause between steps of a process, in milliseconds.
const STEP_MS: u64 = 10;
/// Pause between a router's presence messages, in milliseconds.
const PRESENCE_MS: u64 = 1_000;
/// Pause between a router's checks for due notices, in milliseconds.
const CHECK_MS: u64 = 50;
/// Time after which a waiting call selects a target again, in milliseconds.
const WAIT_MS: u64 = 40;

enum Event {
    ToLoader(usize, usize, Box<RouterMessage>),
    ToRouter(usize, usize, Box<LoaderMessage>),
    StepLoader(usize),
    CheckNotices(usize),
    Presence(usize),
    Call(usize),
    /// A waiting call: router, adapter, arrival time, and whether an engine held its adapter then.
    Retry(usize, String, u64, bool),
    Ended(usize, TargetIncarnation, AdapterId),
}

struct Router {
    pool: TargetPool,
    schedule: NoticeSchedule,
    peer_table: RouterTable,
    presences: usize,
    incarnation: u64,
}

struct Loader {
    machine: LoaderMachine,
    registry: PresenceRegistry,
    engine: EngineReport,
    is_alive: bool,
}

/// The simulated fleet.
pub struct Fleet {
    plan: FleetPlan,
    now: u64,
    event_count: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: BTreeMap<usize, Event>,
    routers: Vec<Router>,
    loaders: Vec<Loader>,
    rng: StdRng,
    killed_at: u64,
    pub counts: FleetCounts,
}

fn zone_name(index: usize) -> ZoneName {
    format!("zone-{}", index % ZONES).into()
}

pub fn engine_name(index: usize) -> InstanceId {
    format!("engine-{index:04}").into()
}

fn engine_index(id: &InstanceId) -> usize {
    id.trim_start_matches("engine-").parse().expect("an engine of this fleet")
}

fn router_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("routers of this fleet have IPv4 addresses"),
    }
}

fn host(index: usize) -> SocketAddr {
    ([10, 1, (index >> 8) as u8, index as u8], 9_000).into()
}

fn router_address(index: usize) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 9_000).into()
}

fn entry(index: usize) -> Arc<TargetEntry> {
    let zone = zone_name(index);
    let entry = target(&engine_name(index), ENGINES, &zone, 1);
    Arc::new(TargetEntry { address: host(index), generation: index as u64, ..entry })
}

impl Fleet {
    pub fn new(plan: FleetPlan) -> Self {
        let mut fleet = Self {
            plan,
            now: 0,
            event_count: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            routers: Vec::new(),
            loaders: (0..plan.engines).map(|index| new_loader(index, 0, true)).collect(),
            rng: StdRng::seed_from_u64(plan.seed),
            killed_at: 0,
            counts: FleetCounts {
                bytes_of_routers: vec![0; plan.routers],
                bytes_of_loaders: vec![0; plan.engines],
                ..FleetCounts::default()
            },
        };
        fleet.routers = (0..plan.routers).map(|index| new_router(&plan, index, 0)).collect();
        for index in 0..plan.engines {
            let at = fleet.rng.random_range(0..STEP_MS);
            fleet.push(at, Event::StepLoader(index));
        }
        for index in 0..plan.routers {
            for event in [Event::CheckNotices(index), Event::Presence(index), Event::Call(index)] {
                let at = fleet.rng.random_range(0..CHECK_MS);
                fleet.push(at, event);
            }
        }
        fleet
    }

    /// Simulates until the time `until` in milliseconds.
    pub fn simulate(&mut self, until: u64) {
        while let Some(Reverse((at, _, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    /// Kills and restarts all processes at once; engines keep what they hold.
    pub fn kill_all(&mut self) {
        self.killed_at = self.now;
        self.counts.first_sent_ms = None;
        for index in 0..self.routers.len() {
            let incarnation = self.routers[index].incarnation + 1;
            self.routers[index] = new_router(&self.plan, index, incarnation);
        }
        for (index, loader) in self.loaders.iter_mut().enumerate() {
            let engine = std::mem::take(&mut loader.engine);
            *loader = Loader { engine, ..new_loader(index, 1, true) };
        }
    }

    /// Kills a loader, which does not restart.
    pub fn kill_loader(&mut self, index: usize) {
        self.loaders[index].is_alive = false;
    }

    /// The distinct numbers of routers in the fleet that the routers compute.
    pub fn router_counts(&self) -> HashSet<usize> {
        let counts = self.routers.iter().enumerate();
        counts
            .map(|(index, router)| {
                let (zone, own) = (zone_name(index), router_address(index));
                router.peer_table.count(&zone, own, ms(self.now))
            })
            .collect()
    }

    pub fn reset_counts(&mut self) {
        self.counts = FleetCounts {
            bytes_of_routers: vec![0; self.plan.routers],
            bytes_of_loaders: vec![0; self.plan.engines],
            ..FleetCounts::default()
        };
    }

    fn push(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        let id = self.event_count as usize;
        self.events.insert(id, event);
        self.queue.push(Reverse((at, self.event_count, id)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ToLoader(router, index, message) => {
                self.arrive_at_loader(router, index, *message);
            }
            Event::ToRouter(index, router, message) => {
                self.arrive_at_router(index, router, *message);
            }
            Event::StepLoader(index) => {
                self.step_loader(index);
                self.push(self.now + STEP_MS, Event::StepLoader(index));
            }
            Event::CheckNotices(index) => {
                self.check_notices(index);
                self.push(self.now + CHECK_MS, Event::CheckNotices(index));
            }
            Event::Presence(index) => {
                self.send_presence(index);
                self.push(self.now + PRESENCE_MS, Event::Presence(index));
            }
            Event::Call(index) => {
                let name = format!("a{}", self.rng.random_range(0..self.plan.adapters));
                self.counts.calls += 1;
                self.try_call(index, name, self.now, None);
                let mean = 1_000.0 / self.plan.calls_per_second;
                let pause = -mean * (1.0 - self.rng.random::<f64>()).ln();
                self.push(self.now + 1 + pause as u64, Event::Call(index));
            }
            Event::Retry(index, name, arrived, was_resident) => {
                self.try_call(index, name, arrived, Some(was_resident));
            }
            Event::Ended(index, incarnation, adapter) => {
                let pool = &mut self.routers[index].pool;
                pool.use_ended(&incarnation, &adapter);
                pool.call_ended(&incarnation, 0);
            }
        }
    }

    fn is_resident(&self, name: &str) -> bool {
        let mut loaders = self.loaders.iter();
        loaders.any(|loader| loader.engine.held(&adapter(name)).is_some())
    }

    fn try_call(&mut self, index: usize, name: String, arrived: u64, was_resident: Option<bool>) {
        let was_resident = was_resident.unwrap_or_else(|| self.is_resident(&name));
        let call = model_call(Some(&name));
        let (service, zone): (ServiceName, ZoneName) = (ENGINES.into(), zone_name(index));
        let now = ms(self.now);
        let router = &mut self.routers[index];
        let need = CallNeed {
            service: &service,
            model: Some(&call),
            zone: &zone,
            excluded: &[],
            routers: self.plan.routers,
            waiting_at: None,
            may_request_report: self.now < arrived + 200,
            software: SoftwareNeed::Any,
        };
        let rng = &mut self.rng;
        match choose_target(&router.pool, &need, now, || rng.random()) {
            TargetChoice::Send(incarnation, _) => {
                let id = adapter(&name);
                router.pool.call_started(&incarnation, Some(&id), 0);
                self.note_sent(&incarnation, &id, arrived, was_resident);
                self.notify(index, &incarnation);
                self.push(self.now + RUN_MS, Event::Ended(index, incarnation, id));
            }
            TargetChoice::RequestReport(incarnation) => {
                if router.pool.request_report(&incarnation, now) {
                    self.notify(index, &incarnation);
                }
                self.push(self.now + 4, Event::Retry(index, name, arrived, was_resident));
            }
            TargetChoice::Load(incarnation, adapter, version) => {
                router.pool.prefetch(&incarnation, &adapter, version, now);
                self.notify(index, &incarnation);
                // If the adapter is loaded although another engine holds it, the wait is for the load
                // and not for a report.
                let engine = &self.loaders[engine_index(&incarnation.id)].engine;
                let was_resident = was_resident && engine.held(&adapter).is_some();
                self.push(self.now + WAIT_MS, Event::Retry(index, name, arrived, was_resident));
            }
            TargetChoice::AwaitBase | TargetChoice::Nowhere => {
                self.push(self.now + WAIT_MS, Event::Retry(index, name, arrived, was_resident));
            }
        }
    }

    fn note_sent(
        &mut self,
        incarnation: &TargetIncarnation,
        adapter: &AdapterId,
        arrived: u64,
        was_resident: bool,
    ) {
        self.counts.sent += 1;
        let since = self.now - self.killed_at;
        self.counts.first_sent_ms.get_or_insert(since);
        let engine = &self.loaders[engine_index(&incarnation.id)].engine;
        if engine.held(adapter).is_none() {
            self.counts.refused += 1;
        }
        if was_resident {
            self.counts.max_report_wait_ms = self.counts.max_report_wait_ms.max(self.now - arrived);
        }
    }

    fn check_notices(&mut self, index: usize) {
        let now = ms(self.now);
        let routers = self.plan.routers;
        let router = &mut self.routers[index];
        router.pool.expire(now);
        router.pool.drop_old_prefetches(ms(2_000), now);
        let rng = &mut self.rng;
        let due = router.schedule.due(&router.pool, routers, now, || rng.random());
        for incarnation in due {
            self.notify(index, &incarnation);
        }
    }

    fn notify(&mut self, index: usize, incarnation: &TargetIncarnation) {
        let router = &mut self.routers[index];
        let notice = router.schedule.make(&mut router.pool, incarnation, ms(self.now));
        let Some(notice) = notice else { return };
        let loader = engine_index(&incarnation.id);
        self.send_to_loader(index, loader, RouterMessage::Notice(notice));
    }

    fn send_presence(&mut self, index: usize) {
        let zone = zone_name(index);
        let router = &mut self.routers[index];
        let round = router.presences;
        router.presences += 1;
        let zones: Vec<ZoneName> = (0..ZONES).map(zone_name).filter(|z| *z != zone).collect();
        let queried = router.peer_table.zones_to_query(&zones, round, ms(self.now));
        let queried: Vec<usize> =
            queried.into_iter().flat_map(|other| self.query(other, round)).collect();
        let own = self.query(&zone, round).into_iter().map(|loader| (loader, true));
        for (loader, registers_here) in own.chain(queried.into_iter().map(|loader| (loader, false)))
        {
            let (zone, address) = (zone.clone(), router_address(index));
            let presence = RouterPresence {
                zone,
                address,
                registers_here,
                limit_updates: Vec::new(),
                claims: Vec::new(),
            };
            self.send_to_loader(index, loader, RouterMessage::Presence(presence));
        }
    }

    /// Loaders of a zone's registry that a router sends its presence to in this round.
    fn query(&self, zone: &ZoneName, round: usize) -> Vec<usize> {
        loaders_to_query(&self.registry(zone), round, round).to_vec()
    }

    /// Loaders at which the routers of a zone register.
    fn registry(&self, zone: &ZoneName) -> Vec<usize> {
        let engines: Vec<(InstanceId, ZoneName)> =
            (0..self.plan.engines).map(|index| (engine_name(index), zone_name(index))).collect();
        let chosen = registry_targets(zone, engines.iter().map(|(id, zone)| (id, zone)));
        let index_of = |id: &InstanceId| engines.iter().position(|(own, _)| own == id);
        chosen.iter().filter_map(index_of).collect()
    }

    fn arrive_at_loader(&mut self, router: usize, index: usize, message: RouterMessage) {
        let now = ms(self.now);
        let loader = &mut self.loaders[index];
        if !loader.is_alive {
            return;
        }
        match message {
            RouterMessage::Notice(notice) => {
                loader.machine.take_notice(router_address(router), notice, now);
                self.reply(index);
            }
            RouterMessage::Presence(presence) => {
                let directory = loader.registry.take(&presence, now);
                self.send_to_router(index, router, LoaderMessage::Directory(directory));
            }
            _ => {}
        }
    }

    fn arrive_at_router(&mut self, index: usize, router: usize, message: LoaderMessage) {
        let now = ms(self.now);
        let router = &mut self.routers[router];
        match message {
            LoaderMessage::Report(report) => {
                router.pool.take_report(host(index).ip(), report, now);
            }
            LoaderMessage::Directory(directory) => router.peer_table.note(&directory, now),
            _ => {}
        }
    }

    fn reply(&mut self, index: usize) {
        let now = ms(self.now);
        let machine = &mut self.loaders[index].machine;
        let due = machine.take_due(now);
        let Some(report) = (!due.is_empty()).then(|| machine.make_report(now)).flatten() else {
            return;
        };
        for address in due {
            let message = LoaderMessage::Report(report.clone());
            self.send_to_router(index, router_index(address), message);
        }
    }

    fn step_loader(&mut self, index: usize) {
        if !self.loaders[index].is_alive {
            return;
        }
        let now = ms(self.now);
        for _ in 0..8 {
            let loader = &mut self.loaders[index];
            match loader.machine.next_step(now) {
                LoaderStep::Identify => loader.machine.take_instance(engine_name(index)),
                LoaderStep::Poll => loader.machine.take_report(loader.engine.clone(), now),
                LoaderStep::Order(order) => {
                    carry_out(&mut loader.engine, &order.verb);
                    loader.machine.take_answer(&order, OrderAnswer::Done, now);
                }
                LoaderStep::Wait(_) => break,
            }
        }
        self.reply(index);
    }

    fn send_to_loader(&mut self, router: usize, index: usize, message: RouterMessage) {
        let length = postcard::to_allocvec(&message).expect("a message").len();
        self.counts.bytes_of_routers[router] += length;
        self.counts.bytes_of_loaders[index] += length;
        if let Some(at) = self.arrival() {
            self.push(at, Event::ToLoader(router, index, Box::new(message)));
        }
    }

    fn send_to_router(&mut self, index: usize, router: usize, message: LoaderMessage) {
        let length = postcard::to_allocvec(&message).expect("a message").len();
        self.counts.bytes_of_routers[router] += length;
        self.counts.bytes_of_loaders[index] += length;
        if let Some(at) = self.arrival() {
            self.push(at, Event::ToRouter(index, router, Box::new(message)));
        }
    }

    /// Arrival time of a datagram that is sent now; `None` if it is lost. Later ones may arrive earlier.
    fn arrival(&mut self) -> Option<u64> {
        let is_lost = self.rng.random::<f64>() < self.plan.loss;
        (!is_lost).then(|| self.now + self.rng.random_range(1..4))
    }
}

fn new_router(plan: &FleetPlan, index: usize, incarnation: u64) -> Router {
    let mut pool = TargetPool::new();
    pool.take_config(Arc::new(config(1, Vec::new())));
    pool.replace_list((0..plan.engines).map(entry).collect(), ms(0));
    let boot = incarnation * 1_000_000 + index as u64;
    let peer_table = RouterTable::default();
    Router { pool, schedule: NoticeSchedule::new(boot), peer_table, presences: 0, incarnation }
}

fn new_loader(index: usize, incarnation: u64, is_alive: bool) -> Loader {
    let base = BaseHolding { base: BASE.into(), version: 1, adapters: BTreeMap::new() };
    let engine = EngineReport { holdings: vec![base], ..EngineReport::default() };
    let machine = LoaderMachine::new(incarnation * 1_000_000 + index as u64);
    Loader { machine, registry: PresenceRegistry::default(), engine, is_alive }
}

fn carry_out(engine: &mut EngineReport, verb: &OrderVerb) {
    engine.order_count += 1;
    let Some(holding) = engine.holdings.first_mut() else { return };
    match verb {
        OrderVerb::LoadAdapter(id, version) => {
            holding.adapters.insert(Arc::clone(&id.name), *version);
        }
        OrderVerb::UnloadAdapter(id) => {
            holding.adapters.remove(&id.name);
        }
        OrderVerb::LoadBase(_) => {}
    }
}
