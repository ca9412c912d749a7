//! What a host sends and knows must not grow with the fleet.

mod plan;
mod simulation;

use plan::{FleetCounts, FleetPlan};
use simulation::Fleet;

const SECOND: u64 = 1_000;

fn plan(routers: usize, engines: usize, seed: u64) -> FleetPlan {
    FleetPlan { routers, engines, calls_a_second: 10.0, adapters: engines, loss: 0.01, seed }
}

fn most(bytes: &[usize]) -> usize {
    bytes.iter().copied().max().unwrap_or(0)
}

fn mean(bytes: &[usize]) -> usize {
    bytes.iter().sum::<usize>() / bytes.len().max(1)
}

/// Plays two seconds to settle and three that count.
fn settled(plan: FleetPlan) -> FleetCounts {
    let mut fleet = Fleet::new(plan);
    fleet.play(2 * SECOND);
    fleet.reset_counts();
    fleet.play(5 * SECOND);
    fleet.counts
}

/// Calls a router stay the same while the fleet grows threefold. When every loader told every router of its
/// engine, and every router every loader, hosts sent three times as much, and at 300 of them more than callers
/// did, and had little processor time left for calls.
#[test]
fn what_a_host_sends_does_not_grow_with_the_fleet() {
    let small = settled(plan(50, 50, 1));
    let large = settled(plan(150, 150, 1));
    let router = (mean(&small.bytes_of_routers), mean(&large.bytes_of_routers));
    assert!(router.1 * 10 < router.0 * 12, "bytes of a router in three seconds: {router:?}");
    let loader = (mean(&small.bytes_of_loaders), mean(&large.bytes_of_loaders));
    assert!(loader.1 * 10 < loader.0 * 12, "bytes of a loader in three seconds: {loader:?}");
    // One at which the routers of a zone meet: 30 here, ten in the small fleet.
    let busiest = (most(&small.bytes_of_loaders), most(&large.bytes_of_loaders));
    assert!(busiest.1 < 3 * 19_000, "busiest loader, three seconds: {busiest:?}");
}

/// A router knows an engine only while it has calls there, so it asks before it sends. That must cost a
/// call a few milliseconds, and hardly ever send it where its adapter has been evicted.
#[test]
fn asking_first_finds_adapters_and_costs_little_time() {
    let counts = settled(plan(40, 40, 2));
    assert!(counts.sent * 100 > counts.calls * 95, "{counts:?}");
    assert!(counts.refused * 500 < counts.sent, "{} of {}", counts.refused, counts.sent);
    let lossless = settled(FleetPlan { loss: 0.0, ..plan(40, 40, 2) });
    assert!(lossless.refused * 500 < lossless.sent, "{} of {}", lossless.refused, lossless.sent);
    assert!(lossless.longest_ask_ms <= 60, "{} ms before a send", lossless.longest_ask_ms);
}

/// All processes of 150 routers and 150 loaders are killed and start again. Callers see nothing but
/// refusals for as long as routers know no engine: they must serve within a second.
#[test]
fn routers_that_start_cold_serve_within_a_second() {
    let mut fleet = Fleet::new(plan(150, 150, 3));
    fleet.play(3 * SECOND);
    fleet.kill_all();
    fleet.reset_counts();
    fleet.play(4 * SECOND);
    let first = fleet.counts.first_sent_ms;
    assert!(first.is_some_and(|first| first < 200), "first call sent after {first:?} ms");
    assert!(fleet.counts.sent * 10 > fleet.counts.calls * 8, "{:?}", fleet.counts);
    fleet.play(8 * SECOND);
    let counts = fleet.router_counts();
    assert!(counts.iter().all(|count| (147..=150).contains(count)), "{counts:?}");
}

/// Three datagrams of ten are lost, so that half of all answers do not come. Routers that lost sight of each
/// other would take too much of the budget that they share.
#[test]
fn routers_know_their_number_although_datagrams_are_lost() {
    for seed in 10..12 {
        let mut fleet = Fleet::new(FleetPlan { loss: 0.3, ..plan(40, 20, seed) });
        fleet.play(8 * SECOND);
        for second in 8..14 {
            fleet.play(second * SECOND);
            let counts = fleet.router_counts();
            // Each router takes 0.7 of its share, so that a number from 28 on overdraws nothing.
            assert!(counts.iter().all(|count| *count >= 28), "seed {seed}: {counts:?}");
        }
    }
}

/// A loader ends for good, its engine lives on. Calls must not wait for its answers, nor be lost.
#[test]
fn calls_go_on_without_one_loader() {
    let mut fleet = Fleet::new(FleetPlan { loss: 0.0, ..plan(20, 10, 4) });
    fleet.play(3 * SECOND);
    fleet.kill_loader(4);
    fleet.reset_counts();
    fleet.play(10 * SECOND);
    assert!(fleet.counts.sent * 100 > fleet.counts.calls * 95, "{:?}", fleet.counts);
}
