//! An offer in flight, and the guard that reports its end to the decisions duty.

use super::{
    decisions::{DecisionCommand, DecisionSender, OfferEnd},
    offers::OfferHandle,
};
use plantain_core::{ids::TargetName, protocol::TargetReport};
use tokio::sync::mpsc;

/// An offer in flight.
pub(super) struct PendingOffer {
    /// Receives the agent's events and releases a reserved request.
    pub(super) handle: OfferHandle,
    /// Reports the offer's end to the decisions duty.
    pub(super) guard: OfferGuard,
    /// Whether a reserved request was released to its target.
    pub(super) released: bool,
}

/// Reports the end of an offer to the decisions duty, also when the caller disconnects and the
/// exchange is dropped: otherwise the target's count of requests in flight would grow with each
/// such caller.
pub(super) struct OfferGuard {
    decisions: DecisionSender,
    pub(super) target: TargetName,
    ended: bool,
}

impl OfferGuard {
    pub(super) fn new(decisions: DecisionSender, target: TargetName) -> Self {
        Self { decisions, target, ended: false }
    }

    pub(super) fn report(&self, report: TargetReport) {
        self.send(DecisionCommand::Report { target: self.target.clone(), report });
    }

    pub(super) fn end(&mut self, end: OfferEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            self.send(DecisionCommand::Ended { target: self.target.clone(), end });
        }
    }

    fn send(&self, command: DecisionCommand) {
        if let Err(mpsc::error::TrySendError::Full(command)) = self.decisions.try_send(command) {
            let decisions = self.decisions.clone();
            tokio::spawn(async move {
                let _ = decisions.send(command).await;
            });
        }
    }
}

impl Drop for OfferGuard {
    fn drop(&mut self) {
        self.end(OfferEnd::Dropped);
    }
}
