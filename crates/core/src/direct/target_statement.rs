//! What targets state of themselves in their answers, beside limits: that they leave, and that they want no requests for
//! a time. It holds for one incarnation of a target, and for what one router sends there.

use super::{
    membership::TargetIncarnation,
    proof::{AnswerHead, MISDIRECTED, RunProof},
};
use crate::ids::Timestamp;
use std::time::Duration;

/// Longest time for which a target is left alone because it asked for it. A mistaken answer must not keep a target out
/// of use for good.
pub const REST_LIMIT: Duration = Duration::from_mins(10);
/// Status of an answer that turns a request away.
const UNAVAILABLE: u16 = 503;

/// Whether an answer says that the target which was asked leaves.
///
/// One that meets another incarnation's request may come from any target that has its address now, unless it names
/// itself.
pub fn states_leaving(head: &AnswerHead, asked: &TargetIncarnation) -> bool {
    let is_from_asked = match &head.instance {
        Some(instance) => *instance == asked.id,
        None => head.status != MISDIRECTED,
    };
    head.is_leaving && is_from_asked
}

/// For how long a target wants no requests, as it says in an answer that turns one away.
pub fn stated_rest(proof: RunProof, head: &AnswerHead) -> Option<Duration> {
    let is_turned_away = proof == RunProof::NotRun && head.status == UNAVAILABLE;
    head.rest.filter(|rest| is_turned_away && !rest.is_zero())
}

/// What one incarnation of a target has stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetStatement {
    /// Whether it leaves. An incarnation that leaves does not come back.
    pub is_leaving: bool,
    /// Until when it wants no requests.
    pub rest_until: Timestamp,
    /// When it last stated anything.
    pub as_of: Timestamp,
}

impl TargetStatement {
    /// The target leaves; returns whether that is news.
    pub fn record_leaving(&mut self, now: Timestamp) -> bool {
        self.as_of = self.as_of.max(now);
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// The target wants no requests for `rest`; returns whether it was not at rest before. A shorter time that is stated
    /// later does not cut a longer one: answers overtake each other.
    pub fn record_rest(&mut self, rest: Duration, now: Timestamp) -> bool {
        let is_new = !self.is_at_rest(now);
        self.as_of = self.as_of.max(now);
        self.rest_until = self.rest_until.max(now + rest.min(REST_LIMIT));
        is_new
    }

    /// Whether the target wants no requests now.
    pub fn is_at_rest(&self, now: Timestamp) -> bool {
        now < self.rest_until
    }

    /// Whether it has stated anything that may still hold.
    pub fn is_known(&self) -> bool {
        self.is_leaving || !self.rest_until.is_zero()
    }
}
