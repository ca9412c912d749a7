//! How queries and bytes between routers grow with their number.

use super::zone::{DRAIN, RouterFault, Zone};

/// Routers of a zone in a fleet of five zones with 30, 300, 1,000 and 2,000 routers.
const ZONES: [usize; 4] = [6, 60, 200, 400];
/// Engines in the list for each router of a zone.
const ENGINES: usize = 2;

/// A zone that has found its watcher.
fn settled(routers: usize) -> Zone {
    let mut zone = Zone::new(routers, routers * ENGINES);
    zone.simulate(2 * DRAIN, 0);
    assert_eq!(zone.watchers().len(), 1, "{routers} routers");
    zone.reset_counts();
    zone
}

/// Guards against a start at which every router watches the store: its calls, and their cost, would grow with
/// the routers, and all would hit its rate limits together.
#[test]
fn calls_to_the_store_at_a_start_do_not_grow_with_the_routers() {
    let calls = ZONES.map(|routers| {
        let mut zone = Zone::new(routers, routers * ENGINES);
        zone.simulate(DRAIN, 0);
        assert_eq!(
            zone.counts.recent_lists, routers,
            "one list call that allows a stale answer for each"
        );
        zone.counts.store_calls
    });
    assert!(calls.iter().all(|count| *count <= 2 * calls[0]), "{calls:?} calls for {ZONES:?}");
}

/// Guards against a watcher that sends to every router of its zone: its bytes would grow with routers times targets.
/// Each router may answer only about the square root of the zone's routers, and gets no more hints in a larger fleet.
#[test]
fn bytes_of_the_busiest_router_grow_with_the_root_of_the_zone() {
    let busiest = ZONES.map(|routers| {
        let mut zone = settled(routers);
        zone.simulate(4 * DRAIN, 0);
        let most = zone.counts.sent_bytes.iter().copied().max().unwrap_or(0);
        (zone.counts.max_clients(), most)
    });
    let [_, small, middle, large] = busiest;
    assert!(large.0 <= 2 * 400_usize.isqrt(), "answered by one: {busiest:?}");
    assert!(large.1 * 2 <= middle.1 * 4, "bytes sent by one: {busiest:?}");
    assert!(large.1 <= small.1 * 4, "bytes sent by one: {busiest:?}");
}

struct LossCase {
    name: &'static str,
    fault: RouterFault,
}

/// Guards against a zone whose routers all switch to the store when their watcher fails, and against one that
/// does not detect the failure: no router's list may be older than the drain time.
#[test]
fn a_failing_watcher_is_replaced_by_one_router() {
    let cases = [
        LossCase { name: "frozen", fault: RouterFault::Frozen },
        LossCase { name: "refused by the store", fault: RouterFault::Refused },
    ];
    for case in cases {
        let calls = ZONES.map(|routers| {
            let mut zone = settled(routers);
            let watcher = zone.watchers()[0];
            zone.set_fault(watcher, case.fault);
            let max_age = zone.simulate(2 * DRAIN, 0);
            assert!(max_age < DRAIN, "{}, {routers} routers: {max_age} ms old", case.name);
            zone.counts.store_calls
        });
        let most = calls[0] * 3;
        assert!(calls.iter().all(|count| *count <= most), "{}: {calls:?}", case.name);
    }
}

/// Guards against a relay whose failure is not detected: the routers that query it must find another one, without
/// calls to the store.
#[test]
fn a_failing_relay_causes_no_call_to_the_store() {
    for routers in ZONES {
        let mut zone = settled(routers);
        zone.simulate(DRAIN, 0);
        let watcher = zone.watchers()[0];
        let relay = zone.counts.clients.keys().copied().find(|upstream| *upstream != watcher);
        let Some(relay) = relay else { continue };
        zone.set_fault(relay, RouterFault::Frozen);
        let max_age = zone.simulate(2 * DRAIN, 0);
        assert!(max_age < DRAIN, "{routers} routers: {max_age} ms old");
        assert_eq!(zone.watchers().len(), 1, "{routers} routers");
    }
}

/// Guards against an outage in which every router keeps probing the store. Each may detect the outage by one
/// call.
#[test]
fn an_outage_costs_each_router_one_call_and_a_zone_ten_a_second() {
    const SECONDS: usize = 20;
    for routers in ZONES {
        let mut zone = settled(routers);
        zone.set_outage(true);
        zone.simulate(1_000 * SECONDS as u64, 0);
        let calls = zone.counts.store_calls;
        assert!(calls <= routers + 10 * SECONDS, "{routers} routers: {calls} calls");
        zone.set_outage(false);
        let max_age = zone.simulate(2 * DRAIN, DRAIN);
        assert!(max_age < DRAIN, "{routers} routers: {max_age} ms old after the return");
        assert_eq!(zone.watchers().len(), 1, "{routers} routers after the return");
    }
}

/// Guards against a return of the store after which every router lists the store again: calls may grow with the zones,
/// not with the routers of a zone.
#[test]
fn calls_to_the_store_after_a_return_do_not_grow_with_the_routers() {
    /// Routers of a zone in a fleet of five zones with 30, 100 and 300 routers.
    const ZONES: [usize; 3] = [6, 20, 60];
    for away in [0, 600, 2_000] {
        let calls = ZONES.map(|routers| {
            let mut zone = settled(routers);
            zone.set_outage(away > 0);
            zone.simulate(away, 0);
            zone.set_outage(false);
            zone.return_from_copy(routers);
            zone.reset_counts();
            zone.simulate(2 * DRAIN, 0);
            assert!(zone.has_returned(), "{routers} routers, {away} ms away");
            zone.counts.store_calls + zone.counts.lists
        });
        println!("{away} ms away: {calls:?} calls for {ZONES:?}");
        assert!(calls[2] <= 2 * calls[0], "{away} ms away: {calls:?} calls for {ZONES:?}");
    }
}
