//! Target selection.

mod costs;
mod limits;
mod overflow;

use super::support::{
    BASE, DESK, ENGINES, adapter, config, model_call, ms, need, pool, report, target,
};
use plantain_core::direct::{
    call::{AdapterRelease, ModelCall},
    health::CallOutcome,
    membership::{ListChange, TargetEntry, TargetIncarnation},
    messages::LoaderReport,
    placement::place_adapter,
    selection::{CallNeed, TargetChoice, choose_target, queued_plain_ms},
    targets::TargetPool,
};
use std::{sync::Arc, time::Duration};

/// Applies a report as if it came from the host of its target.
fn take_report(pool: &mut TargetPool, report: LoaderReport, now: Duration) -> bool {
    let host = pool.target(&report.incarnation).map(|target| target.entry.address.ip());
    pool.take_report(host.expect("a known target"), report, now)
}

fn choose(pool: &TargetPool, service: &str, model: Option<&ModelCall>, at: u64) -> TargetChoice {
    choose_without(pool, service, model, at, &[])
}

fn choose_without(
    pool: &TargetPool,
    service: &str,
    model: Option<&ModelCall>,
    at: u64,
    excluded: &[TargetIncarnation],
) -> TargetChoice {
    let (service, zone) = (service.into(), "a".into());
    let need = CallNeed { excluded, ..need(&service, &zone, model) };
    choose_target(pool, &need, ms(at), || 0.5)
}

fn sent_to(choice: &TargetChoice) -> Option<&str> {
    match choice {
        TargetChoice::Send(incarnation, _) => Some(&incarnation.id),
        _ => None,
    }
}

#[test]
fn a_plain_call_stays_in_its_zone_until_that_costs_time() {
    let mut pool = pool();
    assert_eq!(sent_to(&choose(&pool, DESK, None, 0)), Some("d1"));
    pool.call_started(&"d1".into(), None, 0);
    assert_eq!(sent_to(&choose(&pool, DESK, None, 0)), Some("d2"));
    pool.call_ended(&"d1".into(), 0);
    assert_eq!(sent_to(&choose(&pool, DESK, None, 0)), Some("d1"));
}

/// A target fails part of its calls while its health check passes. Callers see failures until its calls go
/// to other targets; after it recovers it must get calls again.
#[test]
fn a_failing_target_is_avoided_and_comes_back() {
    let mut pool = pool();
    for at in 0..6 {
        pool.record_outcome(&"d1".into(), CallOutcome::Failed, ms(at * 50));
    }
    assert_eq!(sent_to(&choose(&pool, DESK, None, 300)), Some("d2"));
    assert_eq!(sent_to(&choose(&pool, DESK, None, 20_000)), Some("d1"));
}

/// Guards against calls that go on to an engine on a host that stands still: its loader does not answer, and no byte comes
/// from the engine. One whose loader alone has ended still gets calls.
#[test]
fn an_engine_on_a_silent_host_is_avoided() {
    let mut pool = pool();
    for (id, adapters) in [("e1", &[][..]), ("e2", &[]), ("e3", &[("h7", 1)])] {
        take_report(&mut pool, report(id, 1, adapters), ms(0));
    }
    let call = model_call(Some("h7"));
    let goes_to = |pool: &TargetPool, at| match choose(pool, ENGINES, Some(&call), at) {
        TargetChoice::Send(id, _) | TargetChoice::Load(id, _, _) => id.id,
        other => panic!("{other:?}"),
    };
    let e3: TargetIncarnation = "e3".into();
    assert!(pool.request_report(&e3, ms(1_000)));
    assert_eq!(&*goes_to(&pool, 1_100), "e3", "its loader may still answer");
    for at in [1_150, 1_400, 3_100, 9_000] {
        assert_ne!(&*goes_to(&pool, at), "e3", "at {at} ms");
    }
    assert_eq!(pool.take_due_probes(ms(1_200)).len(), 1, "its engine is probed");
    assert!(pool.take_due_probes(ms(1_300)).is_empty(), "not twice in a row");
    assert_eq!(pool.take_due_probes(ms(1_700)).len(), 1, "once more");
    pool.note_heard(&e3, ms(1_740));
    assert_eq!(&*goes_to(&pool, 1_750), "e3", "its engine answers without its loader");
    assert!(pool.take_due_probes(ms(9_000)).is_empty());
    assert!(pool.request_report(&e3, ms(10_000)));
    assert_ne!(&*goes_to(&pool, 10_200), "e3");
    take_report(&mut pool, report("e3", 2, &[("h7", 1)]), ms(10_300));
    assert_eq!(&*goes_to(&pool, 10_310), "e3", "its loader answers again");
    let request = |pool: &mut TargetPool, id: &str, at| {
        pool.request_report_if_unheard(&id.into(), ms(200), ms(at))
    };
    assert!(!request(&mut pool, "e3", 10_400), "heard 100 ms ago");
    assert!(request(&mut pool, "e3", 10_500));
    assert!(!request(&mut pool, "d1", 10_500), "a plain service has no loader");
}

