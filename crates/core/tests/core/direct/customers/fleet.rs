//! Simulation of routers and meters that exchange their real messages, with delays and losses, in simulated time.

use super::super::support::ms;
use plantain_core::{
    direct::{
        customers::CustomerRule,
        directory::RouterTable,
        limits::{
            account::{AccountTable, CallTicket, SpendDecision, SpendResult},
            messages::{UsageGrant, UsageReport},
            meter::UsageMeter,
            terms::{FleetSize, LimitRule, LimitTerms, UsageLimit, UsageUnit},
        },
        membership::InstanceId,
        target_limit::LimitTable,
    },
    ids::Timestamp,
};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    env,
    sync::Arc,
    time::Duration,
};

/// Interval in ms of sending due reports.
const REPORT_MS: u64 = 50;
/// Interval in ms of refreshing a router's limits and fleet.
const REFRESH_MS: u64 = 200;
/// Name of the only customer.
const CUSTOMER: &str = "temple";

pub const TERMS: LimitTerms =
    LimitTerms { window: Duration::from_secs(8), overage: 0.1, slack: 40_000.0 };

pub fn limit(rate: f64, burst: f64) -> UsageLimit {
    UsageLimit { unit: UsageUnit::Tokens { plain: 200 }, rate, burst }
}

/// Rule under which a customer's limit is enforced.
pub fn customer_rule(limit: UsageLimit) -> LimitRule {
    LimitRule { limit, terms: TERMS, is_used_before: false }
}

fn customer(limit: UsageLimit) -> Arc<CustomerRule> {
    let (name, keys) = (CUSTOMER.into(), Vec::new());
    Arc::new(CustomerRule { name, keys, priority: None, limit: Some(limit) })
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug)]
pub struct RunRecord {
    pub at: Timestamp,
    pub cost: u32,
    pub is_run: bool,
}

/// Maximum of units that ran in any window.
pub fn worst_window(records: &[RunRecord], window: Duration) -> f64 {
    let mut runs: Vec<&RunRecord> = records.iter().filter(|record| record.is_run).collect();
    runs.sort_unstable_by_key(|record| record.at);
    let (mut first, mut sum, mut worst) = (0, 0.0, 0.0_f64);
    for record in &runs {
        sum += f64::from(record.cost);
        while record.at.saturating_sub(runs[first].at) >= window {
            sum -= f64::from(runs[first].cost);
            first += 1;
        }
        worst = worst.max(sum);
    }
    worst
}

/// Maximum of units that may run in a window.
pub fn max_units(limit: &UsageLimit, terms: &LimitTerms) -> f64 {
    limit.total(terms.window) * (1.0 + terms.overage) + terms.slack
}

/// Part of the requested units that were refused.
pub fn refused_share(records: &[RunRecord], from: Timestamp) -> f64 {
    let requested = records.iter().filter(|record| record.at >= from);
    let (mut total, mut refused) = (0.0, 0.0);
    for record in requested {
        total += f64::from(record.cost);
        refused += if record.is_run { 0.0 } else { f64::from(record.cost) };
    }
    refused / f64::max(total, 1.0)
}

enum Datagram {
    Report(usize, usize, UsageReport),
    Grant(usize, UsageGrant),
}

/// Simulated fleet of routers and meters with one limit.
pub struct LimitFleet {
    pub now_ms: u64,
    pub limit: UsageLimit,
    config: u64,
    rule: Arc<CustomerRule>,
    pub records: Vec<RunRecord>,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes: u64,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// Whether a router and a meter do not reach each other.
    pub is_partitioned: Box<dyn Fn(usize, usize) -> bool>,
    /// Meters and routers that are frozen, with the end in ms.
    pub frozen_meters: HashMap<usize, u64>,
    pub frozen_routers: HashMap<usize, u64>,
    terms: LimitTerms,
    /// Whether calls may have used the limit before it was known.
    is_used_before: bool,
    /// Whether routers know each other only by their reports in the store.
    pub is_store_only: bool,
    started: Vec<Timestamp>,
    routers: Vec<AccountTable>,
    meters: Vec<UsageMeter>,
    tables: Vec<LimitTable>,
    targets: Vec<InstanceId>,
    datagrams: HashMap<u64, Datagram>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    next: u64,
    waiting: HashMap<(usize, CallTicket), (Timestamp, u32)>,
    rng: StdRng,
}

impl LimitFleet {
    pub fn new(routers: usize, meters: usize, limit: UsageLimit, seed: u64) -> Self {
        Self::with_rule(routers, meters, &customer_rule(limit), seed)
    }

