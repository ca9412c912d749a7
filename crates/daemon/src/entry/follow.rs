//! An offer under way, and the word to the decisions of how it ends.

use super::{
    decisions::{DecisionCommand, DecisionSender, OfferEnd},
    offers::OfferHandle,
};
use plantain_core::{ids::TargetName, protocol::TargetReport};
use tokio::sync::mpsc;

/// An offer under way.
pub(super) struct OfferFollower {
    /// Events from the agent, and the release.
    pub(super) handle: OfferHandle,
    /// Tells the decisions how it ends.
    pub(super) guard: OfferGuard,
    /// Whether a reserved request was released to its target.
    pub(super) released: bool,
}

/// Tells the decisions duty how an offer ended, also when the caller went away and the exchange was
/// dropped in the middle: otherwise the target would seem busier with each caller that leaves.
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
