//! Which versions a service has had.

use super::super::support::{ENGINES, config, ms, route, target};
use plantain_core::direct::{
    config::{CallKind, RouteConfig},
    membership::{ListChange, TargetEntry},
    streams::{
        claims::{ClaimTable, INHERIT_LIMIT},
        history::SETTLE_TIME,
        messages::RouteClaim,
    },
    targets::TargetPool,
};
use std::{sync::Arc, time::Duration};

/// Twice the time limit of the route.
const WINDOW: Duration = Duration::from_secs(10);
const STREAM: CallKind = CallKind::Stream { resumable: true };

fn streams(number: u64, shares: &[(&str, u32)]) -> Arc<RouteConfig> {
    Arc::new(config(number, vec![route("/s/", STREAM, shares)]))
}

fn engine(id: &str, port: u16, software: Option<&str>) -> Arc<TargetEntry> {
    let software = software.map(Into::into);
    Arc::new(TargetEntry { software, ..target(id, ENGINES, "a", port) })
}

fn put(pool: &mut TargetPool, entry: &Arc<TargetEntry>, now: Duration) {
    pool.apply_changes(&[ListChange::Put(Arc::clone(entry))], now);
}

/// Lets time pass, with the observations that a router makes.
fn pass(pool: &mut TargetPool, now: &mut Duration, time: Duration) {
    let end = *now + time;
    while *now < end {
        *now += ms(200);
        pool.expire(*now);
    }
}

/// A router that has followed a list with one version for the whole window.
fn settled_pool(now: &mut Duration) -> TargetPool {
    let mut pool = TargetPool::new();
    pool.take_config(streams(1, &[(ENGINES, 1)]));
    pool.replace_list(vec![engine("e1", 1, Some("v1")), engine("e2", 2, Some("v1"))], *now);
    pass(&mut pool, now, WINDOW + ms(400));
    pool
}

fn only(pool: &TargetPool, now: Duration) -> Option<String> {
    let route = pool.config().routes().next().expect("a route");
    pool.only_software(route, now).map(|(_, software)| software.to_string())
}

struct HistoryCase {
    name: &'static str,
    event: fn(&mut TargetPool, &mut Duration),
}

/// Guards against a router that takes a version for the only one although it cannot know what it missed.
#[test]
fn one_version_is_certain_only_after_a_window_without_a_gap() {
    let cases = [
        HistoryCase {
            name: "another version comes and goes",
            event: |pool, now| {
                put(pool, &engine("e3", 3, Some("v2")), *now);
                pass(pool, now, ms(400));
                pool.apply_changes(&[ListChange::Removed("e3".into())], *now);
            },
        },
        HistoryCase {
            name: "an entry without a version",
            event: |pool, now| {
                put(pool, &engine("e3", 3, None), *now);
                pool.apply_changes(&[ListChange::Removed("e3".into())], *now);
            },
        },
        HistoryCase {
            name: "an outage of the store",
            event: |pool, now| {
                pool.note_outage();
                pass(pool, now, ms(1_000));
                pool.note_contact(*now);
            },
        },
        HistoryCase {
            name: "a return of the store from a copy",
            event: |pool, now| pool.note_return(*now),
        },
        HistoryCase {
            name: "a full list",
            event: |pool, now| {
                let list = vec![engine("e1", 1, Some("v1")), engine("e2", 2, Some("v1"))];
                pool.replace_list(list, *now);
            },
        },
        HistoryCase { name: "a suspension of the process", event: |_, now| *now += ms(3_000) },
        HistoryCase {
            name: "the route moves to another service and back",
            event: |pool, _| {
                for (number, service) in [(2, "other"), (3, ENGINES)] {
                    pool.take_config(streams(number, &[(service, 1)]));
                }
            },
        },
    ];
    for case in cases {
        let mut now = ms(0);
        let mut pool = settled_pool(&mut now);
        assert_eq!(only(&pool, now).as_deref(), Some("v1"), "{}", case.name);
        (case.event)(&mut pool, &mut now);
        assert_eq!(only(&pool, now), None, "{}", case.name);
        pass(&mut pool, &mut now, WINDOW.saturating_sub(ms(400)));
        assert_eq!(only(&pool, now), None, "{}", case.name);
        pass(&mut pool, &mut now, ms(2_000));
        assert_eq!(only(&pool, now).as_deref(), Some("v1"), "{}", case.name);
    }
}