    pub fn with_rule(routers: usize, meters: usize, rule: &LimitRule, seed: u64) -> Self {
        let limit = rule.limit;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Self {
            now_ms: 20_000,
            limit,
            config: 1,
            rule: customer(limit),
            records: Vec::new(),
            sent: 0,
            bytes: 0,
            loss: 0.0,
            is_partitioned: Box::new(|_, _| false),
            frozen_meters: HashMap::new(),
            frozen_routers: HashMap::new(),
            terms: rule.terms,
            is_used_before: rule.is_used_before,
            is_store_only: false,
            started: vec![Duration::ZERO; routers],
            routers: (0..routers)
                .map(|_| AccountTable::new(rng.random(), Duration::ZERO))
                .collect(),
            meters: (0..meters).map(|_| UsageMeter::new(rng.random())).collect(),
            tables: (0..meters).map(|_| LimitTable::default()).collect(),
            targets: (0..meters).map(|meter| format!("e{meter}").into()).collect(),
            datagrams: HashMap::new(),
            due: BinaryHeap::new(),
            next: 0,
            waiting: HashMap::new(),
            rng,
        };
        // Lets routers enrol and meters settle.
        fleet.advance(2_000);
        fleet
    }

    /// Changes the limit by a new configuration; each router applies it at its next refresh.
    pub fn set_limit(&mut self, limit: UsageLimit) {
        self.limit = limit;
        self.rule = customer(limit);
        self.config += 1;
    }

    pub fn now(&self) -> Timestamp {
        ms(self.now_ms)
    }

    /// Fleet size as one router knows it.
    fn size(&self, router: usize) -> FleetSize {
        let total = self.routers.len();
        if !self.is_store_only {
            return FleetSize::new(total, total);
        }
        let mut peer_table = RouterTable::default();
        peer_table.note_listed();
        for other in (0..total).filter(|other| *other != router) {
            peer_table.note_report(&format!("r{other}").into(), self.now());
        }
        FleetSize::new(1, peer_table.max_routers(1, self.started[router], self.now()))
    }

    fn limit_rule(&self) -> LimitRule {
        LimitRule { limit: self.limit, terms: self.terms, is_used_before: self.is_used_before }
    }

    /// Restarts a router without its state; its waiting calls are refused.
    pub fn restart_router(&mut self, router: usize) {
        self.routers[router] = AccountTable::new(self.rng.random(), self.now());
        self.started[router] = self.now();
        let at = self.now();
        let canceled: Vec<_> =
            self.waiting.keys().filter(|(own, _)| *own == router).copied().collect();
        for key in canceled {
            let (_, cost) = self.waiting.remove(&key).expect("a call that waits");
            self.records.push(RunRecord { at, cost, is_run: false });
        }
    }

    /// Restarts a meter without its state.
    pub fn restart_meter(&mut self, meter: usize) {
        self.meters[meter] = UsageMeter::new(self.rng.random());
    }

    /// Injects one random fault or none; returns its description.
    pub fn inject_fault(&mut self, rng: &mut StdRng) -> Option<String> {
        let (routers, meters) = (self.routers.len(), self.meters.len());
        let at = self.now_ms;
        let until = at + rng.random_range(100..6_000);
        let meter = rng.random_range(0..meters.max(1));
        let router = rng.random_range(0..routers);
        match rng.random_range(0..7) {
            0 if meters > 0 => {
                self.restart_meter(meter);
                Some(format!("{at}: meter {meter} restarts"))
            }
            1 => {
                self.restart_router(router);
                Some(format!("{at}: router {router} restarts"))
            }
            2 => {
                self.frozen_meters.insert(meter, until);
                Some(format!("{at}: meter {meter} frozen until {until}"))
            }
            3 => {
                self.frozen_routers.insert(router, until);
                Some(format!("{at}: router {router} frozen until {until}"))
            }
            4 => {
                let (zones, phase) = (rng.random_range(2..4), rng.random_range(0..3));
                self.is_partitioned =
                    Box::new(move |router, meter| router % zones != (meter + phase) % zones);
                Some(format!("{at}: {zones} zones are partitioned"))
            }
            5 => {
                self.is_partitioned = Box::new(|_, _| false);
                Some(format!("{at}: partitions end"))
            }
            _ => None,
        }
    }

    /// A call arrives at a router.
    pub fn call(&mut self, router: usize, cost: u32) {
        let now = self.now();
        let rule = self.limit_rule();
        let spend = self.routers[router].spend(self.rule.tag(), &rule, cost, now);
        match spend {
            SpendResult::Decided(decision) => self.record(decision, cost, now),
            SpendResult::Waiting(ticket) => {
                self.waiting.insert((router, ticket), (now, cost));
            }
        }
        if spend == SpendResult::Decided(SpendDecision::Granted)
            && !self.routers[router].is_low(self.rule.tag())
        {
            return;
        }
        self.send_reports(router);
    }

    fn record(&mut self, decision: SpendDecision, cost: u32, at: Timestamp) {
        let is_run = decision == SpendDecision::Granted;
        self.records.push(RunRecord { at, cost, is_run });
    }

