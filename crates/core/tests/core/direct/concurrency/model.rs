//! A fleet in steps of 1 ms: targets with slots and queues, routers, and loaders that coordinate the slots.

use plantain_core::{
    direct::{
        concurrency::{
            account::{SlotAccount, SlotCall, SlotDecision, SlotResult, SlotTicket},
            coordinator::SlotCoordinator,
            messages::{SlotGrant, SlotReport},
        },
        membership::InstanceId,
    },
    ids::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

pub const SERVICE: u64 = 77;
pub const SLOTS: u16 = 6;
/// Calls that a target queues beyond its slots.
const QUEUE: usize = 24;
/// Mean run time in ms.
pub const RUN_MS: u64 = 30;
pub const OBJECTIVE: Duration = Duration::from_millis(150);
/// Loaders that may coordinate.
const LOADERS: usize = 3;
/// Time in ms that a datagram or a call takes.
const TRANSIT: u64 = 1;

/// One call at a router or a target.
#[derive(Clone, Copy, Debug)]
struct ModelCall {
    router: usize,
    began: u64,
    sent: u64,
}

#[derive(Debug, Default)]
struct ModelTarget {
    factor: u64,
    queue: VecDeque<ModelCall>,
    running: Vec<(u64, ModelCall)>,
}

#[derive(Debug)]
struct ModelRouter {
    account: SlotAccount,
    /// Calls a second.
    rate: f64,
    is_alive: bool,
    waiting: HashMap<SlotTicket, u64>,
}

#[derive(Debug)]
struct ModelLoader {
    coordinator: SlotCoordinator,
    is_alive: bool,
    /// Datagrams that wait while it is frozen.
    frozen: Option<Vec<Datagram>>,
}

#[derive(Clone, Debug)]
enum Datagram {
    Report(usize, usize, SlotReport),
    Grant(usize, usize, SlotGrant),
}

#[derive(Clone, Debug)]
enum Event {
    Datagram(Datagram),
    Arrive(usize, ModelCall),
    End(usize, ModelCall, bool),
}

/// Calls of one router, by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub arrived: usize,
    pub in_time: usize,
    pub late: usize,
    /// Refused by the router.
    pub refused: usize,
    /// Refused by a target whose queue is full.
    pub overflowed: usize,
    /// Sent without a coordinator.
    pub unmanaged: usize,
    /// Calls that waited for a slot.
    pub waited: usize,
}

/// What a model fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    pub routers: usize,
    pub targets: usize,
    /// Calls of all routers together, over what the targets can run.
    pub load: f64,
    /// Run time of the first target, as a multiple of the others'.
    pub slow_factor: u64,
    /// Datagrams of ten that are lost.
    pub lost_of_ten: u32,
}

pub struct ModelFleet {
    now: u64,
    random: StdRng,
    lost_of_ten: u32,
    targets: Vec<ModelTarget>,
    routers: Vec<ModelRouter>,
    loaders: Vec<ModelLoader>,
    events: BTreeMap<u64, Vec<Event>>,
    outcomes: Vec<Outcomes>,
    /// Time in ms from arrival to end of each call that was served.
    pub times: Vec<u64>,
    pub datagrams: usize,
}

/// Calls a second of one router.
fn rate(plan: &FleetPlan) -> f64 {
    let capacity = plan.targets as f64 * f64::from(SLOTS) * 1_000.0 / RUN_MS as f64;
    capacity * plan.load / plan.routers as f64
}

fn loader_id(index: usize) -> InstanceId {
    format!("engine-{index}").into()
}

fn time(millis: u64) -> Timestamp {
    Duration::from_millis(millis)
}

impl ModelFleet {
    pub fn new(plan: &FleetPlan) -> Self {
        let rate = rate(plan);
        let coordinators: Vec<InstanceId> = (0..LOADERS).map(loader_id).collect();
        let routers = (0..plan.routers).map(|index| {
            let mut account = SlotAccount::new(1_000 + index as u64, SERVICE, Duration::ZERO);
            let mut targets: Vec<_> = (0..plan.targets).map(|tag| (tag as u64, SLOTS)).collect();
            targets.rotate_left(index % plan.targets);
            account.set_fleet(&targets, &coordinators, plan.routers);
            ModelRouter { account, rate, is_alive: true, waiting: HashMap::new() }
        });
        let targets = (0..plan.targets).map(|index| ModelTarget {
            factor: if index == 0 { plan.slow_factor } else { 1 },
            ..ModelTarget::default()
        });
        let loaders = (0..LOADERS).map(|_| ModelLoader {
            coordinator: SlotCoordinator::default(),
            is_alive: true,
            frozen: None,
        });
        Self {
            now: 0,
            random: StdRng::seed_from_u64(7),
            lost_of_ten: plan.lost_of_ten,
            targets: targets.collect(),
            routers: routers.collect(),
            loaders: loaders.collect(),
            events: BTreeMap::new(),
            outcomes: vec![Outcomes::default(); plan.routers],
            times: Vec::new(),
            datagrams: 0,
        }
    }

