//! Requests that end targets: what routers know of them when news is lost, late or doubled, and what that
//! means for the innocent.

use plantain_core::{
    crashes::{
        CRASH_TTL, CrashLedger, CrashReport, IncarnationPhase, QUARANTINE_CRASHES, RECORD_LIMIT,
        REPORT_TTL, UnresolvedRun, UnresolvedRuns,
    },
    direct::membership::TargetIncarnation,
    fingerprint::CallFingerprint,
    ids::Timestamp,
};
use quickcheck::{TestResult, quickcheck};
use std::{sync::Arc, time::Duration};

const FATAL: CallFingerprint = 7;
const NOW: Timestamp = Duration::from_secs(1_000);

fn incarnation(number: usize) -> TargetIncarnation {
    TargetIncarnation { id: format!("i-{number}").into(), started: Some(number as u64) }
}

fn ledger(boot: u64) -> CrashLedger {
    CrashLedger::new(format!("router-{boot}").into(), boot)
}

fn report(ledger: &CrashLedger) -> Arc<CrashReport> {
    Arc::new(ledger.own_report().clone())
}

/// Routers, each of which has seen the fatal call end one target.
fn witnesses(count: usize) -> Vec<CrashLedger> {
    let with_crash = |number: usize| {
        let mut ledger = ledger(number as u64);
        // Its other calls at that target are innocent.
        let innocent = 1_000 + number as u128;
        ledger.record_crash(&incarnation(number), &[FATAL, innocent], NOW);
        ledger
    };
    (0..count).map(with_crash).collect()
}

/// Each of 330 routers has seen one crash only. Whoever has heard of any three holds the call back, in
/// whatever order and how often news came, and spares every call that shared one of the crashes.
#[test]
fn three_of_many_witnesses_are_enough() {
    let routers = witnesses(330);
    for first in [0, 117, 327] {
        let mut newcomer = ledger(9_999);
        for (heard, router) in routers[first..first + QUARANTINE_CRASHES].iter().rev().enumerate() {
            assert!(!newcomer.is_quarantined(FATAL), "held after {heard} crashes");
            assert!(newcomer.take_report(&report(router), NOW));
            assert!(!newcomer.take_report(&report(router), NOW), "the same news twice");
        }
        assert!(newcomer.is_quarantined(FATAL));
        for innocent in 0..330 {
            assert!(!newcomer.is_quarantined(1_000 + innocent));
        }
    }
}

/// Several routers have calls at one target that ends. It is one crash, however many tell of it.
#[test]
fn one_crash_reported_by_many_counts_once() {
    let mut hearer = ledger(99);
    for boot in 0..10 {
        let mut router = ledger(boot);
        router.record_crash(&incarnation(1), &[FATAL], NOW);
        hearer.take_report(&report(&router), NOW);
    }
    assert_eq!(hearer.crashes_under(FATAL), 1);
}

/// An older report comes after a newer one, as datagrams and reads of stale copies do: what the newer one
/// told still counts.
#[test]
fn late_reports_undo_nothing() {
    let mut teller = ledger(1);
    let mut reports = Vec::new();
    for number in 0..QUARANTINE_CRASHES {
        teller.record_crash(&incarnation(number), &[FATAL], NOW);
        reports.push(report(&teller));
    }
    let mut hearer = ledger(2);
    for report in reports.iter().rev() {
        hearer.take_report(report, NOW);
    }
    assert!(hearer.is_quarantined(FATAL));
}

/// A router that has seen two of three crashes is killed and starts again. What it had told is added to what
/// it tells in its new life, so that its old report may be overwritten.
#[test]
fn a_restart_loses_no_crash() {
    let mut before = ledger(1);
    before.record_crash(&incarnation(1), &[FATAL], NOW);
    before.record_crash(&incarnation(2), &[FATAL], NOW);
    let mut after = ledger(2);
    after.record_crash(&incarnation(3), &[FATAL], NOW);
    let mut told = after.own_report().clone();
    told.add_earlier(before.own_report());
    let mut hearer = ledger(3);
    hearer.take_report(&Arc::new(told), NOW);
    assert!(hearer.is_quarantined(FATAL));
}

/// Callers poll the same path with the same empty body, so that their calls look like one request. Targets
/// end under them by chance; but the polls in between come to their end, and each takes a crash away.
#[test]
fn a_call_that_survives_is_cleared() {
    let poll = FATAL;
    let (mut first, mut second) = (ledger(1), ledger(2));
    let mut now = NOW;
    for number in 0..50 {
        // Rarely enough that a poll which ended before its crash no longer speaks for it.
        now += Duration::from_secs(30);
        first.record_crash(&incarnation(number), &[poll], now);
        second.take_report(&report(&first), now);
        assert!(second.record_survival(poll, now), "no crash left after round {number}");
        first.take_report(&report(&second), now);
        for router in [&first, &second] {
            assert!(!router.is_quarantined(poll));
            assert_eq!(router.crashes_under(poll), 0, "after round {number}");
        }
    }
    assert!(!second.record_survival(poll, now), "nothing speaks against it");
}

