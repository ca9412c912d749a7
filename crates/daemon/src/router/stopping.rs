//! Planned stop of a router: which requests it still takes, and when its calls end.

use super::context::RouterContext;
use crate::clock;
use plantain_core::{direct::stopping::StopSchedule, ids::Timestamp};
use slog::info;
use tokio::time::sleep;

impl RouterContext {
    /// Schedule of the stop; `None` until the stop signal.
    pub(super) fn stop_schedule(&self) -> Option<StopSchedule> {
        if !self.is_stopping() {
            return None;
        }
        if self.stop.get().is_none() {
            let stop_time = self.settings.borrow().bounds.stop_time();
            self.stop.set(Some(StopSchedule::new(clock::now(), stop_time)));
            info!(self.logger, "stop begins"; "step" => "stop", "in_flight" => self.calls.get(),
                "stop_s" => stop_time.as_secs_f64());
        }
        self.stop.get()
    }

    /// Whether the router no longer takes requests.
    pub(super) fn has_intake_ended(&self) -> bool {
        self.stop_schedule().is_some_and(|stop| clock::now() >= stop.intake_end())
    }

    /// Waits until the router no longer takes requests.
    pub(super) async fn intake_ended(&self) {
        self.wait_for_stop(StopSchedule::intake_end).await;
    }

    /// Waits until calls in flight are given up, since the process is about to exit.
    pub(super) async fn calls_ended(&self) {
        self.wait_for_stop(StopSchedule::calls_end).await;
    }

    /// Waits until the process is to exit.
    pub(super) async fn exit_due(&self) {
        self.wait_for_stop(StopSchedule::exit).await;
    }

    /// The earlier of a deadline and the end of calls.
    pub(super) fn limit_to_stop(&self, deadline: Timestamp) -> Timestamp {
        self.stop_schedule().map_or(deadline, |stop| deadline.min(stop.calls_end()))
    }

    async fn wait_for_stop(&self, time: impl Fn(&StopSchedule) -> Timestamp) {
        let mut stopping = self.stopping.clone();
        let _ = stopping.wait_for(|stop| *stop).await;
        if let Some(stop) = self.stop_schedule() {
            sleep(time(&stop).saturating_sub(clock::now())).await;
        }
    }
}
