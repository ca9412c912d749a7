//! Time since the process started, on a clock that goes on while the host is suspended.

use nix::time::{ClockId, clock_gettime};
use plantain_core::ids::Timestamp;
use std::{sync::OnceLock, time::Duration};

/// A process that was suspended must see that time has passed: on the monotonic clock, a deadline
/// that passed during the suspension would still lie ahead, and work would be sent on for callers who
/// have long gone.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Time since the first call of this function in the process.
pub fn now() -> Timestamp {
    static START: OnceLock<Duration> = OnceLock::new();
    let time = boot_time();
    time.saturating_sub(*START.get_or_init(|| time))
}
