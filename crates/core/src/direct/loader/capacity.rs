//! The loader's estimate of its engine's capacity.

use super::LoaderMachine;
use crate::{
    direct::{
        backlog::TOKENS_PER_MS,
        capacity::{CapacityChange, CapacityEstimate},
        messages::RouterNotice,
    },
    ids::Timestamp,
};
use std::net::SocketAddr;

/// Ratio between the estimate and [`TOKENS_PER_MS`] above which the backlog of unread tokens is reduced by the estimate.
/// A loader does not know whether the engines of its service differ. Up to this ratio the backlog is as it was before
/// there were estimates; beyond it, a prompt of 10,000 tokens would leave the backlog 90 ms too early or too late.
const BACKLOG_RATIO: f64 = 1.33;

impl LoaderMachine {
    /// Estimate of the engine's capacity.
    pub fn capacity(&self) -> &CapacityEstimate {
        &self.capacity
    }

    /// The last change of the estimated prefill rate that is worth a log line, once.
    pub fn take_capacity_change(&mut self) -> Option<CapacityChange> {
        self.capacity.take_change()
    }

    /// Adds a notice to the estimate.
    pub(super) fn measure_capacity(
        &mut self,
        router: SocketAddr,
        notice: &RouterNotice,
        now: Timestamp,
    ) {
        let incarnation = self.incarnation();
        self.capacity.take_notice(router, notice, incarnation.as_ref(), now);
        let estimate = self.capacity.tokens_per_ms().unwrap_or(TOKENS_PER_MS);
        let usual = TOKENS_PER_MS / BACKLOG_RATIO..=TOKENS_PER_MS * BACKLOG_RATIO;
        let rate = if usual.contains(&estimate) { TOKENS_PER_MS } else { estimate };
        self.backlog.set_rate(rate, now);
    }
}
