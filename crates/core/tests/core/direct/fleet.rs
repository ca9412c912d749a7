//! The traffic and state of one host must not grow with the fleet.

mod plan;
mod simulation;

use plan::{FleetCounts, FleetPlan};
use simulation::Fleet;

const SECOND: u64 = 1_000;

fn plan(routers: usize, engines: usize, seed: u64) -> FleetPlan {
    FleetPlan { routers, engines, calls_per_second: 10.0, adapters: engines, loss: 0.01, seed }
}

fn maximum(bytes: &[usize]) -> usize {
    bytes.iter().copied().max().unwrap_or(0)
}

fn mean(bytes: &[usize]) -> usize {
    bytes.iter().sum::<usize>() / bytes.len().max(1)
}

/// Simulates two seconds in which the fleet settles, and three more in which traffic and calls are counted.
fn settled(plan: FleetPlan) -> FleetCounts {
    let mut fleet = Fleet::new(plan);
    fleet.simulate(2 * SECOND);
    fleet.reset_counts();
    fleet.simulate(5 * SECOND);
    fleet.counts
}

/// The fleet grows threefold with the same calls per router. When every loader sent its report to every router,
/// and every router its notices to every loader, hosts sent three times as much; 300 of them sent more than
/// callers did, and had little CPU time left for calls.
#[test]
fn traffic_of_a_host_does_not_grow_with_the_fleet() {
    let small = settled(plan(50, 50, 1));
    let large = settled(plan(150, 150, 1));
    let router = (mean(&small.bytes_of_routers), mean(&large.bytes_of_routers));
    assert!(router.1 * 10 < router.0 * 12, "bytes of a router in three seconds: {router:?}");
    let loader = (mean(&small.bytes_of_loaders), mean(&large.bytes_of_loaders));
    assert!(loader.1 * 10 < loader.0 * 12, "bytes of a loader in three seconds: {loader:?}");
    // The busiest loader is one at which the routers of a zone register: 30 here, ten in the small fleet.
    let busiest = (maximum(&small.bytes_of_loaders), maximum(&large.bytes_of_loaders));
    assert!(busiest.1 < 3 * 19_000, "busiest loader, three seconds: {busiest:?}");
}

/// A router has an engine's state only while it has calls there, so it requests a report before it sends. This must
/// delay a call by only a few milliseconds, and calls must hardly ever reach an engine that has evicted their
/// adapter.
#[test]
fn report_requests_find_adapters_and_cost_little_time() {
    let counts = settled(plan(40, 40, 2));
    assert!(counts.sent * 100 > counts.calls * 95, "{counts:?}");
    assert!(counts.refused * 500 < counts.sent, "{} of {}", counts.refused, counts.sent);
    let lossless = settled(FleetPlan { loss: 0.0, ..plan(40, 40, 2) });
    assert!(lossless.refused * 500 < lossless.sent, "{} of {}", lossless.refused, lossless.sent);
    assert!(lossless.max_report_wait_ms <= 60, "{} ms before a send", lossless.max_report_wait_ms);
}

/// All processes of 150 routers and 150 loaders are killed and restart. Calls are refused until routers know an
/// engine: they must serve within a second.
#[test]
fn routers_that_start_cold_serve_within_a_second() {
    let mut fleet = Fleet::new(plan(150, 150, 3));
    fleet.simulate(3 * SECOND);
    fleet.kill_all();
    fleet.reset_counts();
    fleet.simulate(4 * SECOND);
    let first = fleet.counts.first_sent_ms;
    assert!(first.is_some_and(|first| first < 200), "first call sent after {first:?} ms");
    assert!(fleet.counts.sent * 10 > fleet.counts.calls * 8, "{:?}", fleet.counts);
    fleet.simulate(8 * SECOND);
    let counts = fleet.router_counts();
    assert!(counts.iter().all(|count| (147..=150).contains(count)), "{counts:?}");
}

/// Three of ten datagrams are lost, so that half of all requests get no answer. Routers that count too few
/// others would take too much of the shared budget.
#[test]
fn routers_know_their_number_although_datagrams_are_lost() {
    for seed in 10..12 {
        let mut fleet = Fleet::new(FleetPlan { loss: 0.3, ..plan(40, 20, seed) });
        fleet.simulate(8 * SECOND);
        for second in 8..14 {
            fleet.simulate(second * SECOND);
            let counts = fleet.router_counts();
            // Each router takes 0.7 of its share, so that a count of 28 or more does not overdraw the budget.
            assert!(counts.iter().all(|count| *count >= 28), "seed {seed}: {counts:?}");
        }
    }
}

/// A loader crashes and does not restart, while its engine still runs. Calls must not wait for its answers, nor be
/// lost.
#[test]
fn calls_are_served_without_one_loader() {
    let mut fleet = Fleet::new(FleetPlan { loss: 0.0, ..plan(20, 10, 4) });
    fleet.simulate(3 * SECOND);
    fleet.kill_loader(4);
    fleet.reset_counts();
    fleet.simulate(10 * SECOND);
    assert!(fleet.counts.sent * 100 > fleet.counts.calls * 95, "{:?}", fleet.counts);
}
