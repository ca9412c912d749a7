//! Routers and meters as state machines that exchange their real messages, with delays and losses, in
//! simulated time.

use super::super::support::ms;
use plantain_core::{
    direct::{
        customers::CustomerRule,
        limits::{
            account::{AccountBook, CallTicket, Spend, SpendVerdict},
            messages::{UsageGrant, UsageReport},
            meter::UsageMeter,
            terms::{LimitTerms, UsageLimit, UsageUnit},
        },
        membership::InstanceId,
    },
    ids::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

/// Pause between looks at what is due.
const LOOK_MS: u64 = 50;
/// Pause between looks at the fleet.
const FLEET_MS: u64 = 200;
/// The customer.
const CUSTOMER: &str = "temple";

pub const TERMS: LimitTerms =
    LimitTerms { window: Duration::from_secs(8), overage: 0.1, slack: 40_000.0 };

pub fn limit(rate: f64, burst: f64) -> UsageLimit {
    UsageLimit { unit: UsageUnit::Tokens { plain: 200 }, rate, burst }
}

fn rule(limit: UsageLimit) -> Arc<CustomerRule> {
    let (name, keys) = (CUSTOMER.into(), Vec::new());
    Arc::new(CustomerRule { name, keys, priority: None, limit: Some(limit) })
}

/// What a call has come to.
#[derive(Clone, Copy, Debug)]
pub struct RunRecord {
    pub at: Timestamp,
    pub cost: u32,
    pub is_run: bool,
}

/// Most units run in any window.
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

/// Most units that may run in a window.
pub fn most(limit: &UsageLimit, terms: &LimitTerms) -> f64 {
    limit.total(terms.window) * (1.0 + terms.overage) + terms.slack
}

/// Part of the units asked for that were refused.
pub fn refused_share(records: &[RunRecord], from: Timestamp) -> f64 {
    let asked = records.iter().filter(|record| record.at >= from);
    let (mut all, mut refused) = (0.0, 0.0);
    for record in asked {
        all += f64::from(record.cost);
        refused += if record.is_run { 0.0 } else { f64::from(record.cost) };
    }
    refused / f64::max(all, 1.0)
}

enum Parcel {
    Report(usize, usize, UsageReport),
    Grant(usize, UsageGrant),
}

/// A fleet of routers and meters.
pub struct LimitFleet {
    pub now_ms: u64,
    pub limit: UsageLimit,
    config: u64,
    rule: Arc<CustomerRule>,
    pub records: Vec<RunRecord>,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of them.
    pub bytes: u64,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// Router and meter that do not reach each other.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    /// Meters and routers that stand still until then, in ms.
    pub frozen_meters: HashMap<usize, u64>,
    pub frozen_routers: HashMap<usize, u64>,
    terms: LimitTerms,
    routers: Vec<AccountBook>,
    meters: Vec<UsageMeter>,
    targets: Vec<InstanceId>,
    parcels: HashMap<u64, Parcel>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    next: u64,
    waiting: HashMap<(usize, CallTicket), (Timestamp, u32)>,
    rng: StdRng,
}

impl LimitFleet {
    pub fn new(routers: usize, meters: usize, limit: UsageLimit, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Self {
            now_ms: 20_000,
            limit,
            config: 1,
            rule: rule(limit),
            records: Vec::new(),
            sent: 0,
            bytes: 0,
            loss: 0.0,
            is_cut: Box::new(|_, _| false),
            frozen_meters: HashMap::new(),
            frozen_routers: HashMap::new(),
            terms: TERMS,
            routers: (0..routers)
                .map(|_| AccountBook::new(rng.random(), TERMS, Duration::ZERO))
                .collect(),
            meters: (0..meters).map(|_| UsageMeter::new(rng.random())).collect(),
            targets: (0..meters).map(|meter| format!("e{meter}").into()).collect(),
            parcels: HashMap::new(),
            due: BinaryHeap::new(),
            next: 0,
            waiting: HashMap::new(),
            rng,
        };
        // The fleet has stood for a while.
        fleet.pass(2_000);
        fleet
    }

    /// A new configuration changes the limit; each router has it at its next look.
    pub fn set_limit(&mut self, limit: UsageLimit) {
        self.limit = limit;
        self.rule = rule(limit);
        self.config += 1;
    }

    pub fn now(&self) -> Timestamp {
        ms(self.now_ms)
    }

    /// The router starts again, knowing nothing.
    pub fn restart_router(&mut self, router: usize) {
        self.routers[router] = AccountBook::new(self.rng.random(), self.terms, self.now());
        let at = self.now();
        let gone: Vec<_> = self.waiting.keys().filter(|(own, _)| *own == router).copied().collect();
        for key in gone {
            let (_, cost) = self.waiting.remove(&key).expect("a call that waits");
            self.records.push(RunRecord { at, cost, is_run: false });
        }
    }

    /// The meter starts again, knowing nothing.
    pub fn restart_meter(&mut self, meter: usize) {
        self.meters[meter] = UsageMeter::new(self.rng.random());
    }

    /// A call comes in.
    pub fn call(&mut self, router: usize, cost: u32) {
        let now = self.now();
        let spend = self.routers[router].spend(self.rule.tag(), &self.limit, cost, now);
        match spend {
            Spend::Decided(verdict) => self.record(verdict, cost, now),
            Spend::Waiting(ticket) => {
                self.waiting.insert((router, ticket), (now, cost));
            }
        }
        if spend == Spend::Decided(SpendVerdict::Granted)
            && !self.routers[router].is_low(self.rule.tag())
        {
            return;
        }
        self.send_reports(router);
    }

    fn record(&mut self, verdict: SpendVerdict, cost: u32, at: Timestamp) {
        let is_run = verdict == SpendVerdict::Granted;
        self.records.push(RunRecord { at, cost, is_run });
    }

    /// Lets time pass.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now_ms += 1;
            self.deliver();
            let routers = self.routers.len() as u64;
            for router in 0..self.routers.len() {
                if self.frozen_routers.get(&router).is_some_and(|until| *until > self.now_ms) {
                    continue;
                }
                // Each router looks at times of its own.
                let phase = router as u64 * LOOK_MS / routers;
                if self.now_ms % FLEET_MS == phase {
                    let (now, targets) = (self.now(), self.targets.clone());
                    self.routers[router].set_limits(
                        self.config,
                        &HashMap::from([(self.rule.tag(), self.rule.limit.expect("a limit"))]),
                    );
                    self.routers[router].set_fleet(routers as usize, targets, now);
                    self.routers[router].expire(now);
                    self.settle(router);
                }
                if self.now_ms % LOOK_MS == phase {
                    self.send_reports(router);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= self.now_ms) {
            let Some(Reverse((_, number))) = self.due.pop() else { return };
            let Some(parcel) = self.parcels.remove(&number) else { continue };
            let now = self.now();
            match parcel {
                Parcel::Report(router, meter, report) => {
                    if let Some(until) = self.frozen(&self.frozen_meters, meter) {
                        self.put(until, Parcel::Report(router, meter, report));
                    } else if let Some(grant) = self.meters[meter].take(&report, now) {
                        self.send(router, meter, grant_bytes(&grant), Parcel::Grant(router, grant));
                    }
                }
                Parcel::Grant(router, grant) => {
                    if let Some(until) = self.frozen(&self.frozen_routers, router) {
                        self.put(until, Parcel::Grant(router, grant));
                        continue;
                    }
                    self.routers[router].take_grant(&grant, now);
                    self.settle(router);
                    self.send_reports(router);
                }
            }
        }
    }

    fn frozen(&self, frozen: &HashMap<usize, u64>, index: usize) -> Option<u64> {
        frozen.get(&index).copied().filter(|until| *until > self.now_ms)
    }

    fn settle(&mut self, router: usize) {
        for (ticket, verdict) in self.routers[router].take_decided() {
            if let Some((_, cost)) = self.waiting.remove(&(router, ticket)) {
                self.record(verdict, cost, self.now());
            }
        }
    }

    fn send_reports(&mut self, router: usize) {
        let now = self.now();
        for (target, report) in self.routers[router].take_reports(now) {
            let meter = self.targets.iter().position(|own| *own == target).expect("a meter");
            let bytes = postcard::to_allocvec(&report).expect("a message").len();
            self.send(router, meter, bytes, Parcel::Report(router, meter, report));
        }
    }

    fn send(&mut self, router: usize, meter: usize, bytes: usize, parcel: Parcel) {
        self.sent += 1;
        self.bytes += bytes as u64;
        if (self.is_cut)(router, meter) || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.rng.random_range(1..4);
        self.put(self.now_ms + delay, parcel);
    }

    fn put(&mut self, at: u64, parcel: Parcel) {
        self.next += 1;
        self.parcels.insert(self.next, parcel);
        self.due.push(Reverse((at, self.next)));
    }
}

fn grant_bytes(grant: &UsageGrant) -> usize {
    postcard::to_allocvec(grant).expect("a message").len()
}
