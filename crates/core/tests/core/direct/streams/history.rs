//! Which versions a service has had.

use super::super::support::{ENGINES, config, ms, route, target};
use plantain_core::direct::{
    config::{CallKind, RouteConfig},
    membership::{ListChange, TargetEntry},
    streams::history::SETTLE_TIME,
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
