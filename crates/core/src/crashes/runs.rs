//! Runs whose ends a router or agent does not know, until it shows whether their targets have ended.

use crate::{direct::membership::TargetIncarnation, fingerprint::CallFingerprint, ids::Timestamp};
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

/// Time for which a run whose end is unknown may prove to have been under way when its target ended: a
/// target that falls silent leaves the list after three missed heartbeats, some 4 s.
const UNRESOLVED_RUN_TTL: Duration = Duration::from_secs(6);
/// Runs with an unknown end that a router remembers; bounds memory at about 30 kB.
const OPEN_RUN_LIMIT: usize = 512;
/// Targets whose last answers a router remembers: more than a fleet has.
const ANSWER_LIMIT: usize = 2_048;
/// Ended incarnations that a router remembers, for calls that break off a little later than the first.
const ENDED_LIMIT: usize = 64;

/// What is known of a target's incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationPhase {
    /// It lives, as far as is known.
    Alive,
    /// It is draining, so that its end tells nothing of its calls.
    Draining,
    /// It has ended.
    Ended,
}

/// A run whose end is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnresolvedRun {
    /// The call.
    pub call: CallFingerprint,
    /// When it was sent.
    pub sent: Timestamp,
    /// Whether its target broke it off; otherwise nobody waited any longer.
    pub is_broken: bool,
}

#[derive(Debug)]
struct LeftRun {
    target: TargetIncarnation,
    run: UnresolvedRun,
    left: Timestamp,
}

/// Runs of this router's calls whose ends are not known, until it shows whether their targets have ended.
#[derive(Debug, Default)]
pub struct UnresolvedRuns {
    runs: VecDeque<LeftRun>,
    /// Incarnations that have ended, and when.
    ended: VecDeque<(TargetIncarnation, Timestamp)>,
    /// When each target last answered.
    answers: HashMap<TargetIncarnation, Timestamp>,
}

impl UnresolvedRuns {
    /// A target answered: it lives, whatever it broke off before.
    pub fn note_answer(&mut self, target: &TargetIncarnation, now: Timestamp) {
        if self.answers.len() >= ANSWER_LIMIT {
            self.answers.retain(|_, at| now.saturating_sub(*at) < UNRESOLVED_RUN_TTL);
        }
        if let Some(at) = self.answers.get_mut(target) {
            *at = now;
        } else if self.answers.len() < ANSWER_LIMIT {
            self.answers.insert(target.clone(), now);
        }
    }

    /// A call left a target without a sign of how its run ended. Returns when the target ended, if that is
    /// known.
    pub fn add(
        &mut self,
        target: &TargetIncarnation,
        run: UnresolvedRun,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let ended = self.ended.iter().find(|(incarnation, _)| incarnation == target);
        if let Some((_, at)) = ended {
            return Some(*at);
        }
        if self.runs.len() >= OPEN_RUN_LIMIT {
            self.runs.pop_front();
        }
        self.runs.push_back(LeftRun { target: target.clone(), run, left: now });
        None
    }

    /// The target has ended; returns the calls that may have ended it.
    ///
    /// It ended when it first broke a run off after its last answer. Runs that it had broken off before,
    /// and calls that were sent only afterwards, as through a proxy that goes on taking connections for
    /// it, have nothing to do with its end.
    pub fn take_ended(
        &mut self,
        target: &TargetIncarnation,
        now: Timestamp,
    ) -> Vec<CallFingerprint> {
        let (taken, kept): (VecDeque<LeftRun>, VecDeque<LeftRun>) =
            self.runs.drain(..).partition(|left| left.target == *target);
        self.runs = kept;
        let last_answer = self.answers.remove(target).unwrap_or_default();
        let is_last = |left: &&LeftRun| left.run.is_broken && left.left >= last_answer;
        let ended = taken.iter().filter(is_last).map(|left| left.left).min().unwrap_or(now);
        if self.ended.len() >= ENDED_LIMIT {
            self.ended.pop_front();
        }
        self.ended.push_back((target.clone(), ended));
        let is_suspect =
            |left: &&LeftRun| left.run.sent <= ended && (!left.run.is_broken || left.left >= ended);
        taken.iter().filter(is_suspect).map(|left| left.run.call).collect()
    }

    /// Drops runs that are too old or whose targets drain, and returns the targets that have ended.
    pub fn resolve(
        &mut self,
        phase: impl Fn(&TargetIncarnation) -> IncarnationPhase,
        now: Timestamp,
    ) -> Vec<TargetIncarnation> {
        self.runs.retain(|run| now.saturating_sub(run.left) < UNRESOLVED_RUN_TTL);
        let incarnations: BTreeSet<TargetIncarnation> =
            self.runs.iter().map(|run| run.target.clone()).collect();
        let mut ended = Vec::new();
        for incarnation in incarnations {
            match phase(&incarnation) {
                IncarnationPhase::Alive => {}
                IncarnationPhase::Draining => self.runs.retain(|run| run.target != incarnation),
                IncarnationPhase::Ended => ended.push(incarnation),
            }
        }
        ended
    }
}
