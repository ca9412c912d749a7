//! State that targets advertise in their answers: that they drain, or ask for a backoff.

use super::context::RouterContext;
use crate::clock;
use metrics::counter;
use plantain_core::direct::{
    advertised_state::{advertises_draining, requested_backoff},
    membership::TargetIncarnation,
    proof::{AnswerHead, RunProof},
};
use slog::info;
use std::time::Duration;

impl RouterContext {
    /// Whether a target takes requests: it neither drains nor has asked for a backoff that has not ended.
    pub(crate) fn is_open(&self, incarnation: &TargetIncarnation) -> bool {
        let (pool, now) = (self.pool.borrow(), clock::now());
        pool.target(incarnation)
            .is_none_or(|target| !target.is_draining() && !target.is_backing_off(now))
    }

    /// Time until the first backoff of a service's targets ends; `None` unless all targets that could take calls are
    /// backing off.
    pub(crate) fn backoff_left(&self, service: &str) -> Option<Duration> {
        self.pool.borrow().backoff_left(service, clock::now())
    }

    /// Records the state that a target advertised in its answer to a call. `incarnation` is the target that the call
    /// was sent to.
    pub(crate) fn record_advertised_state(
        &self,
        incarnation: &TargetIncarnation,
        proof: RunProof,
        head: &AnswerHead,
    ) {
        let now = clock::now();
        if advertises_draining(head, incarnation)
            && self.pool.borrow_mut().record_draining(incarnation, now)
        {
            counter!("plantain_target_statements_total", "kind" => "leaving").increment(1);
            info!(self.logger, "target says that it leaves"; "step" => "target_statement",
                "target" => &*incarnation.id, "started" => incarnation.started);
        }
        let Some(backoff) = requested_backoff(proof, head) else { return };
        if self.pool.borrow_mut().record_backoff(incarnation, backoff, now) {
            counter!("plantain_target_statements_total", "kind" => "rest").increment(1);
            info!(self.logger, "target wants no requests"; "step" => "target_statement",
                "target" => &*incarnation.id, "started" => incarnation.started,
                "for_ms" => u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX));
        }
    }
}
