//! What the platform's store tells, heard by one router of an availability zone for all of them.
//!
//! Every answer of the store costs, and each change answers the watch of every router: with all of them
//! watching, its calls grow with the routers. One router of each zone, chosen alike by all without a
//! message, keeps the latest changes for the others, under the store's own revisions, so that a router
//! can go on at the store at any time, and loses nothing when it does.

use super::{
    call::{AdapterId, AdapterRelease},
    directory::watcher_rank,
    membership::{InstanceId, ListChange},
    messages::BootId,
    snapshot::ConfigRecord,
};

use crate::crashes::CrashReport;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

/// Rounds of changes that are kept. A router that asks at all asks several times a second, so that one
/// which is further behind was away and reads the whole kind.
const LOG_LENGTH: usize = 32;

/// A change of something that the store holds; the latest one of a thing says all.
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

/// The thing that changed.
#[derive(Eq, Hash, PartialEq)]
enum ChangedThing<'a> {
    Config,
    Target(&'a InstanceId),
    Release(&'a AdapterId),
    Crashes(BootId),
}

impl SharedChange {
    fn thing(&self) -> ChangedThing<'_> {
        match self {
            Self::Config(_) => ChangedThing::Config,
            Self::Target(change) => ChangedThing::Target(change.target()),
            Self::Release(release) => ChangedThing::Release(&release.adapter),
            Self::Crashes(report) => ChangedThing::Crashes(report.boot),
        }
    }
}

/// What has changed of one kind since a revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KindNews {
    /// Revision up to which this tells.
    pub revision: u64,
    /// Whether it is all that there is of the kind: the asker was too far behind for changes alone.
    pub is_whole: bool,
    /// Changes, the last one of each thing only.
    pub changes: Vec<SharedChange>,
}

/// What a router tells another that asks for changes of several kinds, in the order of the question.
pub type SharedNews = Vec<KindNews>;

/// Latest changes of one kind.
#[derive(Debug, Default)]
pub struct ChangeLog {
    is_direct: bool,
    /// Revision from which on all changes are kept.
    from: u64,
    revision: u64,
    rounds: VecDeque<(u64, Vec<SharedChange>)>,
}

impl ChangeLog {
    /// Whether this router follows the store itself, without interruption. Only then may others rely on
    /// it: two that rely on each other would both hear nothing for ever.
    pub fn is_direct(&self) -> bool {
        self.is_direct
    }

    /// All of the kind was read at `revision`; what changed before is not known.
    pub fn restart(&mut self, revision: u64) {
        *self = Self { is_direct: true, from: revision, revision, rounds: VecDeque::new() };
    }

    /// Changes after `from` and up to `revision` were heard of the store.
    pub fn append(&mut self, from: u64, revision: u64, changes: Vec<SharedChange>) {
        if !self.is_direct || from != self.revision {
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

    /// The store is not followed any more: changes from now on are missed.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// What has changed since `revision`; `None` if that is not known. One who asks may be ahead, having
    /// heard of the store itself.
    pub fn since(&self, revision: u64) -> Option<KindNews> {
        if !self.is_direct || revision < self.from {
            return None;
        }
        let newer = self.rounds.iter().rev().take_while(|(at, _)| *at > revision);
        let mut seen = HashSet::new();
        let mut changes = Vec::new();
        for change in newer.flat_map(|(_, round)| round.iter().rev()) {
            if seen.insert(change.thing()) {
                changes.push(change.clone());
            }
        }
        changes.reverse();
        Some(KindNews { revision: revision.max(self.revision), is_whole: false, changes })
    }
}

/// The router that follows the store for itself and for the `others` of its zone: the same one wherever
/// the same routers are known.
pub fn zone_watcher(own: SocketAddr, others: impl Iterator<Item = SocketAddr>) -> SocketAddr {
    others.chain([own]).max_by_key(watcher_rank).unwrap_or(own)
}