    /// Advances the simulated time.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now_ms += 1;
            self.deliver();
            let routers = self.routers.len() as u64;
            for router in 0..self.routers.len() {
                if self.frozen_routers.get(&router).is_some_and(|until| *until > self.now_ms) {
                    continue;
                }
                // Routers run at different phases of the intervals.
                let phase = router as u64 * REPORT_MS / routers;
                if self.now_ms % REFRESH_MS == phase {
                    let (now, targets) = (self.now(), self.targets.clone());
                    self.routers[router].set_limits(
                        self.config,
                        &HashMap::from([(self.rule.tag(), self.rule.limit.expect("a limit"))]),
                    );
                    let fleet = self.size(router);
                    self.routers[router].set_fleet(fleet, targets, now);
                    self.routers[router].expire(now);
                    self.record_decided(router);
                }
                if self.now_ms % REPORT_MS == phase {
                    self.send_reports(router);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= self.now_ms) {
            let Some(Reverse((_, number))) = self.due.pop() else { return };
            let Some(datagram) = self.datagrams.remove(&number) else { continue };
            let now = self.now();
            match datagram {
                Datagram::Report(router, meter, report) => {
                    if let Some(until) = self.frozen(&self.frozen_meters, meter) {
                        self.schedule(until, Datagram::Report(router, meter, report));
                    } else if let Some(grant) =
                        self.meters[meter].take(&report, &self.tables[meter], now)
                    {
                        self.send(
                            router,
                            meter,
                            grant_bytes(&grant),
                            Datagram::Grant(router, grant),
                        );
                    }
                }
                Datagram::Grant(router, grant) => {
                    if let Some(until) = self.frozen(&self.frozen_routers, router) {
                        self.schedule(until, Datagram::Grant(router, grant));
                        continue;
                    }
                    self.routers[router].take_grant(&grant, now);
                    self.record_decided(router);
                    self.send_reports(router);
                }
            }
        }
    }

    fn frozen(&self, frozen: &HashMap<usize, u64>, index: usize) -> Option<u64> {
        frozen.get(&index).copied().filter(|until| *until > self.now_ms)
    }

    fn record_decided(&mut self, router: usize) {
        for (ticket, decision) in self.routers[router].take_decided() {
            if let Some((_, cost)) = self.waiting.remove(&(router, ticket)) {
                self.record(decision, cost, self.now());
            }
        }
    }

    fn send_reports(&mut self, router: usize) {
        let now = self.now();
        for (target, report) in self.routers[router].take_reports(&[], now) {
            let meter = self.targets.iter().position(|own| *own == target).expect("a meter");
            let bytes = postcard::to_allocvec(&report).expect("a message").len();
            self.send(router, meter, bytes, Datagram::Report(router, meter, report));
        }
    }

    fn send(&mut self, router: usize, meter: usize, bytes: usize, datagram: Datagram) {
        self.sent += 1;
        self.bytes += bytes as u64;
        if (self.is_partitioned)(router, meter) || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.rng.random_range(1..4);
        self.schedule(self.now_ms + delay, datagram);
    }

    fn schedule(&mut self, at: u64, datagram: Datagram) {
        self.next += 1;
        self.datagrams.insert(self.next, datagram);
        self.due.push(Reverse((at, self.next)));
    }
}

/// Runs a simulation with 100 fixed seeds; `LIMIT_PLAYS=5000` runs 5,000 random ones instead.
pub fn check_seeds(simulate: fn(u64) -> bool) {
    let random_plays = env::var("LIMIT_PLAYS").ok().and_then(|plays| plays.parse().ok());
    let random =
        if random_plays.is_some() { Gen::new(100) } else { Gen::from_size_and_seed(100, 1) };
    let plays = random_plays.unwrap_or(100);
    QuickCheck::new().rng(random).tests(plays).max_tests(plays).quickcheck(simulate);
}

/// The picked router, or the first one that is not frozen if the picked one is.
pub fn unfrozen_router(
    frozen: &HashMap<usize, u64>,
    picked: usize,
    routers: usize,
    now_ms: u64,
) -> usize {
    if frozen.get(&picked).is_some_and(|until| *until > now_ms) {
        (0..routers).find(|own| !frozen.contains_key(own)).unwrap_or(picked)
    } else {
        picked
    }
}

/// Sends calls for `seconds` at a rate of units a second; `pick` selects the router of each call.
pub fn send_calls(
    fleet: &mut LimitFleet,
    rate: f64,
    costs: (u32, u32),
    seconds: u64,
    mut pick: impl FnMut(&mut StdRng, u64) -> usize,
) {
    let mut rng = StdRng::seed_from_u64(fleet.now_ms);
    let mean = f64::from(costs.0 + costs.1) / 2.0;
    let calls_per_ms = rate / mean / 1_000.0;
    for _ in 0..seconds * 1_000 {
        let mut expected_calls = calls_per_ms;
        while expected_calls > 0.0 {
            if rng.random_bool(expected_calls.min(1.0)) {
                let router = pick(&mut rng, fleet.now_ms);
                fleet.call(router, rng.random_range(costs.0..=costs.1));
            }
            expected_calls -= 1.0;
        }
        fleet.advance(1);
    }
}

fn grant_bytes(grant: &UsageGrant) -> usize {
    postcard::to_allocvec(grant).expect("a message").len()
}
