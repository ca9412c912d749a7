//! Tests of the entry's choice of a target.

use plantain_core::{
    entry::{EntryOptions, EntryState, RouteQuery, ZoneRoundTrips},
    ids::AdapterKey,
    outcome::{Refusal, RefusalReason},
    policy::RoutingPolicy,
    protocol::{TargetReport, WorkItem},
    rendezvous,
    target::{TargetKind, TargetRecord},
};
use std::{collections::BTreeMap, time::Duration};

const NOW: Duration = Duration::from_secs(1);

fn target(index: usize, zone: &str, region: &str) -> TargetRecord {
    TargetRecord {
        name: format!("scribe-{index}").into(),
        kind: TargetKind::Engine("scribe".into()),
        peer: format!("127.0.0.1:{}", 5_000 + index).parse().expect("an address"),
        epoch: 1,
        region: region.into(),
        zone: zone.into(),
        leaving: false,
    }
}

fn entry(zone: &str, targets: Vec<TargetRecord>) -> EntryState<RoutingPolicy> {
    let mut state = EntryState::new(EntryOptions {
        region: "central".into(),
        zone: zone.into(),
        round_trips: ZoneRoundTrips::default(),
        policy: RoutingPolicy::Cost,
    });
    state.set_targets(targets);
    state
}

fn work(index: usize) -> WorkItem {
    let key = AdapterKey::new(format!("house-{index}"), 1);
    WorkItem::Completion { key, base: "scribe".into() }
}

fn choose(state: &mut EntryState<RoutingPolicy>, work: &WorkItem, draw: u64) -> String {
    let query = RouteQuery { work, excluded: &[], draw };
    state.choose(&query, NOW).expect("a target").target.to_string()
}

fn report(residents: Vec<u64>, occupied: u32) -> TargetReport {
    TargetReport {
        residency: 7,
        residents: Some(residents),
        running: occupied,
        batch_limit: 8,
        load_wait: Duration::from_millis(500),
        service_time: Duration::from_millis(200),
        ..TargetReport::default()
    }
}

/// Entries in different zones send a rare adapter's requests to the same target without exchanging
/// messages: one load instead of three.
#[test]
fn entries_agree_on_the_target_of_a_rare_adapter() {
    let zones = ["kandy", "nuwara", "hatton"];
    let targets: Vec<_> = (0..12).map(|i| target(i, zones[i % 3], "central")).collect();
    for adapter in 0..50 {
        let chosen: Vec<String> = zones
            .iter()
            .map(|zone| choose(&mut entry(zone, targets.clone()), &work(adapter), 9))
            .collect();
        assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]), "{adapter}: {chosen:?}");
    }
}

#[test]
fn adapters_spread_over_all_targets() {
    let mut state = entry("kandy", (0..12).map(|i| target(i, "kandy", "central")).collect());
    let mut counts = BTreeMap::new();
    for adapter in 0..1_200 {
        *counts.entry(choose(&mut state, &work(adapter), 0)).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|&count| (50..=170).contains(&count)), "{counts:?}");
}

/// Removing one target moves only the adapters that preferred it.
#[test]
fn few_adapters_move_when_a_target_is_removed() {
    let names: Vec<String> = (0..12).map(|i| format!("scribe-{i}")).collect();
    let first = |key, count: usize| {
        let nodes = names.iter().take(count).enumerate().map(|(i, name)| (i, name.as_str()));
        rendezvous::first_choices(key, nodes, 1)[0]
    };
    let moved = (0..1_000).filter(|&key| first(key, 12) != 11 && first(key, 12) != first(key, 11));
    assert_eq!(moved.count(), 0);
}

/// A target that holds the adapter is chosen although it is not the first choice by hash, unless its
/// queue costs more than a load at another target.
#[test]
fn resident_copy_is_used_until_its_queue_costs_more_than_a_load() {
    let targets: Vec<_> = (0..6).map(|i| target(i, "kandy", "central")).collect();
    let WorkItem::Completion { key, .. } = work(1) else { unreachable!() };
    let mut state = entry("kandy", targets.clone());
    let first = choose(&mut state, &work(1), 0);
    let holder = targets.iter().find(|t| *t.name != *first).expect("another").name.clone();
    for t in &targets {
        state.apply_report(&t.name, report(vec![], 0));
    }
    state.apply_report(&holder, report(vec![key.digest()], 2));
    assert_eq!(choose(&mut state, &work(1), 0), *holder);
    state.apply_report(&holder, report(vec![key.digest()], 80));
    assert_ne!(choose(&mut state, &work(1), 0), *holder);
}

#[test]
fn other_region_is_used_only_when_no_own_target_is_open() {
    let mut state =
        entry("kandy", vec![target(0, "kandy", "central"), target(1, "galle", "south")]);
    for adapter in 0..20 {
        assert_eq!(choose(&mut state, &work(adapter), 3), "scribe-0");
    }
    state.offer_failed(&"scribe-0".into(), NOW);
    assert_eq!(choose(&mut state, &work(1), 3), "scribe-1");
}

