//! Presence of routers, as registered at loaders and reported to other routers.

use super::support::ms;
use plantain_core::{
    direct::{
        directory::{PresenceRegistry, RouterPresence, RouterTable, registry_targets},
        membership::InstanceId,
        sharing::order::RelayOrder,
    },
    ids::ZoneName,
};
use std::net::SocketAddr;

fn router(index: u16) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 9_000).into()
}

fn presence(zone: &str, index: u16, registers_here: bool) -> RouterPresence {
    RouterPresence {
        zone: zone.into(),
        address: router(index),
        registers_here,
        limit_updates: Vec::new(),
    }
}

struct RegistryCase {
    name: &'static str,
    zone: &'static str,
    engines: &'static [(&'static str, &'static str)],
    /// Zones of the selected engines.
    selected: &'static [&'static str],
}

#[test]
fn routers_register_in_their_zone_if_it_has_engines() {
    let cases = [
        RegistryCase {
            name: "two of the own zone",
            zone: "a",
            engines: &[("e1", "a"), ("e2", "b"), ("e3", "a"), ("e4", "a"), ("e5", "b")],
            selected: &["a", "a"],
        },
        RegistryCase {
            name: "one of the own zone, and one elsewhere",
            zone: "a",
            engines: &[("e1", "b"), ("e2", "a"), ("e3", "b")],
            selected: &["a", "b"],
        },
        RegistryCase {
            name: "a zone without engines",
            zone: "c",
            engines: &[("e1", "a"), ("e2", "a"), ("e3", "a")],
            selected: &["a", "a"],
        },
        RegistryCase { name: "no engine at all", zone: "a", engines: &[], selected: &[] },
    ];
    for case in cases {
        let engines: Vec<(InstanceId, ZoneName)> =
            case.engines.iter().map(|(id, zone)| ((*id).into(), (*zone).into())).collect();
        let selected = registry_targets(case.zone, engines.iter().map(|(id, zone)| (id, zone)));
        let backwards = engines.iter().rev().map(|(id, zone)| (id, zone));
        assert_eq!(selected, registry_targets(case.zone, backwards), "{}: any order", case.name);
        let zone_of = |id: &InstanceId| {
            let found = engines.iter().find(|(own, _)| own == id);
            found.map(|(_, zone)| zone.to_string())
        };
        let zones: Vec<String> = selected.iter().filter_map(zone_of).collect();
        assert_eq!(zones, case.selected, "{}", case.name);
    }
}

/// Guards against a start at which many routers read the store: their reads would share the store's bandwidth, and
/// all would get their targets late. Each router knows only those that registered before it.
#[test]
fn few_routers_of_a_zone_read_the_store_at_a_start() {
    for routers in [6, 60, 200, 400] {
        let mut registry = PresenceRegistry::default();
        let reads = |index: &u16| {
            let listed =
                registry.take(&presence("a", *index, true), ms(u64::from(*index))).same_zone;
            RelayOrder::new(listed).bootstrap_upstream(router(*index)).is_none()
        };
        let readers = (0..routers).filter(reads).count() as u32;
        let most = 3 * u32::from(routers).ilog2() + 2;
        assert!((1..=most).contains(&readers), "{readers} of {routers} read");
    }
}

/// A zone has more routers than one answer lists. All of them must still agree on the watcher of the store, and
/// count all routers.
#[test]
fn many_routers_of_a_zone_agree_on_their_watcher_and_number() {
    let mut registry = PresenceRegistry::default();
    let zone: ZoneName = "a".into();
    for index in 0..60 {
        registry.take(&presence("a", index, true), ms(u64::from(index)));
    }
    let expected = RelayOrder::new((0..60).map(router)).routers().next().expect("a router");
    for index in 0..60 {
        let mut peer_table = RouterTable::default();
        peer_table.note(&registry.take(&presence("a", index, true), ms(100)), ms(100));
        let own = router(index);
        let order = peer_table.view(&zone, own, ms(100)).same_zone;
        assert_eq!(order.routers().next(), Some(expected), "router {index}");
        assert_eq!(order.upstream(own, |_| true).is_none(), own == expected, "router {index}");
        assert_eq!(peer_table.count(&zone, own, ms(100)), 60, "router {index}");
    }
}

/// Three of a zone's twelve routers crash at once. The others must not count them forever.
#[test]
fn crashed_routers_are_not_counted_for_long() {
    let mut registry = PresenceRegistry::default();
    let mut peer_table = RouterTable::default();
    let zone: ZoneName = "a".into();
    for second in 0..20 {
        let now = ms(second * 1_000);
        for index in 0..if second < 5 { 12 } else { 9 } {
            let directory = registry.take(&presence("a", index, true), now);
            peer_table.note(&directory, now);
        }
        let count = peer_table.count(&zone, router(0), now);
        match second {
            0..9 => assert_eq!(count, 12, "second {second}"),
            15.. => assert_eq!(count, 9, "second {second}"),
            _ => {}
        }
    }
}

