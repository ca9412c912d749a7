//! The schedule of a router's notices to loaders.

use super::support::{adapter, ms, pool, report, target};
use plantain_core::direct::{
    membership::{TargetEntry, TargetIncarnation},
    notices::NoticeSchedule,
    targets::TargetPool,
};
use std::sync::Arc;

fn due(schedule: &mut NoticeSchedule, pool: &TargetPool, at: u64) -> Vec<TargetIncarnation> {
    let mut due = schedule.due(pool, 2, ms(at), || 1.0);
    due.sort();
    due
}

fn take_report(pool: &mut TargetPool, id: &str, sequence: u32, at: u64) {
    let host = pool.target(&id.into()).expect("a known target").entry.address.ip();
    pool.take_report(host, report(id, sequence, &[]), ms(at));
}

/// Guards against notices to every loader, with or without calls there: at 300 hosts that was more traffic
/// than callers sent.
#[test]
fn only_loaders_of_engines_with_calls_get_notices() {
    let mut pool = pool();
    let mut schedule = NoticeSchedule::new(1);
    assert!(due(&mut schedule, &pool, 0).is_empty(), "no calls and no load requests");
    let e1: TargetIncarnation = "e1".into();
    pool.call_started(&e1, Some(&adapter("h7")), 0);
    assert_eq!(due(&mut schedule, &pool, 0), vec![e1.clone()]);
    let notice = schedule.make(&mut pool, &e1, ms(0)).expect("a notice");
    assert_eq!((notice.uses.len(), notice.wants_report), (1, false));
    assert!(due(&mut schedule, &pool, 500).is_empty(), "sent, and nothing changed");
    assert_eq!(due(&mut schedule, &pool, 800), [e1], "or the loader would drop the call");
}

/// The last call for an adapter ends. Until its loader gets a notice, the adapter keeps its slot and calls for
/// others wait: one more notice must be sent, and then none.
#[test]
fn a_loader_gets_a_notice_that_nothing_runs_any_more() {
    let mut pool = pool();
    let mut schedule = NoticeSchedule::new(1);
    let e1: TargetIncarnation = "e1".into();
    for _ in 0..2 {
        pool.call_started(&e1, Some(&adapter("h7")), 0);
    }
    schedule.make(&mut pool, &e1, ms(0));
    assert!(!pool.use_ended(&e1, &adapter("h7")), "one of two");
    assert!(due(&mut schedule, &pool, 200).is_empty(), "the adapter is in use as before");
    assert!(pool.use_ended(&e1, &adapter("h7")), "the last one");
    assert_eq!(due(&mut schedule, &pool, 200), vec![e1.clone()]);
    let notice = schedule.make(&mut pool, &e1, ms(200)).expect("a notice");
    assert!(notice.uses.iter().all(|used| used.running == 0));
    let ends = (300..3_000).step_by(50).filter(|at| !due(&mut schedule, &pool, *at).is_empty());
    let ends: Vec<u64> = ends.collect();
    assert_eq!(ends.first(), Some(&300), "one more notice, without any uses");
    schedule.make(&mut pool, &e1, ms(300));
    assert!((400..3_000).step_by(50).all(|at| due(&mut schedule, &pool, at).is_empty()));
}

/// A report request is lost. Its call waits, so it must be sent again soon, but not forever to a loader that is
/// gone.
#[test]
fn a_report_request_is_repeated_until_the_loader_counts_as_silent() {
    let mut pool = pool();
    let mut schedule = NoticeSchedule::new(1);
    let e2: TargetIncarnation = "e2".into();
    assert!(pool.request_report(&e2, ms(0)), "new");
    assert!(!pool.request_report(&e2, ms(10)), "requested already");
    let sent: Vec<u64> = (0..1_000)
        .step_by(10)
        .filter(|at| {
            let is_due = !due(&mut schedule, &pool, *at).is_empty();
            if is_due {
                let notice = schedule.make(&mut pool, &e2, ms(*at)).expect("a notice");
                assert!(notice.wants_report);
            }
            is_due
        })
        .collect();
    assert_eq!(sent, [0, 50, 100]);
    assert!(pool.note_silence(&e2, ms(160)), "to be logged");
    assert!(!pool.note_silence(&e2, ms(170)), "once");
    assert!(pool.request_report(&e2, ms(2_000)), "requested again after two seconds");
    take_report(&mut pool, "e2", 1, 2_001);
    assert!(!pool.target(&e2).expect("a target").is_report_pending(ms(2_002)));
}

/// An engine has started empty and no router has calls there yet. Its loader must be sent the base models to
/// load, in each round by one router on average instead of by all.
#[test]
fn empty_engines_are_sent_base_models() {
    let mut pool = pool();
    let empty = TargetEntry { holdings: Vec::new(), ..target("e1", "engines", "a", 1) };
    pool.replace_list(vec![Arc::new(empty)], ms(0));
    let mut schedule = NoticeSchedule::new(1);
    let e1: TargetIncarnation = "e1".into();
    assert_eq!(schedule.due(&pool, 100, ms(0), || 0.009), vec![e1.clone()]);
    assert!(schedule.due(&pool, 100, ms(0), || 0.011).is_empty());
    let notice = schedule.make(&mut pool, &e1, ms(0)).expect("a notice");
    assert!(!notice.bases.is_empty() && notice.wants_report);
    take_report(&mut pool, "e1", 1, 10);
    assert!(schedule.due(&pool, 1, ms(300), || 0.0).is_empty(), "it holds its base model now");
    assert!(
        schedule.make(&mut pool, &e1, ms(400)).expect("a notice").bases.is_empty(),
        "sent once"
    );
}
