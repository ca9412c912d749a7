//! Runs with an unknown outcome, kept until it is known whether their targets have ended.

use crate::{direct::membership::TargetIncarnation, fingerprint::SuspectId, ids::Timestamp};
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

/// Time for which an unresolved run is kept. A target that stops sending heartbeats leaves the list of targets
/// after three missed heartbeats, some 4 s; only then is it known that the target ended while it had the run.
const UNRESOLVED_RUN_TTL: Duration = Duration::from_secs(6);
/// Maximum number of unresolved runs that a router remembers; bounds memory at about 30 kB.
const UNRESOLVED_RUN_LIMIT: usize = 512;
/// Maximum number of targets whose last answer times a router remembers: more than a fleet has.
const ANSWER_LIMIT: usize = 2_048;
/// Maximum number of ended incarnations that a router remembers. They are needed for calls that break off
/// after the end of their target is known.
const ENDED_LIMIT: usize = 64;

/// Known state of a target's incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationPhase {
    /// No sign that it has ended.
    Alive,
    /// It is draining, so its end is planned and proves nothing about its calls.
    Draining,
    /// It has ended.
    Ended,
}

/// A run with an unknown outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnresolvedRun {
    /// What is accused if the target has ended.
    pub suspects: Vec<SuspectId>,
    /// Time at which it was sent to the target.
    pub sent: Timestamp,
    /// Whether the connection to the target broke; otherwise the caller left or its time ran out.
    pub is_broken: bool,
}

#[derive(Debug)]
struct TrackedRun {
    target: TargetIncarnation,
    run: UnresolvedRun,
    /// Time from which this process could no longer observe the run.
    closed: Timestamp,
}

/// Unresolved runs of this process's calls, and the times of answers and ends that decide which of the runs
/// were under way when a target ended.
#[derive(Debug, Default)]
pub struct UnresolvedRuns {
    runs: VecDeque<TrackedRun>,
    /// Incarnations that have ended, with the times of their ends, oldest first.
    ended: VecDeque<(TargetIncarnation, Timestamp)>,
    /// Time of each target's last answer.
    answers: HashMap<TargetIncarnation, Timestamp>,
}

impl UnresolvedRuns {
    /// Records that a target answered, so no run that broke off before has ended it.
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

    /// Adds a run whose outcome is unknown. If the target is known to have ended, the run is not added, and
    /// the time at which the target ended is returned.
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
        if self.runs.len() >= UNRESOLVED_RUN_LIMIT {
            self.runs.pop_front();
        }
        self.runs.push_back(TrackedRun { target: target.clone(), run, closed: now });
        None
    }

    /// Records that the target has ended, and returns the runs that may have ended it.
    ///
    /// The target counts as ended at the time when the first run broke off after its last answer. Runs that
    /// broke off earlier are not suspects. Calls sent later are not suspects either: a proxy may still accept
    /// connections for a target that has ended.
    pub fn take_ended(&mut self, target: &TargetIncarnation, now: Timestamp) -> Vec<UnresolvedRun> {
        let (taken, kept): (VecDeque<TrackedRun>, VecDeque<TrackedRun>) =
            self.runs.drain(..).partition(|tracked| tracked.target == *target);
        self.runs = kept;
        let last_answer = self.answers.remove(target).unwrap_or_default();
        let is_last =
            |tracked: &&TrackedRun| tracked.run.is_broken && tracked.closed >= last_answer;
        let ended = taken.iter().filter(is_last).map(|tracked| tracked.closed).min().unwrap_or(now);
        if self.ended.len() >= ENDED_LIMIT {
            self.ended.pop_front();
        }
        self.ended.push_back((target.clone(), ended));
        let is_suspect = |tracked: &&TrackedRun| {
            tracked.run.sent <= ended && (!tracked.run.is_broken || tracked.closed >= ended)
        };
        let accused = taken.iter().filter(is_suspect);
        accused.map(|tracked| tracked.run.clone()).collect()
    }

    /// Drops runs that are too old or whose targets are draining; returns the targets that have ended.
    pub fn resolve(
        &mut self,
        phase: impl Fn(&TargetIncarnation) -> IncarnationPhase,
        now: Timestamp,
    ) -> Vec<TargetIncarnation> {
        self.runs.retain(|run| now.saturating_sub(run.closed) < UNRESOLVED_RUN_TTL);
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
