//! What an answer, or its absence, proves about the run of a call. No other module decides this.

use super::{
    call::CallId,
    config::CallKind,
    membership::{InstanceId, TargetIncarnation},
    target_limit::AdvertisedLimit,
};
use std::time::Duration;

/// The head of a target's answer, decoded from the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Id of the call that the answer is for, as the target echoes it.
    pub echoed_id: Option<CallId>,
    /// Whether the target signed it as the outcome of a run.
    pub is_signed: bool,
    /// Whether the target declares that it did not run the call.
    pub declares_not_run: bool,
    /// Id of the target that answered; `None` if the answer does not state it.
    pub instance: Option<InstanceId>,
    /// Limit on calls that the target advertises.
    pub limit: AdvertisedLimit,
    /// Whether the target advertises that it drains.
    pub is_draining: bool,
    /// Time for which the target asks callers to back off, if it does.
    pub backoff: Option<Duration>,
}

impl AnswerHead {
    /// Whether the answer comes from another target than the one that the call was sent to.
    pub fn is_of_other(&self, expected: &TargetIncarnation) -> bool {
        self.instance.as_ref().is_some_and(|instance| *instance != expected.id)
    }
}

/// Status of an answer to a call that reached another target, version or model than the one it requires.
pub const MISDIRECTED: u16 = 421;
/// Statuses that guarantee a caller that its call was not run and never will be.
const NOT_RUN_STATUSES: [u16; 4] = [408, MISDIRECTED, 429, 503];

/// What an answer, or its absence, proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunProof {
    /// The call ran and this is its success.
    Succeeded,
    /// The call ran and failed at this target; a retry at another may succeed.
    Failed,
    /// The call did not run and will not.
    NotRun,
    /// The target did not run the call because it is another incarnation, or holds another model or version.
    Misdirected,
    /// Nothing is proven: the call may have run.
    Unknown,
}

/// Returns what the head of an answer proves about the call `id`.
///
/// A target may deliver an earlier call's answer in place of the next one. The echoed id shows it; without
/// the check a caller would get another caller's answer.
pub fn classify_answer(id: &str, head: &AnswerHead) -> RunProof {
    if head.echoed_id.as_deref().is_some_and(|echoed| echoed != id) {
        return RunProof::Unknown;
    }
    if head.status == MISDIRECTED {
        return RunProof::Misdirected;
    }
    if head.declares_not_run {
        return RunProof::NotRun;
    }
    match head.status {
        200..=299 if head.is_signed && head.echoed_id.is_some() => RunProof::Succeeded,
        200..=299 => RunProof::Unknown,
        _ => RunProof::Failed,
    }
}

/// The limit that an answer advertises for its target, if it is reliable.
///
/// Only the outcome of a run can prove that there is no limit: a refusal may come from a part of the target that
/// does not know the limit.
pub fn limit_from_answer(proof: RunProof, head: &AnswerHead) -> Option<AdvertisedLimit> {
    let is_outcome = matches!(proof, RunProof::Succeeded | RunProof::Failed) && head.is_signed;
    match head.limit {
        _ if proof == RunProof::Unknown => None,
        AdvertisedLimit::Unlimited if !is_outcome => None,
        advertised => Some(advertised),
    }
}

/// How a failed run is answered to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureReply {
    /// The target's answer, unchanged.
    AsIs,
    /// The router's own status, which guarantees nothing.
    Unknown,
}

/// Decides whether a failed run's answer may be passed to the caller.
///
/// A target's own 503 after it began to run a call would guarantee that the call was not run, and the caller
/// would send it again.
pub fn failure_reply(kind: CallKind, status: u16) -> FailureReply {
    if !kind.is_retryable() && NOT_RUN_STATUSES.contains(&status) {
        FailureReply::Unknown
    } else {
        FailureReply::AsIs
    }
}

/// Whether a send that ended with `proof` counts as a run: it ran or may have run.
pub fn counts_as_run(proof: RunProof) -> bool {
    !matches!(proof, RunProof::NotRun | RunProof::Misdirected)
}

/// What is answered to the caller of a call that no target answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalOutcome {
    /// It was not run and never will be.
    NotRun,
    /// It may have run, and its time limit has passed.
    TimedOut,
    /// It may have run.
    Unknown,
}

/// The final outcome of a call that no target answered: `runs` of its sends count as runs, and `has_time` is false
/// once its time limit has passed.
pub fn final_outcome(runs: u32, has_time: bool) -> FinalOutcome {
    match (runs, has_time) {
        (0, _) => FinalOutcome::NotRun,
        (_, false) => FinalOutcome::TimedOut,
        (_, true) => FinalOutcome::Unknown,
    }
}

/// Whether a call may be sent to another target after `proof`; `runs` counts the targets that ran the call or may have
/// run it.
pub fn may_send_again(proof: RunProof, kind: CallKind, runs: u32, max_targets: u32) -> bool {
    match proof {
        RunProof::Succeeded => false,
        RunProof::NotRun | RunProof::Misdirected => runs < max_targets.max(1),
        RunProof::Failed | RunProof::Unknown => kind.is_retryable() && runs < max_targets.max(1),
    }
}