/// Guards against sums of tokens that overflow: callers may state any number.
#[test]
fn excessive_token_counts_do_not_overflow() {
    let mut pool = pool();
    take_report(&mut pool, report("e1", 1, &[("h7", 1)]), ms(0));
    let call = ModelCall { tokens_in: u32::MAX, tokens_out: u32::MAX, ..model_call(Some("h7")) };
    let e1: TargetIncarnation = "e1".into();
    for _ in 0..2 {
        pool.call_started(&e1, Some(&adapter("h7")), u32::MAX);
    }
    choose(&pool, ENGINES, Some(&call), 10);
    let target = pool.target_mut(&e1).expect("a target");
    assert_eq!(target.prefill_tokens, u32::MAX);
    assert_eq!(target.take_uses()[0].started_tokens, u32::MAX);
}

/// Guards against a fleet without a target because the hosts of all of them are silent: a call still goes to one.
#[test]
fn silent_hosts_are_used_if_there_is_no_other() {
    let mut pool = pool();
    for id in ["e1", "e2", "e3"] {
        take_report(&mut pool, report(id, 1, &[("h7", 1)]), ms(0));
        assert!(pool.request_report(&id.into(), ms(100)));
    }
    let call = model_call(Some("h7"));
    assert!(sent_to(&choose(&pool, ENGINES, Some(&call), 400)).is_some());
}

#[test]
fn a_resident_adapter_is_used_wherever_it_is() {
    let mut pool = pool();
    for (id, adapters) in [("e1", &[][..]), ("e2", &[]), ("e3", &[("h7", 1)])] {
        take_report(&mut pool, report(id, 1, adapters), ms(0));
    }
    let call = model_call(Some("h7"));
    let choice = choose(&pool, ENGINES, Some(&call), 10);
    assert_eq!(choice, TargetChoice::Send("e3".into(), Some(1)));
}

/// Two routers get calls for an adapter that no engine holds. Without exchanging messages they must request
/// it at the same engine, or it is loaded twice.
#[test]
fn a_missing_adapter_is_loaded_at_its_preferred_target() {
    let mut pool = pool();
    for id in ["e1", "e2", "e3"] {
        take_report(&mut pool, report(id, 1, &[]), ms(0));
    }
    let call = model_call(Some("h7"));
    let (service, zone) = (ENGINES.into(), "b".into());
    let need = need(&service, &zone, Some(&call));
    let preferred = place_adapter(&pool, &need, &adapter("h7"), ms(10)).preferred;
    let choice = choose(&pool, ENGINES, Some(&call), 10);
    assert_eq!(choice, TargetChoice::Load(preferred[0].clone(), adapter("h7"), 1));
}

