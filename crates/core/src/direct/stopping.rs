//! Schedule of a planned stop: until when a router takes requests, and when its calls must have ended.

use crate::ids::Timestamp;
use std::time::Duration;

/// Time for which a stopping router still takes requests: the load balancer checks readiness once a second and sends new
/// connections until the second failed check.
const INTAKE_TIME: Duration = Duration::from_millis(2_600);
/// Largest part of the time until the kill in which requests are taken: calls need the rest to end.
const INTAKE_SHARE: f64 = 0.4;
/// Time before the kill at which the process exits even with calls in flight.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// Time before the exit at which calls in flight are given up, so that their callers get a final answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    intake_end: Timestamp,
    calls_end: Timestamp,
    exit: Timestamp,
}

impl StopSchedule {
    /// Schedule of a stop that began at `began`, in a process that is killed `stop_time` later. All times count from the
    /// signal, whenever a connection was accepted.
    pub fn new(began: Timestamp, stop_time: Duration) -> Self {
        let exit = stop_time.saturating_sub(EXIT_RESERVE).max(stop_time / 2);
        let intake = INTAKE_TIME.min(stop_time.mul_f64(INTAKE_SHARE));
        let calls = exit.saturating_sub(ANSWER_RESERVE).max(intake);
        Self { intake_end: began + intake, calls_end: began + calls, exit: began + exit }
    }

    /// When the last request is taken.
    pub fn intake_end(&self) -> Timestamp {
        self.intake_end
    }

    /// When calls in flight are given up.
    pub fn calls_end(&self) -> Timestamp {
        self.calls_end
    }

    /// When the process exits.
    pub fn exit(&self) -> Timestamp {
        self.exit
    }
}
