//! What is known of a request that did not end with its target's answer.

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

/// Why an agent, or the entry itself, did not run a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The target or the process is stopping.
    Leaving,
    /// No queue place is free at this priority.
    QueueFull,
    /// The deadline cannot be met.
    TooLate,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The sender's configuration is older than the agent's.
    ConfigBehind,
    /// The agent does not serve this base model or service.
    WrongTarget,
    /// The two ends speak different protocol versions.
    WrongProtocol,
    /// The target does not answer, or wants no requests now.
    TargetDown,
    /// No target is known, or none could be reached.
    Unreachable,
    /// The preset in force does not admit this priority.
    PresetClosed,
    /// The retry budget is used up.
    RetryBudget,
    /// The entry has as many requests as it may hold.
    EntryBusy,
    /// The agent holds no lease for its target.
    NoLease,
    /// Targets have ended while they ran this request before.
    HeldBack,
}

impl RefusalReason {
    /// The name used in errors, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::QueueFull => "queue_full",
            Self::TooLate => "too_late",
            Self::LoadFailed => "load_failed",
            Self::ConfigBehind => "config_behind",
            Self::WrongTarget => "wrong_target",
            Self::WrongProtocol => "wrong_protocol",
            Self::TargetDown => "target_down",
            Self::Unreachable => "unreachable",
            Self::PresetClosed => "preset_closed",
            Self::RetryBudget => "retry_budget",
            Self::EntryBusy => "entry_busy",
            Self::NoLease => "no_lease",
            Self::HeldBack => "held_back",
        }
    }
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