/// Callers poll a path many times a second while another request ends three targets, each with a poll in
/// flight. That a target has ended shows only seconds later, when the list drops it, and all three crashes
/// are told at once. Polls have come to their ends meanwhile, at the router that tells and at the one that
/// hears, and none of the two may hold the polls back.
#[test]
fn a_poll_that_just_came_to_its_end_is_no_suspect() {
    let poll = FATAL;
    let mut teller = ledger(1);
    let mut hearer = ledger(2);
    hearer.record_survival(poll, NOW);
    for number in 0..QUARANTINE_CRASHES {
        teller.record_crash(&incarnation(number), &[poll], NOW + Duration::from_secs(2));
    }
    assert!(teller.is_quarantined(poll), "the teller itself has no poll that ended");
    hearer.take_report(&report(&teller), NOW + Duration::from_secs(3));
    assert!(!hearer.is_quarantined(poll));
    teller.take_report(&report(&hearer), NOW + Duration::from_secs(3));
    assert!(!teller.is_quarantined(poll));

    let mut alone = ledger(3);
    alone.record_survival(poll, NOW);
    for number in 0..QUARANTINE_CRASHES {
        alone.record_crash(&incarnation(number), &[poll], NOW + Duration::from_secs(2));
    }
    assert!(!alone.is_quarantined(poll));
    for number in QUARANTINE_CRASHES..2 * QUARANTINE_CRASHES {
        alone.record_crash(&incarnation(number), &[poll], NOW + Duration::from_mins(1));
    }
    assert!(alone.is_quarantined(poll), "a run that ended a minute before proves nothing");
}

/// A call was held back by mistake. It is free again once its crashes are too old, at the router that saw
/// them and at the others, which also forget a router that is gone for good.
#[test]
fn crashes_grow_old() {
    let mut teller = ledger(1);
    for number in 0..QUARANTINE_CRASHES {
        teller.record_crash(&incarnation(number), &[FATAL], NOW);
    }
    let mut hearer = ledger(2);
    let mut lonely = ledger(3);
    for router in [&mut hearer, &mut lonely] {
        router.take_report(&report(&teller), NOW);
        assert!(!router.expire(NOW + CRASH_TTL), "it has nothing of its own to tell");
        assert!(router.is_quarantined(FATAL));
    }
    assert!(!teller.expire(NOW + CRASH_TTL / 2));
    assert!(teller.expire(NOW + CRASH_TTL));
    assert!(!teller.is_quarantined(FATAL));
    hearer.take_report(&report(&teller), NOW + CRASH_TTL);
    assert!(!hearer.is_quarantined(FATAL));
    lonely.expire(NOW + REPORT_TTL);
    assert!(lonely.is_empty());
}

/// Engines end one after the other with hundreds of innocent calls each. Memory stays bounded, and the
/// call that is at fault is not pushed out by those that shared its crashes.
#[test]
fn a_flood_of_innocent_calls_hides_no_culprit() {
    let mut router = ledger(1);
    let mut next = 1_000;
    for number in 0..QUARANTINE_CRASHES {
        let mut calls: Vec<CallFingerprint> = (next..next + 300).collect();
        next += 300;
        calls.insert(150, FATAL);
        // The culprit is among the newest, so it outlives this crash; then it has two and stays.
        calls.rotate_left(151);
        router.record_crash(&incarnation(number), &calls, NOW);
        assert!(router.own_report().crashes.len() <= RECORD_LIMIT);
    }
    assert!(router.is_quarantined(FATAL));
}

/// Reports of very many starts of routers come, as of a fleet that restarts all the time for a day.
#[test]
fn memory_is_bounded_over_all_reports() {
    let mut hearer = ledger(0);
    let calls: Vec<CallFingerprint> = (0..RECORD_LIMIT as u128).collect();
    for boot in 1..=600 {
        let mut teller = ledger(boot);
        teller.record_crash(&incarnation(boot as usize), &calls, NOW);
        hearer.take_report(&report(&teller), NOW + Duration::from_millis(boot));
    }
    // 32,768 records are 128 such reports.
    assert!((100..=128).contains(&hearer.crashes_under(3)), "{}", hearer.crashes_under(3));
}

struct PhaseCase {
    phase: IncarnationPhase,
    after: Duration,
    ends: bool,
    remains: bool,
}

