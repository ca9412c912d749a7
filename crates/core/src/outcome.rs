//! What is known of a request that did not end with its target's answer.

use crate::protocol::RefusalReason;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a request that failed may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It was not run, proven by a [`NotRunProof`].
    NotRun,
    /// It may have run.
    Unknown,
}

/// Evidence that a request was not run.
///
/// The fields are private: the only ways to make one are the constructors below, each of which
/// names a situation in which no byte can have reached a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRunProof {
    reason: RefusalReason,
    retry_after: Option<Duration>,
}

impl NotRunProof {
    /// The agent refused, which it does only before it hands anything to its target.
    pub fn from_refusal(refusal: &Refusal) -> Self {
        Self { reason: refusal.reason, retry_after: refusal.retry_after }
    }

    /// No agent was ever offered the request.
    pub fn never_offered(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { reason, retry_after }
    }

    /// The agent reserved a place but was never told to run, so the reservation lapses.
    pub fn never_released() -> Self {
        Self { reason: RefusalReason::Unreachable, retry_after: None }
    }

    /// Why the request was not run.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// When it is worth asking again.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// An agent's refusal of an offer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the agent expects to have room.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses without a hint.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
