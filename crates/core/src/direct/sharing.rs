//! Changes in the platform's store, passed on from router to router within each availability zone.
//!
//! Every answer of the store costs, and each change is an answer to every watch: if all routers watched, the
//! calls would grow with their number. So one router of each zone watches, a few relays query it, and all
//! others query a relay; no router answers more than about the square root of the zone's routers. All compute
//! the same roles without exchanging messages. Changes keep the store's revisions, so that a router can switch
//! to the store or to another router at any time without missing a change.

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
    fmt::{self, Display, Formatter},
    sync::Arc,
};

/// Era of the store's history. It rises each time the store returns from an older copy of itself; revisions of the lost
/// history are then given out again. 0 if the store does not report it.
pub type StoreEra = u64;

/// Position in the store's changes. Positions of a later era are later, whatever their revisions.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    /// Era of the revision.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: u64,
}

impl StorePosition {
    /// A position in an era.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl Display for StorePosition {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of era {}", self.revision, self.era)
    }
}

/// Rounds of changes that are kept. Routers query several times a second; one that is further behind was
/// disconnected and needs a snapshot.
const LOG_LENGTH: usize = 32;
/// Maximum number of hints in one answer. An engine's entry changes with every adapter that is loaded or unloaded,
/// so without a limit the number of hints would grow with the number of engines. A router that gets no hint about an
/// engine requests a report from that engine's loader.
const HINT_LIMIT: usize = 32;

/// A change of an object in the store; it holds the whole object, so only the latest one matters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SharedChange {
    /// The configuration.
    Config(Arc<ConfigRecord>),
    /// A target of the list.
    Target(ListChange),
    /// The newest version of an adapter.
    Release(AdapterRelease),
    /// A router's report of crashes.
    Crashes(Arc<CrashReport>),
}

/// Identity of the object that changed.
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

/// Changes of one kind of object since a revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KindDelta {
    /// Revision up to which the changes are complete.
    pub revision: u64,
    /// Era of the revision; sent beside the delta, because older builds do not know it.
    #[serde(skip)]
    pub era: StoreEra,
    /// Whether the changes are all objects of the kind, since the querying router was too far behind for a delta.
    #[serde(rename = "is_whole")]
    pub is_snapshot: bool,
    /// Only the last change of each object.
    pub changes: Vec<SharedChange>,
}

impl KindDelta {
    /// Position up to which the changes are complete.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.revision)
    }
}

/// A router's answer to another router that queries changes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SharedDelta {
    /// Time in ms since the watching router last had an answer from the store.
    pub age_ms: u32,
    /// Time in ms since the watching router could read the list of targets again, if it lost the store shortly
    /// before.
    pub regained_ms: Option<u32>,
    /// Changes by kind, in the order of the query.
    pub kinds: Vec<KindDelta>,
}

/// Whether a router needs a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeImportance {
    /// Routers need the change, so a relay must pass it on.
    Required,
    /// The change only saves a router a report request to a loader.
    Hint,
}

/// A change with its importance, as the log keeps it.
#[derive(Clone, Debug)]
pub struct LoggedChange {
    /// The changed object.
    pub change: SharedChange,
    /// Whether it must be passed on.
    pub importance: ChangeImportance,
}

/// Latest changes of one kind of object.
#[derive(Debug, Default)]
pub struct ChangeLog {
    is_followed: bool,
    /// Position after which all changes are kept; all positions of a log are of one era.
    from: StorePosition,
    position: StorePosition,
    rounds: VecDeque<(StorePosition, Vec<LoggedChange>)>,
}

impl ChangeLog {
    /// Whether this router follows the kind without gaps. Only then may other routers query it.
    pub fn is_followed(&self) -> bool {
        self.is_followed
    }

    /// Restarts the log at a snapshot of `position`; earlier changes are not known.
    pub fn restart(&mut self, position: StorePosition) {
        *self = Self { is_followed: true, from: position, position, rounds: VecDeque::new() };
    }

    /// Appends the changes after `from` up to `position`; restarts the log if `from` leaves a gap, or is of another
    /// era: a router may know changes of the lost history that this one does not, so it needs a snapshot.
    pub fn append(
        &mut self,
        from: StorePosition,
        position: StorePosition,
        changes: Vec<LoggedChange>,
    ) {
        if from.era != position.era {
            return self.restart(position);
        }
        if !self.is_followed || from != self.position {
            self.restart(from);
        }
        self.position = position;
        if changes.is_empty() {
            return;
        }
        self.rounds.push_back((position, changes));
        if self.rounds.len() > LOG_LENGTH
            && let Some((dropped, _)) = self.rounds.pop_front()
        {
            self.from = dropped;
        }
    }

    /// Position up to which all changes were received.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Clears the log: the kind is no longer followed, and changes are missed from now on.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// Whether a router that knows all changes up to `known` is due an answer: there are newer changes, or the log
    /// does not reach back that far.
    pub fn has_changes(&self, known: StorePosition) -> bool {
        let is_newer = self.rounds.back().is_some_and(|(at, _)| *at > known);
        !self.is_followed || known < self.from || is_newer
    }

    /// Changes since `known`; `None` if the log does not reach back that far. The querying router may be
    /// ahead if it has queried the store itself.
    pub fn since(&self, known: StorePosition) -> Option<KindDelta> {
        if !self.is_followed || known < self.from {
            return None;
        }
        let newer = self.rounds.iter().rev().take_while(|(at, _)| *at > known);
        let newest_first = newer.flat_map(|(_, round)| round.iter().rev());
        let mut changes = without_excess_hints(latest_of_each(newest_first));
        changes.reverse();
        let StorePosition { era, revision } = known.max(self.position);
        Some(KindDelta { revision, era, is_snapshot: false, changes })
    }
}

/// The latest change of each object, newest first. It is required if any logged change of the object is.
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
