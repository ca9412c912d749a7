//! The cost of moving away from an adapter's preferred engine against that of waiting there, and when a
//! router requests a report first.

use super::{
    super::support::{ENGINES, adapter, model_call, ms, pool, report},
    choose, need, take_report,
};
use plantain_core::direct::{
    call::ModelCall,
    membership::TargetIncarnation,
    messages::LoaderReport,
    selection::{CallNeed, TargetChoice, choose_target},
    targets::TargetPool,
};

/// The engine at which the router has the call's adapter loaded.
fn loaded_at(pool: &TargetPool, call: &ModelCall) -> TargetIncarnation {
    match choose(pool, ENGINES, Some(call), 10) {
        TargetChoice::Load(incarnation, _, _) => incarnation,
        other => panic!("a load, not {other:?}"),
    }
}

/// Loads from the weight store take three times as long while it is overloaded, and a load at an engine that is not
/// preferred transfers an adapter twice. So the longer loads take, the longer a call must wait at its preferred
/// engine before it goes to another one.
#[test]
fn loads_at_other_engines_cost_more_while_loads_are_slow() {
    struct MoveCase {
        name: &'static str,
        load_ms: u16,
        /// Wait at the preferred engine.
        queue_ms: u16,
        stays: bool,
    }
    let cases = [
        MoveCase { name: "fast, short wait", load_ms: 100, queue_ms: 80, stays: true },
        MoveCase { name: "fast, long wait", load_ms: 100, queue_ms: 300, stays: false },
        MoveCase { name: "slow, the same wait", load_ms: 400, queue_ms: 300, stays: true },
        MoveCase { name: "slow, longer wait", load_ms: 400, queue_ms: 900, stays: false },
    ];
    for case in cases {
        let mut pool = pool();
        let call = model_call(Some("h7"));
        for sequence in 1..100 {
            for id in ["e1", "e2", "e3"] {
                let update = LoaderReport { load_ms: case.load_ms, ..report(id, sequence, &[]) };
                take_report(&mut pool, update, ms(0));
            }
        }
        let first = loaded_at(&pool, &call);
        let (load_ms, queue_ms) = (case.load_ms, case.queue_ms);
        let busy = LoaderReport { load_ms, queue_ms, ..report(&first.id, 100, &[]) };
        take_report(&mut pool, busy, ms(5));
        let choice = choose(&pool, ENGINES, Some(&call), 10);
        let stays = choice == TargetChoice::Load(first, adapter("h7"), 1);
        assert_eq!(stays, case.stays, "{}", case.name);
    }
}

/// A router has the report of one engine, which is busy, and none of the others. If those counted as idle,
/// every call would move from its preferred engine to one that is just as busy.
#[test]
fn engines_without_reports_count_as_busy_as_the_others() {
    let mut pool = pool();
    let call = model_call(Some("h7"));
    let first = loaded_at(&pool, &call);
    for sequence in 1..60 {
        let busy =
            LoaderReport { free_slots: -8, queue_ms: 400, ..report(&first.id, sequence, &[]) };
        take_report(&mut pool, busy, ms(0));
    }
    let choice = choose(&pool, ENGINES, Some(&call), 10);
    assert_eq!(choice, TargetChoice::Load(first, adapter("h7"), 1));
}

