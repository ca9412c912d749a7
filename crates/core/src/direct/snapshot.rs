//! A router's state of the platform, and the snapshot of it for a router that cannot reach the platform itself.

use super::{
    call::{AdapterId, AdapterRelease},
    config::{ConfigNumber, RouteConfig, record::ConfigRecord},
    membership::{InstanceId, ListChange, TargetEntry, TargetIncarnation},
    sharing::{ChangeImportance, LoggedChange, SharedChange},
};
use crate::{
    crashes::{CrashReport, CrashReports},
    ids::{AdapterVersion, Timestamp},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// Hash of a list of targets; independent of their order.
pub type ListHash = u64;

/// A router's answer to another router that queries a snapshot.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerSnapshot {
    /// Whether the answering router follows the platform without gaps.
    pub is_current: bool,
    /// The configuration, if it is newer than that of the querying router.
    pub config: Option<ConfigRecord>,
    /// The list of targets; `None` if it was never read, or the querying router has this list already.
    pub targets: Option<Vec<Arc<TargetEntry>>>,
    /// Newest versions of adapters.
    pub releases: Vec<(Arc<str>, Arc<str>, AdapterVersion)>,
    /// Routers' reports of crashes.
    pub crashes: Vec<Arc<CrashReport>>,
    /// Revision up to which the answering router knows each kind of object; `None` for a kind that it has not read.
    pub revisions: Vec<Option<u64>>,
}

/// The platform's state as a router has read it so far, from the platform or from another router.
#[derive(Debug, Default)]
pub struct FollowedState {
    config: Option<Arc<RouteConfig>>,
    targets: HashMap<InstanceId, Arc<TargetEntry>>,
    has_targets: bool,
    releases: HashMap<AdapterId, AdapterVersion>,
    crashes: CrashReports,
    /// Crash reports that the store holds, by router. A report that it has lost stays in `crashes`.
    stored_crashes: HashMap<Arc<str>, Arc<CrashReport>>,
}

impl FollowedState {
    /// Number of the configuration; 0 before there is one.
    pub fn config_number(&self) -> ConfigNumber {
        self.config.as_ref().map_or(0, |config| config.number)
    }

