//! How what routers ask and tell grows with their number.

use super::zone::{DRAIN, RouterFault, Zone};

/// Routers of a zone in a fleet of five zones with 30, 300, 1,000 and 2,000 routers.
const ZONES: [usize; 4] = [6, 60, 200, 400];
/// Engines of the list for each router of a zone.
const ENGINES: usize = 2;

/// A zone that has found its watcher.
fn settled(routers: usize) -> Zone {
    let mut zone = Zone::new(routers, routers * ENGINES);
    zone.play(2 * DRAIN, 0);
    assert_eq!(zone.watchers().len(), 1, "{routers} routers");
    zone.reset_counts();
    zone
}

/// Guards against a start in which every router reads the store for itself: its calls, and what it is paid for
/// them, would grow with the routers, and all would meet its rates together.
#[test]
fn calls_of_the_store_at_a_start_do_not_grow_with_the_routers() {
    let calls = ZONES.map(|routers| {
        let mut zone = Zone::new(routers, routers * ENGINES);
        zone.play(DRAIN, 0);
        assert_eq!(zone.counts.recent_lists, routers, "one list that may be old for each");
        zone.counts.store_calls
    });
    assert!(calls.iter().all(|count| *count <= 2 * calls[0]), "{calls:?} calls for {ZONES:?}");
}

/// Guards against a watcher that tells each router of its zone: what it sends would grow with the routers times
/// the targets. Each router answers some square root of them, and is told no more hints in a larger fleet.
#[test]
fn what_the_busiest_router_tells_grows_with_the_root_of_the_zone() {
    let busiest = ZONES.map(|routers| {
        let mut zone = settled(routers);
        zone.play(4 * DRAIN, 0);
        let most = zone.counts.told_bytes.iter().copied().max().unwrap_or(0);
        (zone.counts.most_askers(), most)
    });
    let [_, small, middle, large] = busiest;
    assert!(large.0 <= 2 * 400_usize.isqrt(), "answered by one: {busiest:?}");
    assert!(large.1 * 2 <= middle.1 * 4, "bytes told by one: {busiest:?}");
    assert!(large.1 <= small.1 * 4, "bytes told by one: {busiest:?}");
}

struct LossCase {
    name: &'static str,
    fault: RouterFault,
}

/// Guards against a zone whose routers all turn to the store when their watcher fails, and against one that does not
/// notice: nobody may know less than the list was a drain time ago.
#[test]
fn a_failing_watcher_is_replaced_by_one_router() {
    let cases = [
        LossCase { name: "frozen", fault: RouterFault::Frozen },
        LossCase { name: "turned away by the store", fault: RouterFault::TurnedAway },
    ];
    for case in cases {
        let calls = ZONES.map(|routers| {
            let mut zone = settled(routers);
            let watcher = zone.watchers()[0];
            zone.set_fault(watcher, case.fault);
            let oldest = zone.play(2 * DRAIN, 0);
            assert!(oldest < DRAIN, "{}, {routers} routers: {oldest} ms old", case.name);
            zone.counts.store_calls
        });
        let most = calls[0] * 3;
        assert!(calls.iter().all(|count| *count <= most), "{}: {calls:?}", case.name);
    }
}

/// Guards against a relay that fails unnoticed: those behind it must find another, and need no call of the store.
#[test]
fn a_failing_relay_costs_no_call_of_the_store() {
    for routers in ZONES {
        let mut zone = settled(routers);
        zone.play(DRAIN, 0);
        let watcher = zone.watchers()[0];
        let relay = zone.counts.askers.keys().copied().find(|teller| *teller != watcher);
        let Some(relay) = relay else { continue };
        zone.set_fault(relay, RouterFault::Frozen);
        let oldest = zone.play(2 * DRAIN, 0);
        assert!(oldest < DRAIN, "{routers} routers: {oldest} ms old");
        assert_eq!(zone.watchers().len(), 1, "{routers} routers");
    }
}

/// Guards against an outage in which every router goes on asking whether the store is back. Each may find out once
/// that it is out.
#[test]
fn an_outage_costs_each_router_one_call_and_a_zone_ten_a_second() {
    const SECONDS: usize = 20;
    for routers in ZONES {
        let mut zone = settled(routers);
        zone.set_out(true);
        zone.play(1_000 * SECONDS as u64, 0);
        let calls = zone.counts.store_calls;
        assert!(calls <= routers + 10 * SECONDS, "{routers} routers: {calls} calls");
        zone.set_out(false);
        let oldest = zone.play(2 * DRAIN, DRAIN);
        assert!(oldest < DRAIN, "{routers} routers: {oldest} ms old after the return");
        assert_eq!(zone.watchers().len(), 1, "{routers} routers after the return");
    }
}
