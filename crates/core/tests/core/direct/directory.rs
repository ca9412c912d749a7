//! Presence of routers, as registered at loaders and reported to other routers.

use super::support::ms;
use plantain_core::{
    direct::{
        directory::{
            PresenceRegistry, RouterPresence, RouterTable, loaders_to_query, registry_targets,
        },
        membership::InstanceId,
        sharing::order::RelayOrder,
    },
    ids::ZoneName,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::HashMap, net::SocketAddr};

fn router(index: u16) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 9_000).into()
}

fn presence(zone: &str, index: u16, registers_here: bool) -> RouterPresence {
    RouterPresence {
        zone: zone.into(),
        address: router(index),
        registers_here,
        limit_updates: Vec::new(),
        claims: Vec::new(),
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

struct QueryCase {
    round: usize,
    turn: usize,
    expected: &'static [&'static str],
}

/// Guards against a router that counts too few others because it queried one loader of a zone and the answer was lost.
/// Later rounds must query one loader of a zone, or presences would cost twice as much.
#[test]
fn both_loaders_of_a_registry_are_queried_in_the_first_rounds() {
    let cases = [
        QueryCase { round: 0, turn: 0, expected: &["l1", "l2"] },
        QueryCase { round: 1, turn: 1, expected: &["l1", "l2"] },
        QueryCase { round: 2, turn: 8, expected: &["l1"] },
        QueryCase { round: 9, turn: 9, expected: &["l2"] },
    ];
    for QueryCase { round, turn, expected } in cases {
        assert_eq!(loaders_to_query(&["l1", "l2"], round, turn), expected, "round {round}");
    }
    for round in [0, 8] {
        assert!(loaders_to_query(&[0; 0], round, round).is_empty(), "no loader, round {round}");
        assert_eq!(loaders_to_query(&[5], round, round), [5], "one loader, round {round}");
    }
}

const ROUTERS: u16 = 40;
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn zone_of(index: u16) -> &'static str {
    ZONES[usize::from(index) % ZONES.len()]
}

/// Routers that send presences each second; a share of the datagrams is lost.
struct PresenceFleet {
    tables: Vec<RouterTable>,
    registries: HashMap<(&'static str, usize), PresenceRegistry>,
    rng: StdRng,
    loss: f64,
}

impl PresenceFleet {
    fn new(loss: f64, seed: u64) -> Self {
        Self {
            tables: (0..ROUTERS).map(|_| RouterTable::default()).collect(),
            registries: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
            loss,
        }
    }

    /// Each router sends the presences of one round.
    fn send_round(&mut self, round: usize) {
        for index in 0..ROUTERS {
            let zone = zone_of(index);
            let now = ms(round as u64 * 1_000 + u64::from(index) * 20);
            let others: Vec<ZoneName> =
                ZONES.iter().filter(|other| **other != zone).map(|other| (*other).into()).collect();
            let table = &self.tables[usize::from(index)];
            let queried = table.zones_to_query(&others, round, now);
            let queried: Vec<&str> = ZONES
                .into_iter()
                .filter(|zone| queried.iter().any(|other| other.as_ref() == *zone))
                .collect();
            for other in [zone].into_iter().chain(queried) {
                for loader in loaders_to_query(&[0, 1], round, round) {
                    let presence = presence(zone, index, other == zone);
                    if self.rng.random_bool(self.loss) {
                        continue;
                    }
                    let registry = self.registries.entry((other, *loader)).or_default();
                    let directory = registry.take(&presence, now);
                    if !self.rng.random_bool(self.loss) {
                        self.tables[usize::from(index)].note(&directory, now);
                    }
                }
            }
        }
    }

    fn smallest_count(&self, round: usize) -> usize {
        let now = ms(round as u64 * 1_000 + 999);
        let counts = (0..ROUTERS).zip(&self.tables);
        let counts =
            counts.map(|(index, table)| table.count(&zone_of(index).into(), router(index), now));
        counts.min().expect("at least one router")
    }
}

/// Guards against a share of a budget that is too large, because a router never learned the number of a zone: with
/// three of ten datagrams lost, half of all queries get no answer. Each router takes 0.7 of its share, so 28 of 40 is
/// the smallest count that does not overdraw.
#[test]
fn lost_answers_of_one_loader_leave_the_count_of_a_zone() {
    let mut failed = Vec::new();
    // Seeds 47 and 92 fail where one loader of each zone is queried.
    for seed in (40..50).chain(90..100) {
        let mut fleet = PresenceFleet::new(0.3, seed);
        for round in 0..14 {
            fleet.send_round(round);
            let count = fleet.smallest_count(round);
            if round >= 7 && count < 28 {
                failed.push((seed, round, count));
            }
        }
    }
    assert!(failed.is_empty(), "seed, round, smallest count: {failed:?}");
}
