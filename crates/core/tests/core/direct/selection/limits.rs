//! Selection among targets of which some advertise a limit.

use super::{choose, need, sent_to, take_report};
use crate::direct::support::{DESK, ENGINES, adapter, model_call, ms, pool, report};
use plantain_core::direct::{
    membership::TargetIncarnation,
    placement::place_adapter,
    selection::TargetChoice,
    target_limit::{AdvertisedLimit, LimitUpdate},
    targets::TargetPool,
};

const ALL_ENGINES: [&str; 3] = ["e1", "e2", "e3"];

fn advertise_limit(pool: &mut TargetPool, id: &str, rate: f64) {
    let incarnation = TargetIncarnation::from(id);
    assert!(pool.record_limit(&incarnation, AdvertisedLimit::Limited(rate), ms(1), ms(2)));
}

/// Advertises a limit that admits no call until `until`.
fn saturate(pool: &mut TargetPool, id: &str, until: u64) {
    advertise_limit(pool, id, 3.9);
    pool.record_saturation(&id.into(), ms(until));
}

fn engines_with(adapters: &[&str]) -> TargetPool {
    let mut pool = pool();
    let held: Vec<(&str, u32)> = adapters.iter().map(|name| (*name, 1)).collect();
    for id in ALL_ENGINES {
        take_report(&mut pool, report(id, 1, &held), ms(0));
    }
    pool
}

/// Guards against calls that wait for a saturated target while others are free, or that wait when none is.
#[test]
fn a_saturated_target_is_left_out() {
    let mut pool = engines_with(&["h7"]);
    saturate(&mut pool, "d1", 500);
    assert_eq!(sent_to(&choose(&pool, DESK, None, 10)), Some("d2"));
    assert_eq!(sent_to(&choose(&pool, DESK, None, 600)), Some("d1"), "it admits calls again");
    saturate(&mut pool, "d2", 700);
    assert_eq!(choose(&pool, DESK, None, 10), TargetChoice::Nowhere);
    assert_eq!(pool.limit_retry_after(DESK, ms(10)), Some(ms(490)));
    assert_eq!(pool.limit_retry_after(DESK, ms(800)), None);
    // A call does not wait for saturated engines that hold the base model.
    let call = model_call(Some("h7"));
    for id in ALL_ENGINES {
        saturate(&mut pool, id, 500);
    }
    assert_eq!(choose(&pool, ENGINES, Some(&call), 10), TargetChoice::Nowhere);
}

/// Guards against a limit that outlives its target.
#[test]
fn a_limit_ends_with_its_targets_incarnation() {
    let mut pool = pool();
    saturate(&mut pool, "d1", 5_000);
    let mut entry = pool.target(&"d1".into()).expect("a target").entry.as_ref().clone();
    entry.incarnation.started = Some(7);
    let mut other = entry.clone();
    other.incarnation.started = Some(8);
    for entry in [entry, other] {
        let change = plantain_core::direct::membership::ListChange::Put(entry.into());
        pool.apply_changes(&[change], ms(20));
    }
    assert_eq!(sent_to(&choose(&pool, DESK, None, 30)), Some("d1"));
    assert!(!pool.has_limit_updates(ms(30)));
}

/// Guards against a limit that is forgotten while its target is missing from the list: an entry may lapse
/// although its target still runs.
#[test]
fn a_limit_outlasts_a_gap_in_the_list() {
    let mut pool = pool();
    let entries: Vec<_> = pool.entries().cloned().collect();
    advertise_limit(&mut pool, "d1", 3.9);
    pool.replace_list(entries[..3].to_vec(), ms(10));
    let updates = pool.limit_updates(ms(20));
    assert_eq!(updates.len(), 1, "its limit is still sent to others");
    pool.replace_list(entries.clone(), ms(30));
    assert!(pool.target(&"d1".into()).expect("a target").is_limited());
    pool.replace_list(entries[..3].to_vec(), ms(40));
    let end = LimitUpdate { rate: None, age_ms: 0, ..updates[0].clone() };
    pool.apply_limit_updates(&[end], ms(50));
    pool.replace_list(entries, ms(60));
    assert!(!pool.target(&"d1".into()).expect("a target").is_limited(), "it ended meanwhile");
}

/// Guards against loads and copies at a target that admits hardly any calls, and against moving all adapters
/// because of a limit that is never reached.
#[test]
fn adapters_are_placed_at_targets_that_are_not_saturated() {
    let mut pool = engines_with(&[]);
    let call = model_call(Some("h7"));
    let (service, zone) = (ENGINES.into(), "b".into());
    let preferred = |pool: &TargetPool, at| {
        let need = need(&service, &zone, Some(&call));
        let placement = place_adapter(pool, &need, &adapter("h7"), ms(at));
        [&placement.preferred[..], &placement.overflow[..1]].concat()
    };
    let usual = preferred(&pool, 10);
    advertise_limit(&mut pool, &usual[0].id, 500.0);
    assert_eq!(preferred(&pool, 10), usual, "its limit is not reached");
    pool.record_saturation(&usual[0], ms(100));
    assert!(!preferred(&pool, 200).contains(&usual[0]));
    let choice = choose(&pool, ENGINES, Some(&call), 200);
    assert!(
        matches!(&choice, TargetChoice::Load(incarnation, ..) if *incarnation != usual[0]),
        "{choice:?}"
    );
    assert_eq!(preferred(&pool, 60_000), usual, "it has not been saturated for a while");
    for id in ALL_ENGINES {
        pool.record_saturation(&id.into(), ms(100));
        pool.record_limit(&id.into(), AdvertisedLimit::Limited(3.9), ms(1), ms(3));
    }
    assert_eq!(preferred(&pool, 200), usual, "all are saturated");
}
