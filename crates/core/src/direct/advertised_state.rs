//! What targets advertise of themselves in their answers, beside limits: that they drain, and that they want no requests
//! for a time. It holds for one incarnation of a target, and for what one router sends there.

use super::{
    membership::TargetIncarnation,
    proof::{AnswerHead, MISDIRECTED, RunProof},
};
use crate::ids::Timestamp;
use std::time::Duration;

/// Longest time for which a target is left alone because it asked for it. A mistaken answer must not keep a target out
/// of use for good.
pub const MAX_BACKOFF: Duration = Duration::from_mins(10);
/// Status of an answer that turns a request away.
const UNAVAILABLE: u16 = 503;

/// Whether an answer says that the target which was asked drains.
///
/// One that meets another incarnation's request may come from any target that has its address now, unless it names
/// itself.
pub fn advertises_draining(head: &AnswerHead, asked: &TargetIncarnation) -> bool {
    let is_from_asked = match &head.instance {
        Some(instance) => *instance == asked.id,
        None => head.status != MISDIRECTED,
    };
    head.is_draining && is_from_asked
}

/// For how long a target asks to back off, as it says in an answer that turns one away.
pub fn requested_backoff(proof: RunProof, head: &AnswerHead) -> Option<Duration> {
    let is_turned_away = proof == RunProof::NotRun && head.status == UNAVAILABLE;
    head.backoff.filter(|backoff| is_turned_away && !backoff.is_zero())
}

/// What one incarnation of a target has advertised.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdvertisedState {
    /// Whether it drains. An incarnation that drains does not come back.
    pub is_draining: bool,
    /// Until when it wants no requests.
    pub backoff_until: Timestamp,
    /// When it last advertised anything.
    pub as_of: Timestamp,
}

impl AdvertisedState {
    /// The target drains; returns whether that is new.
    pub fn record_draining(&mut self, now: Timestamp) -> bool {
        self.as_of = self.as_of.max(now);
        !std::mem::replace(&mut self.is_draining, true)
    }

    /// The target wants no requests for `backoff`; returns whether it was not backing off before. A shorter time that is
    /// advertised later does not cut a longer one: answers overtake each other.
    pub fn record_backoff(&mut self, backoff: Duration, now: Timestamp) -> bool {
        let is_new = !self.is_backing_off(now);
        self.as_of = self.as_of.max(now);
        self.backoff_until = self.backoff_until.max(now + backoff.min(MAX_BACKOFF));
        is_new
    }

    /// Whether the target wants no requests now.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Whether it has advertised anything that may still hold.
    pub fn is_known(&self) -> bool {
        self.is_draining || !self.backoff_until.is_zero()
    }
}