    pub fn set_rate(&mut self, router: usize, factor: f64) {
        self.routers[router].rate *= factor;
    }

    pub fn stop_calls(&mut self) {
        self.routers.iter_mut().for_each(|router| router.rate = 0.0);
    }

    /// Lets a router get calls again, if it is alive.
    pub fn restart_calls(&mut self, router: usize, plan: &FleetPlan) {
        if self.routers[router].is_alive {
            self.routers[router].rate = rate(plan);
        }
    }

    /// The loader that coordinates the most calls now.
    pub fn coordinator(&self) -> usize {
        let granted = |index: &usize| self.loaders[*index].coordinator.view(SERVICE).1;
        let alive = (0..LOADERS).filter(|index| self.loaders[*index].is_alive);
        alive.max_by_key(granted).expect("a loader that is alive")
    }

    pub fn kill_loader(&mut self, index: usize) {
        self.loaders[index].is_alive = false;
    }

    pub fn restart_loader(&mut self, index: usize) {
        self.loaders[index] =
            ModelLoader { coordinator: SlotCoordinator::default(), is_alive: true, frozen: None };
    }

    pub fn freeze_loader(&mut self, index: usize) {
        self.loaders[index].frozen = Some(Vec::new());
    }

    pub fn resume_loader(&mut self, index: usize) {
        let queued = self.loaders[index].frozen.take().unwrap_or_default();
        let events = queued.into_iter().map(Event::Datagram);
        self.events.entry(self.now + 1).or_default().extend(events);
    }

    /// Ends a router with all its calls; they go on running at the targets.
    pub fn kill_router(&mut self, index: usize) {
        self.routers[index].is_alive = false;
        self.routers[index].rate = 0.0;
    }

    /// Slots that the live routers use and may use, by the coordinator and by themselves.
    pub fn held(&self, loader: usize) -> [(u32, u32); 2] {
        let alive = self.routers.iter().filter(|router| router.is_alive);
        let own = alive.map(|router| router.account.view(time(self.now)));
        let own = own.fold((0, 0), |sum, view| (sum.0 + view.in_use, sum.1 + view.allowed));
        [self.loaders[loader].coordinator.view(SERVICE), own]
    }

    /// Forgets what was counted so far.
    pub fn reset_counts(&mut self) {
        self.outcomes.fill(Outcomes::default());
        self.times.clear();
        self.datagrams = 0;
    }

    pub fn outcomes(&self, router: usize) -> Outcomes {
        self.outcomes[router]
    }

    /// Outcomes over all routers.
    pub fn total(&self) -> Outcomes {
        self.outcomes.iter().fold(Outcomes::default(), |sum, part| Outcomes {
            arrived: sum.arrived + part.arrived,
            in_time: sum.in_time + part.in_time,
            late: sum.late + part.late,
            refused: sum.refused + part.refused,
            overflowed: sum.overflowed + part.overflowed,
            unmanaged: sum.unmanaged + part.unmanaged,
            waited: sum.waited + part.waited,
        })
    }

    /// Largest number of calls in flight at any target now.
    pub fn most_in_flight(&self) -> usize {
        let flights = self.targets.iter().map(|target| target.queue.len() + target.running.len());
        flights.max().unwrap_or_default()
    }

