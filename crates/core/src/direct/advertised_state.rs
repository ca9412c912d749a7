//! Draining and backoff, as targets advertise them in their answers. The state is kept for each incarnation of a
//! target and is local to one router.

use super::{
    membership::TargetIncarnation,
    proof::{AnswerHead, MISDIRECTED, RunProof},
};
use crate::ids::Timestamp;
use std::time::Duration;

/// Longest backoff that a target may request. A faulty answer must not exclude a target forever.
pub const MAX_BACKOFF: Duration = Duration::from_mins(10);
/// Status of an answer that rejects a request without running it.
const UNAVAILABLE: u16 = 503;

/// Whether an answer advertises that the target of the request drains.
///
/// An answer that rejects the request as misdirected may come from any target that has the address now, and counts
/// only if it names the target.
pub fn advertises_draining(head: &AnswerHead, expected: &TargetIncarnation) -> bool {
    let is_from_expected = match &head.instance {
        Some(instance) => *instance == expected.id,
        None => head.status != MISDIRECTED,
    };
    head.is_draining && is_from_expected
}

/// Backoff that a target requests in an answer that rejects a request without running it.
pub fn requested_backoff(proof: RunProof, head: &AnswerHead) -> Option<Duration> {
    let is_rejected = proof == RunProof::NotRun && head.status == UNAVAILABLE;
    head.backoff.filter(|backoff| is_rejected && !backoff.is_zero())
}

/// Draining and backoff that one incarnation of a target has advertised.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdvertisedState {
    /// Whether it drains. An incarnation that drains does not come back.
    pub is_draining: bool,
    /// End of its backoff; zero if it has requested none.
    pub backoff_until: Timestamp,
    /// When it last advertised anything.
    pub as_of: Timestamp,
}

impl AdvertisedState {
    /// Records that the target drains; returns whether that is new.
    pub fn record_draining(&mut self, now: Timestamp) -> bool {
        self.as_of = self.as_of.max(now);
        !std::mem::replace(&mut self.is_draining, true)
    }

    /// Records a requested backoff; returns whether the target was not backing off before. A shorter backoff that
    /// arrives later does not cut a longer one, as answers may overtake each other.
    pub fn record_backoff(&mut self, backoff: Duration, now: Timestamp) -> bool {
        let is_new = !self.is_backing_off(now);
        self.as_of = self.as_of.max(now);
        self.backoff_until = self.backoff_until.max(now + backoff.min(MAX_BACKOFF));
        is_new
    }

    /// Whether the target is to get no requests now.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Whether it has advertised anything that may still hold.
    pub fn is_known(&self) -> bool {
        self.is_draining || !self.backoff_until.is_zero()
    }
}