/// The last report of the selected engine is old. The router requests a new one first, unless the call has
/// used up its requests or another call of this router keeps the adapter there.
#[test]
fn an_old_report_is_requested_anew() {
    let mut pool = pool();
    let call = model_call(Some("h7"));
    let (service, zone) = (ENGINES.into(), "a".into());
    let may_request = CallNeed { may_request_report: true, ..need(&service, &zone, Some(&call)) };
    let choose =
        |pool: &TargetPool, need: &CallNeed<'_>, at| choose_target(pool, need, ms(at), || 0.5);
    take_report(&mut pool, report("e2", 1, &[("h7", 1)]), ms(0));
    let send = TargetChoice::Send("e2".into(), Some(1));
    assert_eq!(choose(&pool, &may_request, 10), send, "fresh");
    assert_eq!(choose(&pool, &may_request, 400), TargetChoice::RequestReport("e2".into()), "old");
    assert_eq!(
        choose(&pool, &CallNeed { may_request_report: false, ..may_request.clone() }, 400),
        send,
        "no more requests"
    );
    pool.request_report(&"e2".into(), ms(400));
    assert_eq!(
        choose(&pool, &may_request, 540),
        TargetChoice::RequestReport("e2".into()),
        "an answer may be in transit"
    );
    let elsewhere = choose(&pool, &may_request, 560);
    assert_eq!(elsewhere, TargetChoice::RequestReport("e3".into()), "nothing heard of its host");
    pool.note_heard(&"e2".into(), ms(560));
    assert_eq!(
        choose(&pool, &may_request, 560),
        send,
        "its engine runs without a loader: another request would not help"
    );
    take_report(&mut pool, report("e2", 2, &[("h7", 1)]), ms(700));
    pool.call_started(&"e2".into(), Some(&adapter("h7")), 0);
    assert_eq!(choose(&pool, &may_request, 1_700), send, "in use by a call of this router");
}

/// All batch slots of the preferred engine are taken. One becomes free within about a twelfth of a run, while
/// another engine must load the adapter first: when calls moved away, each rare adapter had copies at as many
/// engines as it had calls.
#[test]
fn a_full_batch_costs_the_wait_for_the_queue() {
    struct FullCase {
        name: &'static str,
        run_ms: u64,
        queued: u16,
        stays: bool,
    }
    let cases = [
        FullCase { name: "short runs, no queue", run_ms: 400, queued: 0, stays: true },
        FullCase { name: "short runs, a short queue", run_ms: 400, queued: 2, stays: true },
        FullCase { name: "short runs, a long queue", run_ms: 400, queued: 20, stays: false },
        FullCase { name: "long runs, no queue", run_ms: 1_200, queued: 0, stays: true },
        FullCase { name: "long runs, a short queue", run_ms: 1_200, queued: 3, stays: false },
    ];
    for case in cases {
        let mut pool = pool();
        let call = model_call(Some("h7"));
        for id in ["e1", "e2", "e3"] {
            take_report(&mut pool, report(id, 1, &[]), ms(0));
            for _ in 0..200 {
                pool.run_ended(&id.into(), ms(case.run_ms));
            }
        }
        let first = loaded_at(&pool, &call);
        let full = LoaderReport { active: 8, queued: case.queued, ..report(&first.id, 2, &[]) };
        take_report(&mut pool, full, ms(5));
        let choice = choose(&pool, ENGINES, Some(&call), 10);
        let stays = choice == TargetChoice::Load(first, adapter("h7"), 1);
        assert_eq!(stays, case.stays, "{}", case.name);
    }
}

/// The engine that holds an adapter is full. A call with a long prompt would be preempted and processed
/// again, so it goes to another engine although that must load the adapter; one with a short prompt waits.
#[test]
fn long_prompts_leave_a_full_engine() {
    struct FullCase {
        name: &'static str,
        tokens_in: u32,
        kv_used: u32,
        active: u16,
        stays: bool,
    }
    let cases = [
        FullCase { name: "short", tokens_in: 600, kv_used: 99_900, active: 8, stays: true },
        FullCase {
            name: "free slot and memory",
            tokens_in: 30_000,
            kv_used: 9_000,
            active: 7,
            stays: true,
        },
        FullCase { name: "memory", tokens_in: 30_000, kv_used: 99_900, active: 1, stays: false },
        FullCase { name: "batch", tokens_in: 30_000, kv_used: 9_000, active: 8, stays: false },
    ];
    for case in cases {
        let mut pool = pool();
        let call = ModelCall { tokens_in: case.tokens_in, ..model_call(Some("h7")) };
        for id in ["e1", "e3"] {
            take_report(&mut pool, report(id, 1, &[]), ms(0));
        }
        let (kv_used, active) = (case.kv_used, case.active);
        let holder = LoaderReport { kv_used, active, ..report("e2", 1, &[("h7", 1)]) };
        take_report(&mut pool, holder, ms(0));
        let choice = choose(&pool, ENGINES, Some(&call), 10);
        let stays = choice == TargetChoice::Send("e2".into(), Some(1));
        assert_eq!(stays, case.stays, "{}", case.name);
    }
}
