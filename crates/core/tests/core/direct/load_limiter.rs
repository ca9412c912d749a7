//! The loader's window of concurrent loads, against a weight store that all loaders share.

use super::support::ms;
use plantain_core::direct::loader::load_limiter::LoadLimiter;
use quickcheck::QuickCheck;
use std::time::Duration;

/// Maximum of concurrent loads of an engine.
const LIMIT: usize = 4;
/// Rounds after which windows have settled.
const ROUNDS: usize = 200;

/// A weight store that serves up to `free` concurrent loads at full speed, and shares its rate fairly among
/// more.
struct SharedStore {
    free: usize,
    time: Duration,
}

impl SharedStore {
    fn load_time(&self, concurrent_loads: usize) -> Duration {
        self.time.mul_f64((concurrent_loads as f64 / self.free as f64).max(1.0))
    }
}

/// Keeps all loaders' windows full until they settle; returns the number of concurrent loads then.
fn settle(loaders: &mut [LoadLimiter], store: &SharedStore) -> usize {
    for _ in 0..ROUNDS {
        let time = store.load_time(concurrent_loads(loaders));
        for loader in loaders.iter_mut() {
            loader.record(time);
        }
    }
    concurrent_loads(loaders)
}

fn concurrent_loads(loaders: &[LoadLimiter]) -> usize {
    loaders.iter().map(LoadLimiter::window).sum()
}

fn limiters(count: usize) -> Vec<LoadLimiter> {
    (0..count).map(|_| LoadLimiter::new(LIMIT)).collect()
}

/// For any capacity of the store and any number of engines, loads must not become much slower than with one
/// load per engine, and at least half of the store's capacity must be used.
#[test]
fn windows_follow_the_capacity_of_the_store() {
    fn property(engines: u8, free: u8, time: u16) -> bool {
        let engines = usize::from(engines % 60) + 1;
        let store = SharedStore {
            free: usize::from(free % 60) + 1,
            time: ms(u64::from(time % 2_000) + 20),
        };
        let mut loaders = limiters(engines);
        let count = settle(&mut loaders, &store);
        let one_each = store.load_time(engines);
        let is_short = store.load_time(count) <= one_each.max(store.time.mul_f64(2.0)).mul_f64(2.1);
        let useful = store.free.min(engines * LIMIT);
        let is_used = count * 2 >= useful;
        is_short && is_used
    }
    QuickCheck::new().quickcheck(property as fn(u8, u8, u16) -> bool);
}

struct ChangeCase {
    name: &'static str,
    before: SharedStore,
    after: SharedStore,
    /// Bounds of the concurrent loads of eight engines at the end.
    least: usize,
    most: usize,
}

/// The store's speed or capacity changes: the windows must adapt to it.
#[test]
fn windows_follow_a_store_that_changes() {
    let store = |free, time| SharedStore { free, time: ms(time) };
    let cases = [
        ChangeCase {
            name: "permanently slower",
            before: store(32, 250),
            after: store(32, 1_250),
            least: 24,
            most: 32,
        },
        ChangeCase {
            name: "shared with others",
            before: store(32, 250),
            after: store(8, 250),
            least: 8,
            most: 24,
        },
        ChangeCase {
            name: "no longer shared",
            before: store(8, 250),
            after: store(32, 250),
            least: 16,
            most: 32,
        },
    ];
    for case in cases {
        let mut loaders = limiters(8);
        settle(&mut loaders, &case.before);
        let count = settle(&mut loaders, &case.after);
        assert!((case.least..=case.most).contains(&count), "{}: {count}", case.name);
    }
}

/// The first load replaces the initial estimate, instead of being smoothed with it.
#[test]
fn the_first_load_replaces_the_initial_estimate() {
    let mut limiter = LoadLimiter::new(LIMIT);
    limiter.record(ms(40));
    assert_eq!(limiter.expected(), ms(40));
    assert!(!limiter.is_congested());
    limiter.record(ms(400));
    assert!(limiter.is_congested());
}

/// A loader restarted beside an engine whose host has many adapters in memory, and counted its first loads as
/// loads from the store. Every load from the store then looked six times too slow: the window stayed at one,
/// and calls waited for seconds although the store was idle.
#[test]
fn loads_from_the_hosts_memory_do_not_make_the_store_look_slow() {
    let mut limiter = LoadLimiter::new(LIMIT).with_unknown_memory();
    for time in [45, 48, 260, 44, 270, 255, 46, 262, 258] {
        limiter.record(ms(time));
    }
    assert!(!limiter.is_congested());
    assert_eq!(limiter.window(), LIMIT);
    assert!(
        limiter.expected() > ms(250) && limiter.expected() < ms(275),
        "{:?}",
        limiter.expected()
    );
}

/// After a start the store's speed is unknown and many calls wait: the window must open within a few loads.
#[test]
fn the_window_opens_fast_at_first() {
    let mut limiter = LoadLimiter::new(LIMIT);
    for _ in 0..2 {
        limiter.record(ms(250));
    }
    assert_eq!(limiter.window(), LIMIT);
}