/// Every adapter at the preferred engine is in use, and calls already wait there for slots. One more call
/// would wait for runs to end, up to 1.5 s; the next engine in the order has free slots.
#[test]
fn a_load_goes_to_an_engine_with_a_free_slot() {
    let mut pool = pool();
    for id in ["e1", "e2", "e3"] {
        take_report(&mut pool, report(id, 1, &[]), ms(0));
    }
    let call = model_call(Some("h7"));
    let loads_at = |pool: &TargetPool| match choose(pool, ENGINES, Some(&call), 10) {
        TargetChoice::Load(id, _, _) => id,
        other => panic!("{other:?}"),
    };
    let first = loads_at(&pool);
    let short = LoaderReport { free_slots: 0, ..report(&first.id, 2, &[]) };
    take_report(&mut pool, short, ms(1));
    assert_eq!(loads_at(&pool), first, "a slot becomes free soon");
    let saturated = LoaderReport { free_slots: -3, ..report(&first.id, 3, &[]) };
    take_report(&mut pool, saturated, ms(2));
    assert_ne!(loads_at(&pool), first);
}

/// The preferred engine's loader has ended, so a load there would never be ordered and the call would wait
/// until its deadline. The engine is skipped once its loader leaves a report request unanswered.
#[test]
fn an_engine_with_a_silent_loader_gets_no_load_request() {
    let mut pool = pool();
    let call = model_call(Some("h7"));
    let loads_at = |pool: &TargetPool, at| match choose(pool, ENGINES, Some(&call), at) {
        TargetChoice::Load(id, _, _) => id,
        other => panic!("{other:?}"),
    };
    for id in ["e1", "e2", "e3"] {
        take_report(&mut pool, report(id, 1, &[]), ms(0));
    }
    let first = loads_at(&pool, 10);
    pool.request_report(&first, ms(3_000));
    assert_eq!(loads_at(&pool, 3_010), first, "an answer may be in transit");
    assert_ne!(loads_at(&pool, 3_160), first);
    take_report(&mut pool, report(&first.id, 2, &[]), ms(3_200));
    assert_eq!(loads_at(&pool, 3_210), first, "it has answered after all");
}

/// A call waits for a load that has begun, and at each new choice another target is slightly cheaper. A call
/// that moved each time would have its adapter loaded at one engine after another and be served by none.
#[test]
fn a_call_stays_where_its_load_has_begun() {
    let mut pool = pool();
    for id in ["e1", "e2", "e3"] {
        take_report(&mut pool, report(id, 1, &[]), ms(0));
    }
    let call = model_call(Some("h7"));
    let TargetChoice::Load(first, _, _) = choose(&pool, ENGINES, Some(&call), 10) else {
        panic!("a load")
    };
    pool.call_started(&first, None, 9_000);
    let (service, zone) = (ENGINES.into(), "a".into());
    let need = CallNeed { waiting_at: Some(&first), ..need(&service, &zone, Some(&call)) };
    let choice = choose_target(&pool, &need, ms(20), || 0.5);
    assert_eq!(choice, TargetChoice::Load(first.clone(), adapter("h7"), 1));
    assert_ne!(choose(&pool, ENGINES, Some(&call), 20), choice, "a new call goes elsewhere");
    let saturated = LoaderReport { free_slots: -5, queue_ms: 900, ..report(&first.id, 2, &[]) };
    take_report(&mut pool, saturated, ms(20));
    let choice = choose_target(&pool, &need, ms(20), || 0.5);
    assert_eq!(
        choice,
        TargetChoice::Load(first, adapter("h7"), 1),
        "it is in the queue for a slot"
    );
}

/// An engine crashed and restarted at its address, and the list still shows the earlier incarnation. The
/// loader reports the new one, so no call may be sent to the old one, which would be refused.
#[test]
fn a_report_of_another_incarnation_ends_the_old_one() {
    let mut pool = pool();
    let host = pool.target(&"e2".into()).expect("a target").entry.address.ip();
    pool.take_report(host, report("e9", 1, &[]), ms(0));
    assert!(pool.target(&"e2".into()).expect("a target").has_ended());
    assert!(!pool.target(&"e1".into()).expect("a target").has_ended());
    assert!(!pool.target(&"d1".into()).expect("a target").has_ended());
}