/// Guards against a router that is certain at its start, and against certainty about a route with two services.
#[test]
fn nothing_is_certain_at_the_start_or_of_a_split_route() {
    let mut pool = TargetPool::new();
    let mut now = ms(0);
    pass(&mut pool, &mut now, WINDOW * 2);
    pool.take_config(streams(1, &[(ENGINES, 1)]));
    pool.replace_list(vec![engine("e1", 1, Some("v1"))], now);
    assert_eq!(only(&pool, now), None);
    let mut pool = settled_pool(&mut now);
    pool.take_config(streams(2, &[(ENGINES, 1), ("other", 1)]));
    pass(&mut pool, &mut now, WINDOW * 2);
    assert_eq!(only(&pool, now), None);
}

/// Guards against streams that begin at a version of which other routers may not know yet.
#[test]
fn a_new_version_settles_after_a_while_and_the_oldest_at_once() {
    let mut now = ms(0);
    let mut pool = TargetPool::new();
    pool.replace_list(vec![engine("e2", 2, Some("v2")), engine("e1", 1, Some("v1"))], now);
    let is_settled = |pool: &TargetPool, id: &str, now| {
        pool.has_settled_software(pool.target(&id.into()).expect("a target"), now)
    };
    assert!(is_settled(&pool, "e1", now) && !is_settled(&pool, "e2", now));
    pass(&mut pool, &mut now, SETTLE_TIME.saturating_sub(ms(200)));
    assert!(!is_settled(&pool, "e2", now));
    pass(&mut pool, &mut now, ms(200));
    assert!(is_settled(&pool, "e2", now));
    put(&mut pool, &engine("e3", 3, Some("v3")), now);
    put(&mut pool, &engine("e4", 4, None), now);
    assert!(!is_settled(&pool, "e3", now) && !is_settled(&pool, "e4", now));
}

/// Lets time pass for a router and a loader that gets its claims each second; returns the loader's copy.
fn claim_while(
    pool: &mut TargetPool,
    table: &mut ClaimTable,
    now: &mut Duration,
    time: Duration,
) -> Vec<RouteClaim> {
    let end = *now + time;
    while *now < end {
        pass(pool, now, ms(1_000));
        table.take(&pool.route_claims(*now), *now);
    }
    table.list(*now)
}

/// A router that has just started with the list of these versions.
fn started_pool(software: &[&str], now: Duration) -> TargetPool {
    let mut pool = TargetPool::new();
    pool.take_config(streams(1, &[(ENGINES, 1)]));
    let entries = software
        .iter()
        .enumerate()
        .map(|(index, software)| engine(&format!("e{index}"), 1 + index as u16, Some(software)));
    pool.replace_list(entries.collect(), now);
    pool
}

/// Guards against short claims of routers that start together, which hide what was claimed before.
#[test]
fn claims_of_started_routers_do_not_end_earlier_ones() {
    let mut now = ms(0);
    let mut other = settled_pool(&mut now);
    let mut table = ClaimTable::default();
    claim_while(&mut other, &mut table, &mut now, ms(2_000));
    let (start, later) = (ms(100), ms(400));
    let mut pools = [(); 2].map(|()| started_pool(&["v1"], start));
    now += ms(800);
    for pool in &mut pools {
        pool.expire(later);
        table.take(&pool.route_claims(later), now);
        pool.inherit_claims(&table.list(now), later);
        assert_eq!(only(pool, later).as_deref(), Some("v1"));
    }
    // Once they have taken it over, they claim it in turn.
    let claims = pools[0].route_claims(later);
    assert!(claims.iter().all(|claim| claim.single_ms >= 10_000), "{claims:?}");
}