    /// Whether a configuration and a list of targets have been read.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.has_targets
    }

    /// Applies a configuration unless it is older.
    pub fn take_config(&mut self, config: &Arc<RouteConfig>) {
        if config.number >= self.config_number() {
            self.config = Some(Arc::clone(config));
        }
    }

    /// Replaces the list of targets.
    pub fn take_list(&mut self, entries: &[Arc<TargetEntry>]) {
        let entries =
            entries.iter().map(|entry| (Arc::clone(&entry.incarnation.id), Arc::clone(entry)));
        self.targets = entries.collect();
        self.has_targets = true;
    }

    /// Applies a change of the list.
    pub fn take_change(&mut self, change: &ListChange) {
        match change {
            ListChange::Put(entry) => {
                self.targets.insert(Arc::clone(&entry.incarnation.id), Arc::clone(entry));
            }
            ListChange::Removed(id) => {
                self.targets.remove(id);
            }
        }
    }

    /// Whether this incarnation of a target is in the list.
    pub fn knows_target(&self, incarnation: &TargetIncarnation) -> bool {
        self.targets.get(&incarnation.id).is_some_and(|entry| entry.incarnation == *incarnation)
    }

    /// The changes that turn the known list into `snapshot`.
    pub fn changes_to(&self, snapshot: &[SharedChange]) -> Vec<SharedChange> {
        let entries = snapshot.iter().filter_map(|change| match change {
            SharedChange::Target(ListChange::Put(entry)) => Some(entry),
            _ => None,
        });
        let mut gone = self.targets.clone();
        let mut changes = Vec::new();
        for entry in entries {
            if gone.remove(&entry.incarnation.id).is_none_or(|known| known != *entry) {
                changes.push(SharedChange::Target(ListChange::Put(Arc::clone(entry))));
            }
        }
        let removed = gone.into_keys().map(|id| SharedChange::Target(ListChange::Removed(id)));
        changes.extend(removed);
        changes
    }

    /// Classifies the importance of a change that was just received.
    ///
    /// Routers learn an engine's adapters from its loader, so a change of adapters alone is only a hint.
    pub fn classify_change(&self, change: SharedChange) -> LoggedChange {
        let is_hint = match &change {
            SharedChange::Target(ListChange::Put(entry)) => {
                let known = self.targets.get(&entry.incarnation.id);
                known.is_some_and(|known| known.differs_in_adapters_only(entry))
            }
            _ => false,
        };
        let importance = if is_hint { ChangeImportance::Hint } else { ChangeImportance::Required };
        LoggedChange { change, importance }
    }

    /// Applies a version of an adapter unless it is older.
    pub fn take_release(&mut self, release: &AdapterRelease) {
        let known = self.releases.entry(release.adapter.clone()).or_insert(release.version);
        *known = release.version.max(*known);
    }

    /// Applies a report of crashes unless it is older.
    pub fn take_crashes(&mut self, report: &Arc<CrashReport>, now: Timestamp) {
        self.crashes.take(report, now);
    }

    /// Applies a report of crashes that the store holds.
    pub fn take_stored_crashes(&mut self, report: &Arc<CrashReport>, now: Timestamp) {
        self.stored_crashes.insert(Arc::clone(&report.router), Arc::clone(report));
        self.crashes.take(report, now);
    }

    /// Forgets which crash reports the store holds; a full list of them follows.
    pub fn clear_stored_crashes(&mut self) {
        self.stored_crashes.clear();
    }

    /// Whether the store holds this report, or a later one of the same start of its router.
    pub fn is_stored(&self, report: &CrashReport) -> bool {
        let stored = self.stored_crashes.get(&report.router);
        stored
            .is_some_and(|stored| stored.boot == report.boot && stored.sequence >= report.sequence)
    }

    /// Number of known crash reports that the store does not hold.
    pub fn unstored_crashes(&self) -> usize {
        self.crashes.iter().filter(|report| !self.is_stored(report)).count()
    }

    /// Drops reports of crashes whose routers are gone, and returns them.
    pub fn expire_crashes(&mut self, now: Timestamp) -> Vec<Arc<CrashReport>> {
        let expired = self.crashes.expire(now);
        for report in &expired {
            let stored = self.stored_crashes.get(&report.router);
            if stored.is_some_and(|stored| stored.boot == report.boot) {
                self.stored_crashes.remove(&report.router);
            }
        }
        expired
    }

    /// Snapshot of the crash reports that the store holds, encoded as one change per report.
    pub fn crash_snapshot(&self) -> Vec<SharedChange> {
        self.stored_crashes.values().cloned().map(SharedChange::Crashes).collect()
    }

    /// Snapshot of the configuration, encoded as one change; empty if there is none yet.
    pub fn config_snapshot(&self) -> Vec<SharedChange> {
        let config = self.config.iter();
        config.map(|config| SharedChange::Config(Arc::new(ConfigRecord::new(config)))).collect()
    }

    /// Snapshot of all targets, encoded as one [`ListChange::Put`] per target.
    pub fn target_snapshot(&self) -> Vec<SharedChange> {
        let entries = self.targets.values().cloned();
        entries.map(|entry| SharedChange::Target(ListChange::Put(entry))).collect()
    }

    /// Snapshot of the newest versions of all adapters, encoded as one change per adapter.
    pub fn release_snapshot(&self) -> Vec<SharedChange> {
        let releases = self.releases.iter().map(|(adapter, version)| AdapterRelease {
            adapter: adapter.clone(),
            version: *version,
        });
        releases.map(SharedChange::Release).collect()
    }

    /// Hash of the list without the adapters that targets hold; `None` if the list was never read.
    pub fn list_hash(&self) -> Option<ListHash> {
        let hashes = self.targets.values().map(|entry| entry.hash_without_adapters());
        self.has_targets.then(|| hashes.fold(0, u64::wrapping_add))
    }

    /// The snapshot for a router that has the configuration `number` and a list with the hash `list`; the state
    /// is complete up to `revisions`.
    pub fn snapshot(
        &self,
        number: ConfigNumber,
        list: Option<ListHash>,
        is_current: bool,
        revisions: Vec<Option<u64>>,
    ) -> PeerSnapshot {
        let is_changed = self.has_targets && self.list_hash() != list;
        let newer = self.config.as_ref().filter(|config| config.number > number);
        let releases = self.releases.iter().map(|(adapter, version)| {
            (Arc::clone(&adapter.base), Arc::clone(&adapter.name), *version)
        });
        PeerSnapshot {
            is_current,
            config: newer.map(|config| ConfigRecord::new(config)),
            targets: is_changed.then(|| self.targets.values().cloned().collect()),
            releases: releases.collect(),
            crashes: self.crashes.iter().cloned().collect(),
            revisions,
        }
    }
}