fn incarnation(id: &str, started: u64) -> TargetIncarnation {
    TargetIncarnation { id: id.into(), started: Some(started) }
}

fn listed_incarnation(id: &str, started: u64) -> Arc<TargetEntry> {
    Arc::new(TargetEntry { incarnation: incarnation(id, started), ..target(id, ENGINES, "b", 2) })
}

/// An engine restarts under the same id with its clock set back. State from calls to the earlier incarnation
/// must not apply to the new one: it would look busy and failing forever, and seem to hold adapters that it
/// no longer has.
#[test]
fn an_incarnation_under_the_same_id_has_no_earlier_state() {
    let mut pool = pool();
    let (first, second) = (incarnation("e2", 9_000), incarnation("e2", 4_000));
    pool.replace_list(vec![listed_incarnation("e2", 9_000)], ms(0));
    let held = LoaderReport { incarnation: first.clone(), ..report("e2", 1, &[("h7", 1)]) };
    take_report(&mut pool, held, ms(10));
    pool.call_started(&first, Some(&adapter("h7")), 600);
    pool.record_outcome(&first, CallOutcome::Failed, ms(20));
    pool.apply_changes(&[ListChange::Put(listed_incarnation("e2", 4_000))], ms(30));
    assert!(pool.target(&first).is_none());
    let target = pool.target(&second).expect("the later incarnation");
    assert_eq!((target.in_flight, target.prefill_tokens), (0, 0));
    assert!(target.health.failure_share(ms(30)) < 0.001 && target.loader.is_none());
    pool.call_started(&second, None, 100);
    pool.call_ended(&first, 600);
    let target = pool.target(&second).expect("the later incarnation");
    assert_eq!((target.in_flight, target.prefill_tokens), (1, 100), "its own call still runs");
}

/// The list lags: it shows an engine's earlier incarnation after the loader has reported the next one under
/// the same id. Calls for adapters of the earlier incarnation would all be refused.
#[test]
fn a_report_of_a_later_incarnation_under_the_same_id_ends_the_old_one() {
    let mut pool = pool();
    pool.replace_list(vec![listed_incarnation("e2", 1_000)], ms(0));
    let host = listed_incarnation("e2", 1_000).address.ip();
    let report = LoaderReport { incarnation: incarnation("e2", 2_000), ..report("e2", 1, &[]) };
    assert!(!pool.take_report(host, report.clone(), ms(10)));
    assert!(pool.target(&incarnation("e2", 1_000)).expect("a target").has_ended());
    pool.apply_changes(&[ListChange::Put(listed_incarnation("e2", 2_000))], ms(20));
    assert!(!pool.target(&incarnation("e2", 2_000)).expect("a target").has_ended());
    assert!(pool.take_report(host, report, ms(30)));
}

/// Another program writes an entry with a target's address and a service that is not configured. The target
/// must not count as ended.
#[test]
fn an_entry_of_an_unknown_service_ends_no_target() {
    let mut pool = pool();
    let foreign = TargetEntry { generation: 99, ..target("x1", "unheard-of", "a", 4) };
    pool.apply_changes(&[ListChange::Put(Arc::new(foreign))], ms(0));
    assert_eq!(sent_to(&choose(&pool, DESK, None, 0)), Some("d1"));
}

/// A target crashed and another started at its address before the list dropped the first. A router that starts then
/// reads both, ordered by name: it must use the later incarnation in either order, or all its calls are refused. If a
/// late update makes the ended incarnation the later entry, the first refused call corrects that.
#[test]
fn the_later_incarnation_at_an_address_is_taken_in_any_order() {
    let listed = |id: &str, generation: u64| {
        Arc::new(TargetEntry { generation, ..target(id, DESK, "a", 9) })
    };
    for order in [[("d3", 15), ("d9", 17)], [("d9", 17), ("d3", 15)]] {
        let mut pool = pool();
        pool.replace_list(order.iter().map(|(id, at)| listed(id, *at)).collect(), ms(0));
        assert_eq!(sent_to(&choose(&pool, DESK, None, 0)), Some("d9"));
        pool.note_displaced(&"d9".into());
        assert_eq!(sent_to(&choose(&pool, DESK, None, 0)), Some("d3"));
    }
}

