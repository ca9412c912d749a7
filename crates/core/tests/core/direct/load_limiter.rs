//! The window of loads that a loader keeps on their way, against a weight store that all loaders share.

use super::support::ms;
use plantain_core::direct::loader::load_limiter::LoadLimiter;
use quickcheck::QuickCheck;
use std::time::Duration;

/// Loads that an engine takes at once.
const LIMIT: usize = 4;
/// Rounds after which windows have settled.
const ROUNDS: usize = 200;

/// A weight store that gives each load its full speed while no more than `free` are on their way, and all
/// of them a fair share beyond.
struct SharedStore {
    free: usize,
    time: Duration,
}

impl SharedStore {
    fn load_time(&self, on_their_way: usize) -> Duration {
        self.time.mul_f64((on_their_way as f64 / self.free as f64).max(1.0))
    }
}

/// All loaders keep their windows full for a while; returns how many loads are then on their way.
fn settle(loaders: &mut [LoadLimiter], store: &SharedStore) -> usize {
    for _ in 0..ROUNDS {
        let time = store.load_time(on_their_way(loaders));
        for loader in loaders.iter_mut() {
            loader.record(time);
        }
    }
    on_their_way(loaders)
}

fn on_their_way(loaders: &[LoadLimiter]) -> usize {
    loaders.iter().map(LoadLimiter::window).sum()
}

fn gauges(count: usize) -> Vec<LoadLimiter> {
    (0..count).map(|_| LoadLimiter::new(LIMIT)).collect()
}

/// Whatever the store allows and however many engines share it: loads are not slowed down much beyond what
/// one load an engine costs, and what the store can give is not left unused.
#[test]
fn windows_follow_what_the_store_gives() {
    fn property(engines: u8, free: u8, time: u16) -> bool {
        let engines = usize::from(engines % 60) + 1;
        let store = SharedStore {
            free: usize::from(free % 60) + 1,
            time: ms(u64::from(time % 2_000) + 20),
        };
        let mut loaders = gauges(engines);
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
    /// Loads of eight engines on their way in the end.
    least: usize,
    most: usize,
}

/// The store changes while it is used: what was learnt of it before must not hold for ever.
#[test]
fn windows_follow_a_store_that_changes() {
    let store = |free, time| SharedStore { free, time: ms(time) };
    let cases = [
        ChangeCase {
            name: "slower for good",
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
            name: "given back",
            before: store(8, 250),
            after: store(32, 250),
            least: 16,
            most: 32,
        },
    ];
    for case in cases {
        let mut loaders = gauges(8);
        settle(&mut loaders, &case.before);
        let count = settle(&mut loaders, &case.after);
        assert!((case.least..=case.most).contains(&count), "{}: {count}", case.name);
    }
}

/// The first load of a life tells more than any assumption.
#[test]
fn the_first_load_replaces_the_prior() {
    let mut gauge = LoadLimiter::new(LIMIT);
    gauge.record(ms(40));
    assert_eq!(gauge.expected(), ms(40));
    assert!(!gauge.is_congested());
    gauge.record(ms(400));
    assert!(gauge.is_congested());
}

/// A loader started again beside an engine whose host has many adapters in its memory, and takes its first
/// loads for ones from the store. Every load from the store then looked six times too slow: the window
/// stayed at one, and calls waited for seconds although the store was idle.
#[test]
fn loads_from_the_hosts_memory_do_not_make_the_store_look_slow() {
    let mut gauge = LoadLimiter::new(LIMIT).with_unknown_memory();
    for time in [45, 48, 260, 44, 270, 255, 46, 262, 258] {
        gauge.record(ms(time));
    }
    assert!(!gauge.is_congested());
    assert_eq!(gauge.window(), LIMIT);
    assert!(gauge.expected() > ms(250) && gauge.expected() < ms(275), "{:?}", gauge.expected());
}

/// After a start nothing is known of the store, and many calls wait: the window opens within a few loads.
#[test]
fn the_window_opens_fast_at_first() {
    let mut gauge = LoadLimiter::new(LIMIT);
    for _ in 0..2 {
        gauge.record(ms(250));
    }
    assert_eq!(gauge.window(), LIMIT);
}
