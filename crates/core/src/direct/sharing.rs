//! What the platform's store tells, passed on from router to router in each availability zone.
//!
//! Every answer of the store costs, and each change answers the watch of every router: with all of them
//! watching, its calls grow with the routers. One router of each zone watches; a few relays ask it, and all
//! others ask a relay, so that nobody answers more than about the square root of the zone's routers. All
//! choose alike without a message. Changes are passed on under the store's own revisions, so that a router
//! can go on at the store or at another router at any time, and loses nothing when it does.

pub mod order;
pub mod source;

use super::{
    call::{AdapterId, AdapterRelease},
    config::record::ConfigRecord,
    membership::{InstanceId, ListChange},
};
use crate::{crashes::CrashReport, ids::BootId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    sync::Arc,
};

/// Rounds of changes that are kept. A router that asks at all asks several times a second, so that one
/// which is further behind was away and reads the whole kind.
const LOG_LENGTH: usize = 32;
/// Hints in one answer. Engines' entries change with every adapter that comes or goes, so that hints would
/// grow with all engines; beyond this a router learns what an engine holds when it asks its loader.
const HINT_LIMIT: usize = 32;

/// A change of something that the store holds; the latest one of an object says all.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SharedChange {
    /// The configuration.
    Config(Arc<ConfigRecord>),
    /// A target of the list.
    Target(ListChange),
    /// The newest version of an adapter.
    Release(AdapterRelease),
    /// What a router tells of crashes.
    Crashes(Arc<CrashReport>),
}

/// The object that changed.
#[derive(Eq, Hash, PartialEq)]
enum ChangeKey<'a> {
    Config,
    Target(&'a InstanceId),
    Release(&'a AdapterId),
    Crashes(BootId),
}

impl SharedChange {
    fn key(&self) -> ChangeKey<'_> {
        match self {
            Self::Config(_) => ChangeKey::Config,
            Self::Target(change) => ChangeKey::Target(change.target()),
            Self::Release(release) => ChangeKey::Release(&release.adapter),
            Self::Crashes(report) => ChangeKey::Crashes(report.boot),
        }
    }
}

/// What has changed of one kind since a revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KindDelta {
    /// Revision up to which this tells.
    pub revision: u64,
    /// Whether it is all that there is of the kind, as the asker was too far behind for changes alone.
    #[serde(rename = "is_whole")]
    pub is_snapshot: bool,
    /// Changes, the last one of each object only.
    pub changes: Vec<SharedChange>,
}

/// What a router tells another that asks for changes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SharedDelta {
    /// Time in ms since the router at the head of the line last heard of the store.
    pub age_ms: u32,
    /// Time in ms since that router could read the list of targets again, if it had lost it shortly before.
    pub regained_ms: Option<u32>,
    /// Changes by kind, in the order of the question.
    pub kinds: Vec<KindDelta>,
}

/// Whether a router can do without a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeImportance {
    /// It must be passed on.
    Required,
    /// It saves a question to a loader.
    Hint,
}

/// A change as the log keeps it.
#[derive(Clone, Debug)]
pub struct LoggedChange {
    /// The change.
    pub change: SharedChange,
    /// Whether it must be passed on.
    pub importance: ChangeImportance,
}

/// Latest changes of one kind.
#[derive(Debug, Default)]
pub struct ChangeLog {
    is_followed: bool,
    /// Revision from which on all changes are kept.
    from: u64,
    revision: u64,
    rounds: VecDeque<(u64, Vec<LoggedChange>)>,
}

impl ChangeLog {
    /// Whether this router follows the kind without interruption. Only then may others rely on it.
    pub fn is_followed(&self) -> bool {
        self.is_followed
    }

    /// All of the kind was read at `revision`; what changed before is not known.
    pub fn restart(&mut self, revision: u64) {
        *self = Self { is_followed: true, from: revision, revision, rounds: VecDeque::new() };
    }

    /// Changes after `from` and up to `revision` were heard.
    pub fn append(&mut self, from: u64, revision: u64, changes: Vec<LoggedChange>) {
        if !self.is_followed || from != self.revision {
            self.restart(from);
        }
        self.revision = revision;
        if changes.is_empty() {
            return;
        }
        self.rounds.push_back((revision, changes));
        if self.rounds.len() > LOG_LENGTH
            && let Some((dropped, _)) = self.rounds.pop_front()
        {
            self.from = dropped;
        }
    }

    /// Revision up to which changes were heard.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The kind is not followed any more: changes from now on are missed.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// Whether there are changes for one that knows all up to `revision`.
    pub fn has_changes(&self, revision: u64) -> bool {
        let is_newer = self.rounds.back().is_some_and(|(at, _)| *at > revision);
        !self.is_followed || revision < self.from || is_newer
    }

    /// What has changed since `revision`; `None` if that is not known. One who asks may be ahead, having
    /// heard of the store itself.
    pub fn since(&self, revision: u64) -> Option<KindDelta> {
        if !self.is_followed || revision < self.from {
            return None;
        }
        let newer = self.rounds.iter().rev().take_while(|(at, _)| *at > revision);
        let newest_first = newer.flat_map(|(_, round)| round.iter().rev());
        let mut changes = without_excess_hints(latest_of_each(newest_first));
        changes.reverse();
        Some(KindDelta { revision: revision.max(self.revision), is_snapshot: false, changes })
    }
}

/// The latest change of each object, newest first. It is required if an earlier change of the object was.
fn latest_of_each<'a>(newest_first: impl Iterator<Item = &'a LoggedChange>) -> Vec<LoggedChange> {
    let mut latest: Vec<LoggedChange> = Vec::new();
    let mut positions = HashMap::new();
    for logged in newest_first {
        match positions.entry(logged.change.key()) {
            Entry::Vacant(position) => {
                position.insert(latest.len());
                latest.push(logged.clone());
            }
            Entry::Occupied(position) if logged.importance == ChangeImportance::Required => {
                latest[*position.get()].importance = ChangeImportance::Required;
            }
            Entry::Occupied(_) => {}
        }
    }
    latest
}

fn without_excess_hints(newest_first: Vec<LoggedChange>) -> Vec<SharedChange> {
    let mut hints = 0;
    let kept = newest_first.into_iter().filter(|logged| {
        hints += usize::from(logged.importance == ChangeImportance::Hint);
        logged.importance == ChangeImportance::Required || hints <= HINT_LIMIT
    });
    kept.map(|logged| logged.change).collect()
}
