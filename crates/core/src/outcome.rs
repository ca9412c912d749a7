//! Outcomes of requests that did not end with an answer of their target.

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
    /// No queue slot is free for this priority.
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
    /// The target does not answer, or asked for a backoff.
    TargetDown,
    /// No target is known, or none could be reached.
    Unreachable,
    /// The preset in force does not admit this priority.
    PresetClosed,
    /// The retry budget is used up.
    RetryBudget,
    /// The entry is at its limit of concurrent requests.
    EntryBusy,
    /// The agent holds no lease for its target.
    NoLease,
    /// The request is quarantined because several targets ended while they ran it.
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
/// The fields are private, so only the constructors below create one, each for a situation in which no
/// byte can have reached a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRunProof {
    reason: RefusalReason,
    retry_after: Option<Duration>,
}

impl NotRunProof {
    /// The agent refused, which it does only before it sends anything to its target.
    pub fn from_refusal(refusal: &Refusal) -> Self {
        Self { reason: refusal.reason, retry_after: refusal.retry_after }
    }

    /// No agent was ever offered the request.
    pub fn never_offered(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { reason, retry_after }
    }

    /// The agent reserved a slot but was never sent a `Run` frame, so the reservation expires.
    pub fn never_released() -> Self {
        Self { reason: RefusalReason::Unreachable, retry_after: None }
    }

    /// Reason why the request was not run.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Time after which a retry is useful, if known.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// An agent's refusal of an offer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the agent expects to accept offers again; `None` if unknown.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without `retry_after`.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// Sets `retry_after`.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