/// A request never leaves its region while a target there is open, even if the hash ranks targets of
/// other regions first.
#[test]
fn requests_stay_in_their_region_while_a_target_there_is_open() {
    let targets = (0..18).map(|i| target(i, "kandy", ["central", "south", "east"][i % 3]));
    let mut state = entry("kandy", targets.collect());
    for adapter in 0..100 {
        let chosen = choose(&mut state, &work(adapter), 5);
        let index: usize = chosen.trim_start_matches("scribe-").parse().expect("a number");
        assert_eq!(index % 3, 0, "house-{adapter} went to {chosen}");
    }
}

/// A target that refused an offer because it drains gets no more offers, even if the platform's list does not
/// show it as draining yet. A target that failed gets offers again after a pause, at first only one.
#[test]
fn draining_target_stays_excluded_and_failed_one_reopens() {
    let records: Vec<_> = (0..2).map(|i| target(i, "kandy", "central")).collect();
    let mut state = entry("kandy", records.clone());
    let leaving = Refusal::new(RefusalReason::Leaving);
    state.offer_refused(&"scribe-0".into(), &leaving, NOW);
    state.set_targets(records);
    for adapter in 0..20 {
        assert_eq!(choose(&mut state, &work(adapter), 1), "scribe-1");
        state.offer_answered(&"scribe-1".into());
    }
    state.offer_failed(&"scribe-1".into(), NOW);
    let item = work(1);
    let query = RouteQuery { work: &item, excluded: &[], draw: 0 };
    let proof = state.choose(&query, NOW).expect_err("no target is open");
    let pause = proof.retry_after().expect("a retry_after");
    assert!(state.choose(&query, NOW + pause).is_ok());
    assert!(state.choose(&query, NOW + pause).is_err(), "only one request probes it");
    state.offer_answered(&"scribe-1".into());
    assert!(state.choose(&query, NOW + pause).is_ok());
}

/// An agent that has just started refuses a few offers because it does not know its target yet, and no other
/// agent is left. After the pause, requests must not be refused while a single one probes the agent: the
/// agent is reachable, and it refuses them at once if its target is still down.
#[test]
fn a_target_that_was_down_is_open_to_all_again() {
    for reason in [RefusalReason::TargetDown, RefusalReason::NoLease] {
        let mut state = entry("kandy", vec![target(0, "kandy", "central")]);
        state.offer_refused(&"scribe-0".into(), &Refusal::new(reason), NOW);
        let item = work(1);
        let query = RouteQuery { work: &item, excluded: &[], draw: 0 };
        let proof = state.choose(&query, NOW).expect_err("no target is open");
        let pause = proof.retry_after().expect("a retry_after");
        assert!(state.choose(&query, NOW + pause).is_ok());
        assert!(state.choose(&query, NOW + pause).is_ok(), "{reason:?}: the second one too");
    }
}

#[test]
fn stale_or_missing_reports_are_tolerated() {
    let mut state = entry("kandy", vec![target(0, "kandy", "central")]);
    state.apply_report(&"nowhere".into(), report(vec![1], 0));
    let unseen = TargetReport { residency: 99, residents: None, ..TargetReport::default() };
    state.apply_report(&"scribe-0".into(), unseen);
    let item = work(1);
    let query = RouteQuery { work: &item, excluded: &[], draw: 0 };
    let choice = state.choose(&query, NOW).expect("a target");
    assert_eq!(choice.known_residency, 0, "a set that was not received must be requested again");
}

#[test]
fn few_targets_share_adapters_evenly() {
    let targets: Vec<_> = (0..3).map(|i| target(i, "kandy", "central")).collect();
    let mut state = entry("kandy", targets);
    let mut counts = BTreeMap::new();
    for adapter in 0..3_000 {
        *counts.entry(choose(&mut state, &work(adapter), 0)).or_insert(0) += 1;
    }
    assert!(counts.values().all(|&count| (900..=1_100).contains(&count)), "{counts:?}");
}

/// Only one of three targets has reported so far, and it loads fast. The others must not look worse
/// because they have not reported: requests for an adapter go to the adapter's first choice by hash.
#[test]
fn targets_that_have_not_reported_are_not_avoided() {
    let mut counts = BTreeMap::new();
    for adapter in 0..300 {
        let targets: Vec<_> = (0..3).map(|i| target(i, "kandy", "central")).collect();
        let mut state = entry("kandy", targets);
        // The first report holds the agent's initial estimate, from before its first load.
        for load_ms in [800, 70] {
            let load_wait = Duration::from_millis(load_ms);
            let sent = TargetReport { load_wait, ..report(vec![], 0) };
            state.apply_report(&"scribe-0".into(), sent);
        }
        *counts.entry(choose(&mut state, &work(adapter), 0)).or_insert(0) += 1;
    }
    assert!(counts.len() == 3 && counts.values().all(|&count| count > 60), "{counts:?}");
}