struct ClaimCase {
    name: &'static str,
    /// What happens at the other router before this one starts.
    before: fn(&mut TargetPool, &mut Duration),
    /// Time from the other router's last claim to the start of this one.
    pause: Duration,
    /// Versions in the list of the router that starts.
    listed: &'static [&'static str],
    is_certain: bool,
}

/// Guards against resumptions that a restarted router refuses although others have followed the list all the time, and
/// against a claim that does not reach up to its start.
#[test]
fn a_started_router_takes_over_what_others_are_certain_of() {
    let nothing: fn(&mut TargetPool, &mut Duration) = |_, _| {};
    let cases = [
        ClaimCase {
            name: "one version",
            before: nothing,
            pause: ms(500),
            listed: &["v1", "v1"],
            is_certain: true,
        },
        ClaimCase {
            name: "a long pause",
            before: nothing,
            pause: INHERIT_LIMIT + ms(200),
            listed: &["v1", "v1"],
            is_certain: false,
        },
        ClaimCase {
            name: "another version at the start",
            before: nothing,
            pause: ms(500),
            listed: &["v2"],
            is_certain: false,
        },
        ClaimCase {
            name: "two versions at the start",
            before: nothing,
            pause: ms(500),
            listed: &["v1", "v2"],
            is_certain: false,
        },
        ClaimCase {
            name: "another version was there",
            before: |pool, now| {
                put(pool, &engine("e3", 3, Some("v2")), *now);
                pass(pool, now, ms(400));
                pool.apply_changes(&[ListChange::Removed("e3".into())], *now);
            },
            pause: ms(500),
            listed: &["v1", "v1"],
            is_certain: false,
        },
        ClaimCase {
            name: "the route had another service",
            before: |pool, _| {
                pool.take_config(streams(2, &[("other", 1)]));
                pool.take_config(streams(3, &[(ENGINES, 1)]));
            },
            pause: ms(500),
            listed: &["v1", "v1"],
            is_certain: false,
        },
    ];
    for case in cases {
        let mut now = ms(0);
        let mut other = settled_pool(&mut now);
        let mut table = ClaimTable::default();
        claim_while(&mut other, &mut table, &mut now, ms(2_000));
        (case.before)(&mut other, &mut now);
        claim_while(&mut other, &mut table, &mut now, ms(1_000));
        // The clock of a process begins with it.
        let (start, later) = (ms(100), ms(400));
        let mut pool = started_pool(case.listed, start);
        assert_eq!(only(&pool, start), None, "{}", case.name);
        pool.inherit_claims(&table.list(now + case.pause + later.saturating_sub(start)), later);
        let certain = only(&pool, later);
        assert_eq!(certain.is_some(), case.is_certain, "{}", case.name);
    }
}

/// Guards against a router that takes its own claim from before a gap for one about the time of the gap.
#[test]
fn an_outage_ends_what_was_claimed_before_it() {
    let mut now = ms(0);
    let mut pool = settled_pool(&mut now);
    let mut table = ClaimTable::default();
    claim_while(&mut pool, &mut table, &mut now, ms(2_000));
    pool.note_outage();
    let claims = claim_while(&mut pool, &mut table, &mut now, INHERIT_LIMIT + ms(1_000));
    pool.note_contact(now);
    pool.expire(now);
    pool.inherit_claims(&claims, now);
    assert_eq!(only(&pool, now), None);
}

/// Guards against a claim of a router that does not know the version which another router has already.
#[test]
fn routers_that_differ_leave_a_route_uncertain() {
    let mut now = ms(0);
    let (mut stale, mut current) = (settled_pool(&mut now), settled_pool(&mut ms(0)));
    put(&mut current, &engine("e3", 3, Some("v2")), now);
    let mut table = ClaimTable::default();
    for claims in [current.route_claims(now), stale.route_claims(now)] {
        table.take(&claims, now);
        table.list(now);
    }
    pass(&mut stale, &mut now, ms(1_000));
    table.take(&stale.route_claims(now), now);
    let mut pool = started_pool(&["v1"], ms(100));
    pool.inherit_claims(&table.list(now), ms(100));
    assert_eq!(only(&pool, ms(100)), None);
}
