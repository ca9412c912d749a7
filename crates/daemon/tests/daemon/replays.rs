//! Tests of the table of first requests by idempotency key.

use plantain_core::idempotency::{RECORD_WINDOW, RecordKey};
use plantaind::entry::replays::{
    FirstRequest, REPLAY_LIMIT, ReplayGuard, ReplayRefusal, ReplayTable,
};
use std::time::{Duration, Instant};

fn key(index: usize) -> RecordKey {
    format!("key-{index}")
}

/// Begins requests with the keys in `indices`.
fn begin(table: &ReplayTable, indices: std::ops::Range<usize>, now: Instant) -> Vec<ReplayGuard> {
    indices.map(|index| table.begin(&key(index), now).expect("a first request")).collect()
}

/// Whether an earlier request with the key is known and in flight.
fn is_running(table: &ReplayTable, index: usize, now: Instant) -> bool {
    let Err(ReplayRefusal::Known(first)) = table.begin(&key(index), now) else { return false };
    matches!(*first.borrow(), FirstRequest::Running)
}

struct EvictionCase {
    name: &'static str,
    /// Requests that begin first and run on.
    running: usize,
    /// Requests that begin and end after them.
    ended: usize,
    /// Time until a request with a new key arrives.
    pause: Duration,
    is_refused: bool,
}

/// The oldest key was evicted although its request was in flight. A waiting retry was then told that the request had
/// not run, and the next one ran a second time.
#[test]
fn keys_of_running_requests_stay() {
    let cases = [
        EvictionCase {
            name: "full, one running",
            running: 1,
            ended: REPLAY_LIMIT - 1,
            pause: Duration::ZERO,
            is_refused: false,
        },
        EvictionCase {
            name: "full, all but one running",
            running: REPLAY_LIMIT - 1,
            ended: 1,
            pause: Duration::ZERO,
            is_refused: false,
        },
        EvictionCase {
            name: "full, all running",
            running: REPLAY_LIMIT,
            ended: 0,
            pause: Duration::ZERO,
            is_refused: true,
        },
        EvictionCase {
            name: "older than the window, one running",
            running: 1,
            ended: 1,
            pause: RECORD_WINDOW,
            is_refused: false,
        },
        EvictionCase {
            name: "older than the window, all running",
            running: REPLAY_LIMIT,
            ended: 0,
            pause: RECORD_WINDOW,
            is_refused: true,
        },
    ];
    for EvictionCase { name, running, ended, pause, is_refused } in cases {
        let table = ReplayTable::default();
        let begun = Instant::now();
        let guards = begin(&table, 0..running, begun);
        drop(begin(&table, running..running + ended, begun));
        let waiting = table.begin(&key(0), begun);
        let Err(ReplayRefusal::Known(mut waiting)) = waiting else {
            panic!("{name}: a retry counts as a first request");
        };
        let now = begun + pause;
        let new = table.begin(&key(running + ended), now);
        assert_eq!(matches!(new, Err(ReplayRefusal::Full)), is_refused, "{name}: a new key");
        for index in 0..running {
            assert!(is_running(&table, index, now), "{name}: key {index} of {running}");
        }
        assert!(
            waiting.has_changed().is_ok(),
            "{name}: a waiting retry is told that it did not run"
        );
        drop(guards);
        assert!(matches!(*waiting.borrow_and_update(), FirstRequest::Failed), "{name}: the end");
        drop(new);
        assert!(table.begin(&key(9_999), now).is_ok(), "{name}: room after the end");
    }
}

/// A key counts as a new request once its window has passed, also if its request ended after others that began later.
#[test]
fn ended_keys_are_new_after_the_window() {
    let table = ReplayTable::default();
    let begun = Instant::now();
    let old = begin(&table, 0..1, begun);
    drop(begin(&table, 1..2, begun + RECORD_WINDOW / 2));
    drop(old);
    let now = begun + RECORD_WINDOW;
    assert!(matches!(table.begin(&key(1), now), Err(ReplayRefusal::Known(_))), "within its window");
    let again = table.begin(&key(0), now).expect("a new request");
    assert!(is_running(&table, 0, now));
    again.not_run();
    assert!(table.begin(&key(0), now).is_ok(), "after a request that was not run");
}