/// All engines crashed and restarted empty, and their loaders load the base model again within a second.
/// Calls must wait for it instead of being refused, unless the loaders are silent too.
#[test]
fn calls_wait_for_engines_that_have_just_started() {
    let mut pool = pool();
    let empty = |id: &str| LoaderReport { holdings: Vec::new(), ..report(id, 1, &[]) };
    let bare = |id: &str, port| {
        let entry = TargetEntry { holdings: Vec::new(), ..target(id, ENGINES, "a", port) };
        Arc::new(entry)
    };
    pool.replace_list(vec![bare("e1", 1), bare("e2", 2)], ms(0));
    let call = model_call(Some("h7"));
    for id in ["e1", "e2"] {
        pool.request_report(&id.into(), ms(0));
    }
    assert_eq!(choose(&pool, ENGINES, Some(&call), 10), TargetChoice::AwaitBase, "may answer yet");
    assert_eq!(choose(&pool, ENGINES, Some(&call), 160), TargetChoice::Nowhere, "none answered");
    take_report(&mut pool, empty("e2"), ms(170));
    assert_eq!(choose(&pool, ENGINES, Some(&call), 180), TargetChoice::AwaitBase);
}

/// Answers of a plain service take long. That is a reason to refuse calls only if calls queue for slots.
#[test]
fn long_answers_count_as_a_queue_only_where_slots_are_taken() {
    let mut pool = pool();
    let (service, zone) = (DESK.into(), "a".into());
    for id in ["d1", "d2"] {
        for at in 0..40 {
            pool.record_latency(&id.into(), ms(140), ms(at * 20));
        }
    }
    let need = need(&service, &zone, None);
    pool.record_concurrency(&service);
    assert!(queued_plain_ms(&pool, &need, ms(800)) < 0.001);
    for call in 0..100 {
        if call < 10 {
            pool.call_started(&"d1".into(), None, 0);
        }
        pool.record_concurrency(&service);
    }
    assert!(queued_plain_ms(&pool, &need, ms(800)) > 100.0, "20 calls at 16 slots");
}

/// A target that answers as another incarnation than the one addressed must get no more calls for the old one.
#[test]
fn a_displaced_target_gets_no_calls() {
    let mut pool = pool();
    pool.note_displaced(&"d1".into());
    assert_eq!(sent_to(&choose(&pool, DESK, None, 0)), Some("d2"));
}

/// Guards against an engine that gets no calls for good because a report of its earlier incarnation came after its own.
#[test]
fn a_late_report_of_an_earlier_incarnation_excludes_no_engine_for_good() {
    let mut pool = pool();
    let e1: TargetIncarnation = "e1".into();
    take_report(&mut pool, report("e1", 1, &[]), ms(0));
    let host = pool.target(&e1).expect("a target").entry.address.ip();
    pool.take_report(host, report("earlier", 9, &[]), ms(10));
    take_report(&mut pool, report("e1", 2, &[]), ms(200));
    assert!(!pool.target(&e1).expect("a target").has_ended(), "its loader reports it");
}

struct UnusableCase {
    name: &'static str,
    make_unusable: fn(&mut TargetPool),
}

