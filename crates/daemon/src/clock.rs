//! Time since the process started, on a clock that also advances while the host is suspended.

use nix::time::{ClockId, clock_gettime};
use plantain_core::ids::Timestamp;
use std::{sync::OnceLock, time::Duration};

/// Time since the host's boot, including suspension. The monotonic clock stops during a suspension, so a
/// deadline that passed in it would still be in the future, and calls would be forwarded for callers that
/// have disconnected.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Time since the first call of this function in the process.
pub fn now() -> Timestamp {
    static START: OnceLock<Duration> = OnceLock::new();
    let time = boot_time();
    time.saturating_sub(*START.get_or_init(|| time))
}