    /// 99th percentile of the times of served calls, in ms.
    pub fn p99(&self) -> u64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        times.get(times.len() * 99 / 100).copied().unwrap_or_default()
    }

    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += 1;
        for event in self.events.remove(&self.now).unwrap_or_default() {
            match event {
                Event::Datagram(datagram) => self.take_datagram(datagram),
                Event::Arrive(target, call) => self.arrive(target, call),
                Event::End(target, call, has_run) => self.end(target, call, has_run),
            }
        }
        self.run_targets();
        for router in 0..self.routers.len() {
            if self.routers[router].is_alive {
                self.step_router(router);
            }
        }
    }

    fn schedule(&mut self, event: Event) {
        self.events.entry(self.now + TRANSIT).or_default().push(event);
    }

    fn send(&mut self, datagram: Datagram) {
        self.datagrams += 1;
        if self.random.random_range(0..10) >= self.lost_of_ten {
            self.schedule(Event::Datagram(datagram));
        }
    }

    fn take_datagram(&mut self, datagram: Datagram) {
        let now = time(self.now);
        match datagram {
            Datagram::Report(router, index, report) => {
                let loader = &mut self.loaders[index];
                if !loader.is_alive {
                    return;
                }
                if let Some(frozen) = &mut loader.frozen {
                    return frozen.push(Datagram::Report(router, index, report));
                }
                let address = SocketAddr::from(([127, 0, 0, 1], router as u16 + 1));
                for (address, grant) in loader.coordinator.take(address, &report, now) {
                    let router = usize::from(address.port()) - 1;
                    self.send(Datagram::Grant(router, index, grant));
                }
            }
            Datagram::Grant(router, index, grant) => {
                if self.routers[router].is_alive {
                    self.routers[router].account.take_grant(&loader_id(index), &grant, now);
                }
            }
        }
    }

    fn step_router(&mut self, index: usize) {
        let arrivals = self.routers[index].rate / 1_000.0;
        let whole = arrivals.floor();
        let count = whole as usize + usize::from(self.random.random_bool(arrivals - whole));
        for _ in 0..count {
            self.outcomes[index].arrived += 1;
            self.request(index);
        }
        let now = time(self.now);
        let reports = self.routers[index].account.take_reports(now);
        for (loader, report) in reports {
            let number = loader.trim_start_matches("engine-").parse().expect("a number");
            self.send(Datagram::Report(index, number, report));
        }
        for (ticket, decision) in self.routers[index].account.take_decided() {
            let began = self.routers[index].waiting.remove(&ticket).expect("a waiting call");
            self.decide(index, began, decision);
        }
    }

    fn request(&mut self, index: usize) {
        let targets = self.targets.len() as u64;
        let first = self.random.random_range(0..targets);
        let call = SlotCall {
            targets: (0..targets).map(|tag| (first + tag) % targets).collect(),
            priority: 0,
            began: time(self.now),
            objective: OBJECTIVE,
            deadline: time(self.now + 2_000),
        };
        let router = &mut self.routers[index];
        match router.account.request(call, time(self.now)) {
            SlotResult::Decided(decision) => self.decide(index, self.now, decision),
            SlotResult::Waiting(ticket) => {
                router.waiting.insert(ticket, self.now);
                self.outcomes[index].waited += 1;
            }
        }
    }

    fn decide(&mut self, router: usize, began: u64, decision: SlotDecision) {
        let call = ModelCall { router, began, sent: self.now };
        match decision {
            SlotDecision::Start(target) => self.schedule(Event::Arrive(target as usize, call)),
            SlotDecision::Refused { .. } => self.outcomes[router].refused += 1,
            SlotDecision::Unmanaged => {
                self.outcomes[router].unmanaged += 1;
                let target = self.random.random_range(0..self.targets.len());
                self.routers[router].account.count(target as u64);
                self.schedule(Event::Arrive(target, call));
            }
        }
    }

    fn arrive(&mut self, index: usize, call: ModelCall) {
        if self.targets[index].queue.len() >= QUEUE {
            return self.schedule(Event::End(index, call, false));
        }
        self.targets[index].queue.push_back(call);
    }

    fn run_targets(&mut self) {
        for index in 0..self.targets.len() {
            let now = self.now;
            let target = &mut self.targets[index];
            let (ended, running) = target.running.drain(..).partition(|(end, _)| *end <= now);
            target.running = running;
            while target.running.len() < usize::from(SLOTS) {
                let Some(call) = target.queue.pop_front() else { break };
                let run = self.random.random_range(RUN_MS / 2..=RUN_MS * 3 / 2);
                target.running.push((now + run * target.factor, call));
            }
            let ended: Vec<(u64, ModelCall)> = ended;
            for (_, call) in ended {
                self.schedule(Event::End(index, call, true));
            }
        }
    }

    fn end(&mut self, target: usize, call: ModelCall, has_run: bool) {
        if !self.routers[call.router].is_alive {
            return;
        }
        let run = has_run.then(|| time(self.now - call.sent));
        self.routers[call.router].account.release(target as u64, run, time(self.now));
        let taken = self.now - call.began;
        let outcomes = &mut self.outcomes[call.router];
        if !has_run {
            outcomes.overflowed += 1;
            return;
        }
        self.times.push(taken);
        if time(taken) <= OBJECTIVE {
            outcomes.in_time += 1;
        } else {
            outcomes.late += 1;
        }
    }
}