/// A caller goes away while its request runs, so that this router does not see it broken off; then the
/// target ends. Only the end itself tells, for some seconds, unless the target was leaving by plan.
#[test]
fn an_abandoned_run_counts_if_its_target_ends_soon() {
    let second = Duration::from_secs(1);
    let cases = [
        PhaseCase { phase: IncarnationPhase::Alive, after: second, ends: false, remains: true },
        PhaseCase { phase: IncarnationPhase::Ended, after: second, ends: true, remains: true },
        PhaseCase { phase: IncarnationPhase::Ended, after: 4 * second, ends: true, remains: true },
        PhaseCase {
            phase: IncarnationPhase::Ended,
            after: 7 * second,
            ends: false,
            remains: false,
        },
        PhaseCase { phase: IncarnationPhase::Draining, after: second, ends: false, remains: false },
    ];
    for PhaseCase { phase, after, ends, remains } in cases {
        let mut runs = UnresolvedRuns::default();
        let run = UnresolvedRun { call: FATAL, sent: NOW, is_broken: false };
        assert_eq!(runs.add(&incarnation(1), run, NOW), None);
        let ended = runs.resolve(|_| phase, NOW + after);
        assert_eq!(!ended.is_empty(), ends, "{phase:?} after {after:?}");
        let calls = runs.take_ended(&incarnation(1), NOW + after);
        assert_eq!(!calls.is_empty(), remains, "{phase:?} after {after:?}");
        let known = runs.add(&incarnation(1), run, NOW + after);
        assert_eq!(known, Some(NOW + after), "for calls that break off later than others");
    }
}

struct RunCase {
    call: CallFingerprint,
    sent_ms: u64,
    left_ms: u64,
    is_broken: bool,
    is_suspect: bool,
}

/// A target loses an answer at 100 ms and answers others until 500 ms; it ends at 600 ms under the fatal
/// call. Calls that are sent to it afterwards break off too, for the list still names it. Only those that
/// were there at its end are suspects, and those whose callers had left before.
#[test]
fn only_calls_at_the_end_are_suspects() {
    let cases = [
        RunCase { call: 1, sent_ms: 0, left_ms: 100, is_broken: true, is_suspect: false },
        RunCase { call: 2, sent_ms: 50, left_ms: 300, is_broken: false, is_suspect: true },
        RunCase { call: FATAL, sent_ms: 550, left_ms: 600, is_broken: true, is_suspect: true },
        RunCase { call: 3, sent_ms: 400, left_ms: 602, is_broken: true, is_suspect: true },
        RunCase { call: 4, sent_ms: 700, left_ms: 701, is_broken: true, is_suspect: false },
        RunCase { call: 5, sent_ms: 900, left_ms: 950, is_broken: false, is_suspect: false },
    ];
    let at = |ms: u64| NOW + Duration::from_millis(ms);
    let mut runs = UnresolvedRuns::default();
    for case in &cases {
        let run =
            UnresolvedRun { call: case.call, sent: at(case.sent_ms), is_broken: case.is_broken };
        assert_eq!(runs.add(&incarnation(1), run, at(case.left_ms)), None);
    }
    runs.note_answer(&incarnation(1), at(500));
    let suspects = runs.take_ended(&incarnation(1), at(1_000));
    for case in &cases {
        assert_eq!(suspects.contains(&case.call), case.is_suspect, "call {}", case.call);
    }
}

/// A request ends five targets within a second, before anybody knows. Another one, whose caller sent it
/// at once again each time, was at three of these. It is served: the first one explains them all. When it
/// ends three targets by itself, it is held back as well.
#[test]
fn a_likelier_cause_clears_the_others() {
    let companion = 8;
    let mut router = ledger(1);
    for number in 0..5 {
        router.record_crash(&incarnation(number), &[FATAL], NOW);
    }
    for number in 0..QUARANTINE_CRASHES {
        router.record_crash(&incarnation(number), &[companion], NOW);
    }
    assert!(router.is_quarantined(FATAL));
    assert!(!router.is_quarantined(companion));
    for number in 10..10 + QUARANTINE_CRASHES {
        router.record_crash(&incarnation(number), &[companion], NOW);
    }
    assert!(router.is_quarantined(companion));
}

quickcheck! {
    /// Whatever reports are lost or come twice, in whatever order: nobody counts more crashes than there
    /// were, and who has the newest report of each router counts all of them.
    fn reports_in_any_order_add_up(crashes: Vec<(u8, u8)>, order: Vec<usize>) -> TestResult {
        let mut tellers: Vec<CrashLedger> = (0..4).map(ledger).collect();
        let mut sent: Vec<Arc<CrashReport>> = Vec::new();
        let mut incarnations = std::collections::BTreeSet::new();
        for (router, target) in crashes {
            let teller = &mut tellers[usize::from(router % 4)];
            teller.record_crash(&incarnation(usize::from(target)), &[FATAL], NOW);
            incarnations.insert(target);
            sent.push(report(teller));
        }
        if sent.is_empty() {
            return TestResult::discard();
        }
        let mut hearer = ledger(99);
        for index in order {
            hearer.take_report(&sent[index % sent.len()], NOW);
        }
        let heard = hearer.crashes_under(FATAL);
        for teller in &tellers {
            hearer.take_report(&report(teller), NOW);
        }
        TestResult::from_bool(heard <= incarnations.len() && hearer.crashes_under(FATAL) == incarnations.len())
    }
}
