//! Shares of a process's memory.

use plantain_core::memory::{BodyArrival, MemoryShares, is_scarce};
use std::time::Duration;

/// Guards against shares that leave no memory for the program itself.
#[test]
fn the_shares_leave_a_third_of_the_memory() {
    for memory in [32_000_000, 120_000_000, 260_000_000, 1_024_000_000] {
        let MemoryShares { large_bodies, small_bodies, answers } = MemoryShares::new(memory);
        assert!(large_bodies + small_bodies + answers <= memory * 2 / 3);
        assert!(!is_scarce(large_bodies, large_bodies) && is_scarce(0, large_bodies));
    }
}

struct ArrivalCase {
    name: &'static str,
    received: usize,
    age_ms: u64,
    pause_ms: u64,
    is_too_slow: bool,
}

/// Guards against bodies that hold room without filling it, and against the loss of one that is in time.
#[test]
fn bodies_that_stall_or_cannot_be_in_time_are_too_slow() {
    let cases = [
        ArrivalCase { name: "begun", received: 0, age_ms: 0, pause_ms: 0, is_too_slow: false },
        ArrivalCase {
            name: "late start",
            received: 0,
            age_ms: 450,
            pause_ms: 450,
            is_too_slow: false,
        },
        ArrivalCase {
            name: "stalled",
            received: 99,
            age_ms: 600,
            pause_ms: 510,
            is_too_slow: true,
        },
        ArrivalCase {
            name: "in time",
            received: 50,
            age_ms: 2_900,
            pause_ms: 50,
            is_too_slow: false,
        },
        ArrivalCase {
            name: "trickle",
            received: 2,
            age_ms: 1_500,
            pause_ms: 50,
            is_too_slow: true,
        },
    ];
    for ArrivalCase { name, received, age_ms, pause_ms, is_too_slow } in cases {
        let (age, pause) = (Duration::from_millis(age_ms), Duration::from_millis(pause_ms));
        let arrival = BodyArrival { received, room: 100, age, pause };
        assert_eq!(arrival.is_too_slow(Duration::from_secs(5)), is_too_slow, "{name}");
    }
}