/// Routers of other zones send their presence to a loader only to query the number of its zone's routers. If the
/// loader counted them too, each router would count several times.
#[test]
fn a_zone_is_counted_where_its_routers_register() {
    let mut registry = PresenceRegistry::default();
    for index in 0..5 {
        registry.take(&presence("a", index, true), ms(0));
    }
    let directory = registry.take(&presence("b", 50, false), ms(10));
    assert_eq!(directory.counts, [("a".into(), 5)]);
    assert_eq!(directory.same_zone, [router(50)]);
    assert_eq!(directory.other_zones.len(), 4, "to query while zone b cannot reach the store");
}

/// A zone is cut off. Its routers must still count in the shares of a common budget for a while, since they
/// keep using the budget, but not forever.
#[test]
fn routers_of_a_partitioned_zone_count_for_a_while() {
    let mut there = PresenceRegistry::default();
    let mut here = PresenceRegistry::default();
    let mut peer_table = RouterTable::default();
    let zone: ZoneName = "a".into();
    for index in 10..17 {
        there.take(&presence("b", index, true), ms(0));
    }
    peer_table.note(&there.take(&presence("a", 1, false), ms(0)), ms(0));
    for second in 0..40 {
        let now = ms(second * 1_000);
        peer_table.note(&here.take(&presence("a", 1, true), now), now);
        let count = peer_table.count(&zone, router(1), now);
        assert_eq!(count, if second < 20 { 8 } else { 1 }, "second {second}");
    }
}

/// Loaders learn of a change at different times, so their answers differ. The highest count must apply: with too
/// low a count each router would take too much of a shared budget.
#[test]
fn the_highest_recent_count_applies() {
    let mut full = PresenceRegistry::default();
    let mut fresh = PresenceRegistry::default();
    for index in 0..10 {
        full.take(&presence("a", index, true), ms(0));
    }
    let own = presence("a", 0, true);
    let mut peer_table = RouterTable::default();
    peer_table.note(&full.take(&own, ms(10)), ms(10));
    peer_table.note(&fresh.take(&own, ms(20)), ms(20));
    assert_eq!(peer_table.count(&"a".into(), router(0), ms(20)), 10);
}

/// Routers of a fleet that has just started must learn the numbers of all zones soon, but must not query all zones
/// each second later on. After a lost answer a router must query that zone again in its next round, not only when
/// that zone comes next in rotation.
#[test]
fn zones_without_a_number_are_queried_each_round() {
    let mut there = PresenceRegistry::default();
    let mut peer_table = RouterTable::default();
    let zones: Vec<ZoneName> = vec!["b".into(), "c".into(), "d".into()];
    for zone in ["b", "d"] {
        let directory = there.take(&presence(zone, 5, true), ms(0));
        peer_table.note(&directory, ms(0));
    }
    assert_eq!(peer_table.zones_to_query(&zones, 0, ms(1_000)), zones.iter().collect::<Vec<_>>());
    assert_eq!(peer_table.zones_to_query(&zones, 9, ms(9_000)), [&zones[0], &zones[1]]);
    assert_eq!(peer_table.zones_to_query(&zones, 10, ms(10_000)), [&zones[1]]);
    assert!(peer_table.zones_to_query(&[], 10, ms(10_000)).is_empty());
}

/// Guards against a router that counts itself as the only one because no loader has sent it others yet.
#[test]
fn a_router_that_knows_no_others_expects_the_largest_fleet() {
    let mut peer_table = RouterTable::default();
    let (started, later) = (ms(1_000), ms(10_000));
    assert!(peer_table.max_routers(1, started, later) >= 330, "nothing was read");
    peer_table.note_listed();
    assert!(peer_table.max_routers(1, started, ms(1_500)) >= 330, "others have just started too");
    assert_eq!(peer_table.max_routers(1, started, later), 1);
    for name in ["a", "b", "a"] {
        peer_table.note_report(&name.into(), later);
    }
    assert_eq!(peer_table.max_routers(1, started, later), 3);
    assert_eq!(peer_table.max_routers(7, started, later), 7, "loaders know more");
    // No router can renew its report while the store is out.
    peer_table.set_lost(true, later);
    peer_table.expire(ms(100_000_000));
    assert_eq!(peer_table.max_routers(1, started, ms(100_000_000)), 3);
    peer_table.set_lost(false, ms(100_000_000));
    peer_table.expire(ms(100_000_001));
    assert_eq!(peer_table.max_routers(1, started, ms(100_000_001)), 3);
    peer_table.expire(ms(200_000_000));
    assert_eq!(peer_table.max_routers(1, started, ms(200_000_000)), 1, "reports have expired");
}