#[test]
fn unusable_targets_get_no_calls() {
    let cases = [
        UnusableCase {
            name: "draining by the list",
            make_unusable: |pool| {
                let entry = TargetEntry { is_draining: true, ..target("d1", DESK, "a", 4) };
                pool.apply_changes(&[ListChange::Put(Arc::new(entry))], ms(0));
            },
        },
        UnusableCase {
            name: "gone from the list",
            make_unusable: |pool| pool.apply_changes(&[ListChange::Removed("d1".into())], ms(0)),
        },
        UnusableCase {
            name: "draining by its loader",
            make_unusable: |pool| {
                let draining = LoaderReport { is_draining: true, ..report("d1", 1, &[]) };
                take_report(pool, draining, ms(0));
            },
        },
        UnusableCase {
            name: "unresponsive by its loader",
            make_unusable: |pool| {
                let unresponsive = LoaderReport { is_answering: false, ..report("d1", 1, &[]) };
                take_report(pool, unresponsive, ms(0));
            },
        },
    ];
    for case in cases {
        let mut pool = pool();
        (case.make_unusable)(&mut pool);
        assert_eq!(sent_to(&choose(&pool, DESK, None, 10)), Some("d2"), "{}", case.name);
        let alone = choose_without(&pool, DESK, None, 10, &["d2".into()]);
        assert_eq!(alone, TargetChoice::Nowhere, "{}", case.name);
    }
}

/// A new version was announced while engines still hold the old one. A call must run on the new version, so
/// it waits for the load.
#[test]
fn an_old_version_is_replaced_before_it_is_used() {
    let mut pool = pool();
    for id in ["e1", "e2", "e3"] {
        take_report(&mut pool, report(id, 1, &[("h7", 1)]), ms(0));
    }
    pool.take_release(AdapterRelease { adapter: adapter("h7"), version: 2 });
    let call = model_call(Some("h7"));
    assert!(matches!(choose(&pool, ENGINES, Some(&call), 10), TargetChoice::Load(_, _, 2)));
    take_report(&mut pool, report("e2", 2, &[("h7", 2)]), ms(20));
    let choice = choose(&pool, ENGINES, Some(&call), 30);
    assert_eq!(choice, TargetChoice::Send("e2".into(), Some(2)));
    pool.take_release(AdapterRelease { adapter: adapter("h7"), version: 1 });
    assert_eq!(pool.newest_version(&adapter("h7")), 2, "versions never fall");
}

/// A router reads an old configuration from a peer that lags; it must keep the newer one that it has.
#[test]
fn older_configurations_are_dropped() {
    let mut pool = pool();
    assert!(pool.take_config(Arc::new(config(9, Vec::new()))));
    assert!(!pool.take_config(Arc::new(config(4, Vec::new()))));
    assert!(!pool.take_config(Arc::new(config(9, Vec::new()))));
    assert_eq!(pool.config().number, 9);
}

#[test]
fn adapters_in_demand_get_more_copies() {
    let mut pool = pool();
    let (service, zone) = (ENGINES.into(), "a".into());
    let call = model_call(Some("h7"));
    let need = need(&service, &zone, Some(&call));
    let copies = |pool: &TargetPool, name, at| {
        place_adapter(pool, &need, &adapter(name), ms(at)).preferred.len()
    };
    assert_eq!(copies(&pool, "h7", 0), 1);
    for call in 0..400 {
        pool.record_demand(&adapter("h7"), ms(call * 10));
    }
    assert_eq!(copies(&pool, "h7", 4_000), 3, "all engines");
    assert_eq!(copies(&pool, "h8", 4_000), 1);
}

/// Reports are datagrams and may be duplicated or reordered: an old one would bring back adapters that were
/// evicted since.
#[test]
fn an_older_report_is_dropped() {
    let mut pool = pool();
    assert!(take_report(&mut pool, report("e1", 5, &[("h7", 1)]), ms(0)));
    assert!(!take_report(&mut pool, report("e1", 4, &[]), ms(10)));
    assert!(!take_report(&mut pool, report("e1", 5, &[]), ms(10)));
    let held =
        pool.target(&"e1".into()).and_then(|target| target.held_version(&adapter("h7"), ms(20)));
    assert_eq!(held, Some(1));
    let restarted = LoaderReport { boot: 2, ..report("e1", 1, &[]) };
    assert!(take_report(&mut pool, restarted, ms(30)), "a restarted loader counts from one");
    assert_eq!(
        pool.config().services[ENGINES].engine.as_ref().map(|e| &*e.bases[0].name),
        Some(BASE)
    );
}
