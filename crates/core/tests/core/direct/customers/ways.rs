//! Comparison of three strategies to enforce one limit at many routers, under the same loads.
//!
//! `cargo test --release -p plantain-core --test core ways -- --nocapture` prints the table of
//! docs/design/customers.md.

use super::{
    super::support::ms,
    fleet::{
        LimitFleet, RunRecord, TERMS, customer_rule, limit, max_units, refused_share, worst_window,
    },
};
use plantain_core::direct::limits::{
    bucket::TokenBucket,
    terms::{FleetSize, LimitShares, UsageLimit},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::VecDeque;

/// Rate of the limit in units a second, and its burst in units.
const RATE: f64 = 50_000.0;
/// Duration of each load in seconds.
const SECONDS: u64 = 20;
/// Lowest and highest cost of a call.
const COSTS: (u32, u32) = (200, 1_500);

/// A strategy to enforce a limit at many routers.
trait LimitStrategy {
    /// Advances the time by 1 ms.
    fn advance(&mut self);
    /// A call arrives at a router.
    fn call(&mut self, router: usize, cost: u32);
    /// Outcomes of all calls.
    fn records(&self) -> &[RunRecord];
    /// Datagrams between routers and meters, their bytes, and calls to the store.
    fn traffic(&self) -> (u64, u64, u64);
}

/// Slices that meters grant.
struct MeterStrategy(LimitFleet);

impl LimitStrategy for MeterStrategy {
    fn advance(&mut self) {
        self.0.advance(1);
    }

    fn call(&mut self, router: usize, cost: u32) {
        self.0.call(router, cost);
    }

    fn records(&self) -> &[RunRecord] {
        &self.0.records
    }

    fn traffic(&self) -> (u64, u64, u64) {
        (self.0.sent, self.0.bytes, 0)
    }
}

/// An even share of the limit and its tolerance for each router.
struct EvenStrategy {
    now_ms: u64,
    limit: UsageLimit,
    buckets: Vec<TokenBucket>,
    records: Vec<RunRecord>,
}

impl EvenStrategy {
    fn new(routers: usize, limit: UsageLimit) -> Self {
        let bucket = TokenBucket::new(f64::MAX, ms(0));
        Self { now_ms: 0, limit, buckets: vec![bucket; routers], records: Vec::new() }
    }
}

impl LimitStrategy for EvenStrategy {
    fn advance(&mut self) {
        self.now_ms += 1;
    }

    fn call(&mut self, router: usize, cost: u32) {
        let routers = self.buckets.len() as f64;
        let capacity = (max_units(&self.limit, &TERMS)
            - self.limit.rate * TERMS.window.as_secs_f64())
            / routers;
        let bucket = &mut self.buckets[router];
        let left = bucket.refill(self.limit.rate / routers, capacity, ms(self.now_ms));
        let is_run = left >= f64::from(cost);
        if is_run {
            bucket.take(f64::from(cost));
        }
        self.records.push(RunRecord { at: ms(self.now_ms), cost, is_run });
    }

    fn records(&self) -> &[RunRecord] {
        &self.records
    }

    fn traffic(&self) -> (u64, u64, u64) {
        (0, 0, 0)
    }
}

/// Time of a call to the store with its round trip, in ms.
const STORE_MS: u64 = 8;
/// Longest time for which a call waits for a lease, in ms.
const LEASE_WAIT_MS: u64 = 150;

#[derive(Default)]
struct LeaseRouter {
    balance: f64,
    waiting: VecDeque<(u64, u32)>,
    /// End of the pending write, and the version that it replaces.
    write: Option<(u64, u64)>,
}

/// Slices leased by conditional writes to one object of the store.
struct LeaseStrategy {
    now_ms: u64,
    limit: UsageLimit,
    bucket: TokenBucket,
    version: u64,
    calls: u64,
    routers: Vec<LeaseRouter>,
    records: Vec<RunRecord>,
}

impl LeaseStrategy {
    fn new(routers: usize, limit: UsageLimit) -> Self {
        let routers = (0..routers).map(|_| LeaseRouter::default()).collect();
        let bucket = TokenBucket::new(limit.burst, ms(0));
        Self { now_ms: 0, limit, bucket, version: 0, calls: 0, routers, records: Vec::new() }
    }

    fn write(&mut self, index: usize) {
        let shares = LimitShares::new(
            &customer_rule(self.limit),
            FleetSize::new(self.routers.len(), self.routers.len()),
        );
        let router = &mut self.routers[index];
        let Some((done, version)) = router.write else { return };
        if done > self.now_ms {
            return;
        }
        router.write = None;
        if version != self.version {
            return;
        }
        self.version += 1;
        let waiting: f64 = router.waiting.iter().map(|(_, cost)| f64::from(*cost)).sum();
        let left = self.bucket.refill(shares.rate, shares.capacity, ms(self.now_ms));
        // A lease covers the waiting calls. To keep writes few, it adds a second's use of one of 21 routers that
        // share the limit evenly; the smaller of the two fleets has 21 routers.
        let wanted = waiting - router.balance + shares.rate / 21.0;
        let units = wanted.min(left).max(0.0);
        self.bucket.take(units);
        router.balance += units;
    }
}

impl LimitStrategy for LeaseStrategy {
    fn advance(&mut self) {
        self.now_ms += 1;
        for index in 0..self.routers.len() {
            self.write(index);
            let (now, version) = (self.now_ms, self.version);
            let router = &mut self.routers[index];
            while let Some((at, cost)) = router.waiting.front().copied() {
                let is_run = router.balance >= f64::from(cost);
                if !is_run && now - at < LEASE_WAIT_MS {
                    break;
                }
                router.balance -= if is_run { f64::from(cost) } else { 0.0 };
                router.waiting.pop_front();
                self.records.push(RunRecord { at: ms(now), cost, is_run });
            }
            if !router.waiting.is_empty() && router.write.is_none() {
                // A read and a conditional write.
                self.calls += 2;
                router.write = Some((now + 2 * STORE_MS, version));
            }
        }
    }

    fn call(&mut self, router: usize, cost: u32) {
        let (now, router) = (self.now_ms, &mut self.routers[router]);
        router.waiting.push_back((now, cost));
    }

    fn records(&self) -> &[RunRecord] {
        &self.records
    }

    fn traffic(&self) -> (u64, u64, u64) {
        (0, 0, self.calls)
    }
}

type PickRouter = fn(&mut StdRng, u64, usize) -> usize;

struct LoadCase {
    name: &'static str,
    /// Requested units, as a part of the limit.
    share: f64,
    pick: PickRouter,
}

const LOADS: [LoadCase; 5] = [
    LoadCase {
        name: "0.9, spread evenly",
        share: 0.9,
        pick: |rng, _, routers| rng.random_range(0..routers),
    },
    LoadCase { name: "0.9, all at one router", share: 0.9, pick: |_, _, _| 1 },
    LoadCase {
        name: "0.9, a third of the routers, another each second",
        share: 0.9,
        pick: |rng, at, routers| {
            let third = routers / 3;
            (at / 1_000 % 3) as usize * third + rng.random_range(0..third)
        },
    },
    LoadCase {
        name: "0.55, mostly at a few",
        share: 0.55,
        pick: |rng, _, routers| (routers as f64 * rng.random::<f64>().powi(4)) as usize,
    },
    LoadCase {
        name: "10, spread evenly",
        share: 10.0,
        pick: |rng, _, routers| rng.random_range(0..routers),
    },
];

/// Results of one strategy under one load.
struct StrategyStats {
    refused: f64,
    worst: f64,
    datagrams: f64,
    bytes: f64,
    store_calls: f64,
}

fn measure(strategy: &mut impl LimitStrategy, case: &LoadCase, routers: usize) -> StrategyStats {
    let mut rng = StdRng::seed_from_u64(9);
    let calls_per_ms = RATE * case.share / f64::from(COSTS.0 + COSTS.1) * 2.0 / 1_000.0;
    for at in 0..SECONDS * 1_000 {
        let mut expected = calls_per_ms;
        while expected > 0.0 {
            if rng.random_bool(expected.min(1.0)) {
                let router = (case.pick)(&mut rng, at, routers);
                strategy.call(router, rng.random_range(COSTS.0..=COSTS.1));
            }
            expected -= 1.0;
        }
        strategy.advance();
    }
    let limit = limit(RATE, RATE);
    let (datagrams, bytes, store_calls) = strategy.traffic();
    let per_second = |count: u64| count as f64 / SECONDS as f64;
    StrategyStats {
        refused: refused_share(strategy.records(), ms(0)),
        worst: worst_window(strategy.records(), TERMS.window) / max_units(&limit, &TERMS),
        datagrams: per_second(datagrams),
        bytes: per_second(bytes),
        store_calls: per_second(store_calls),
    }
}

fn print(strategy: &str, routers: usize, case: &LoadCase, stats: &StrategyStats) {
    println!(
        "| {strategy} | {routers} | {} | {:.1} | {:.2} | {:.0} | {:.1} | {:.1} |",
        case.name,
        stats.refused * 100.0,
        stats.worst,
        stats.datagrams,
        stats.bytes / 1_000.0,
        stats.store_calls
    );
}

/// A customer's calls arrive at many routers, unevenly, and at other ones each second. Guards against meters that
/// refuse calls below the limit, and against runs beyond limit and tolerance. Even shares prevent only the
/// latter; leases prevent the refusals too, but need calls to the store.
#[test]
fn slices_of_meters_serve_a_limit_best() {
    println!(
        "| way | routers | load | refused, % | worst window | datagrams/s | kB/s | store calls/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for routers in [21, 330] {
        for case in &LOADS {
            let limit = limit(RATE, RATE);
            let even = measure(&mut EvenStrategy::new(routers, limit), case, routers);
            let lease = measure(&mut LeaseStrategy::new(routers, limit), case, routers);
            let mut fleet = LimitFleet::new(routers, 6, limit, 9);
            (fleet.sent, fleet.bytes) = (0, 0);
            let meter = measure(&mut MeterStrategy(fleet), case, routers);
            for (name, stats) in [("even share", &even), ("leases", &lease), ("meters", &meter)] {
                print(name, routers, case, stats);
                assert!(stats.worst <= 1.0, "{name}, {}: {:.2}", case.name, stats.worst);
            }
            if case.share < 1.0 {
                assert!(meter.refused < 0.01, "{}: {:.4} refused", case.name, meter.refused);
                assert!(meter.refused <= even.refused + 0.001, "{}", case.name);
            }
        }
    }
}
