//! The list of targets, which lags and loses entries during an outage of the store.

use super::call::AdapterId;
use crate::ids::{
    AdapterName, AdapterVersion, BaseName, ServiceName, SoftwareVersion, Timestamp, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt::{self, Display, Formatter},
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use xxhash_rust::xxh3::Xxh3;

/// Id of a target. A target may restart under the same id; [`TargetIncarnation`] distinguishes the runs.
pub type InstanceId = Arc<str>;

/// One incarnation of a target, from one start to the next.
///
/// A target that restarts holds nothing and counts from 0, also under the same id. All state about a target is
/// therefore kept by its incarnation: slots and versions of the earlier one would send calls to adapters that are
/// gone, and its order count would match orders for other contents.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetIncarnation {
    /// Id of the target.
    pub id: InstanceId,
    /// When it started, by its own clock in milliseconds since 1970; `None` if it does not report it. Only
    /// compared for equality: a clock that was set back gives a later incarnation an earlier start.
    pub started: Option<u64>,
}

impl TargetIncarnation {
    /// Hash of this incarnation, the same in all processes.
    pub fn stable_hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        // The start is not the seed: differences in short ids and in starts would cancel out.
        hasher.update(&self.started.unwrap_or_default().to_le_bytes());
        hasher.update(self.id.as_bytes());
        hasher.digest()
    }

    /// Whether `self` and `other` can be the same incarnation: an unknown start matches any.
    pub fn may_equal(&self, other: &Self) -> bool {
        let is_same_start = match (self.started, other.started) {
            (Some(own), Some(theirs)) => own == theirs,
            _ => true,
        };
        self.id == other.id && is_same_start
    }
}

impl From<&str> for TargetIncarnation {
    /// An incarnation with an unknown start.
    fn from(id: &str) -> Self {
        Self { id: id.into(), started: None }
    }
}

impl Display for TargetIncarnation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(started) => write!(formatter, "{} of {started}", self.id),
            None => formatter.write_str(&self.id),
        }
    }
}

/// Time for which an entry that is missing after an outage is still used. Entries lapse during an outage of the
/// store and return about two seconds after it; dropping them at once would leave no targets at all, and
/// keeping them longer would send calls to targets that are gone.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which a removed entry's draining is remembered: the copy from which a store returns is at most some seconds
/// old, and may show an entry as before its removal.
const DRAINED_TTL: Duration = Duration::from_secs(30);
/// Removed entries whose draining is remembered.
const DRAINED_LIMIT: usize = 1_024;

/// A base model that a target holds, with its adapters.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BaseHolding {
    /// Name of the base model.
    pub base: BaseName,
    /// Version of its weights.
    pub version: AdapterVersion,
    /// Adapters and their versions.
    pub adapters: BTreeMap<AdapterName, AdapterVersion>,
}

impl BaseHolding {
    /// Ids of the adapters, sorted by name.
    pub fn adapter_ids(&self) -> impl Iterator<Item = AdapterId> {
        let names = self.adapters.keys();
        names.map(|name| AdapterId { base: Arc::clone(&self.base), name: Arc::clone(name) })
    }
}

/// A target's entry in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEntry {
    /// The target and its incarnation.
    #[serde(rename = "life")]
    pub incarnation: TargetIncarnation,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Number that increases with each new target: of two entries at one address, the later one has the higher
    /// number.
    pub generation: u64,
    /// Whether it is draining and takes no new calls.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// Time for which it is still slow after its start (cold).
    pub cold: Duration,
    /// What it holds, if it is an engine.
    pub holdings: Vec<BaseHolding>,
    /// Version of its software; `None` if unknown. Routers send it beside their lists, see [`encode_answer`].
    ///
    /// [`encode_answer`]: super::software::encode_answer
    #[serde(skip)]
    pub software: Option<SoftwareVersion>,
}

impl TargetEntry {
    /// Whether the entries are equal except for the adapters held.
    pub fn differs_in_adapters_only(&self, other: &Self) -> bool {
        self.without_adapters() == other.without_adapters()
    }

    /// Hash of the entry without the adapters held.
    pub fn hash_without_adapters(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.without_adapters().hash(&mut hasher);
        hasher.finish()
    }

    /// The entry without the adapters held, to compare and hash.
    fn without_adapters(&self) -> impl Eq + Hash {
        let Self {
            incarnation,
            service,
            address,
            zone,
            slots,
            generation,
            is_draining,
            cold,
            holdings,
            software,
        } = self;
        let bases: Vec<_> =
            holdings.iter().map(|holding| (&holding.base, holding.version)).collect();
        let place = (service, address, zone, slots, generation);
        (incarnation, place, is_draining, cold, bases, software)
    }
}

/// A change of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ListChange {
    /// An entry is new or changed.
    Put(Arc<TargetEntry>),
    /// An entry was removed.
    Removed(InstanceId),
}

impl ListChange {
    /// The target that changed.
    pub fn target(&self) -> &InstanceId {
        match self {
            Self::Put(entry) => &entry.incarnation.id,
            Self::Removed(id) => id,
        }
    }
}

/// The list of targets as a router uses it.
#[derive(Debug, Default)]
pub struct TargetList {
    entries: HashMap<InstanceId, Arc<TargetEntry>>,
    /// Entries missing since an outage, and until when they are still used.
    lapsed: HashMap<InstanceId, Timestamp>,
    grace_until: Timestamp,
    is_store_lost: bool,
    /// Removed targets that were draining, and when they were removed.
    drained: HashMap<TargetIncarnation, Timestamp>,
    /// Targets that were draining before the store returned from a copy, until the list shows them draining again or
    /// removes them.
    held_draining: HashSet<TargetIncarnation>,
    /// Whether the entries are of the history before the last return.
    is_of_lost_history: bool,
}

impl TargetList {
    /// Records that the store has returned from a copy, which may show entries as they were some seconds before: targets
    /// that are draining stay so, and entries that are missing are kept for the grace period.
    pub fn note_return(&mut self, now: Timestamp) {
        let draining = self.entries.values().filter(|entry| entry.is_draining);
        let draining = draining.map(|entry| entry.incarnation.clone());
        self.held_draining.extend(draining.chain(self.drained.drain().map(|(target, _)| target)));
        self.is_of_lost_history = true;
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Number of targets that are draining although the list of the store does not show it.
    pub fn held_draining(&self) -> usize {
        self.held_draining.len()
    }

    /// Records that the store cannot be reached; known entries stay in use.
    pub fn note_outage(&mut self) {
        self.is_store_lost = true;
    }

    /// Whether the store of the list cannot be reached.
    pub fn is_store_lost(&self) -> bool {
        self.is_store_lost
    }

    /// Records that the store answered at `now`; after an outage this starts the grace period.
    pub fn note_contact(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.is_store_lost) {
            self.grace_until = now + LAPSE_GRACE;
        }
    }

    /// Replaces the list by a snapshot.
    pub fn replace(&mut self, entries: Vec<Arc<TargetEntry>>, now: Timestamp) {
        let mut known = std::mem::take(&mut self.entries);
        for entry in entries {
            known.remove(&entry.incarnation.id);
            self.put(entry);
        }
        let is_of_lost_history = std::mem::take(&mut self.is_of_lost_history);
        for (id, entry) in known {
            // Generations of two histories cannot be compared.
            let entry = if is_of_lost_history {
                Arc::new(TargetEntry { generation: 0, ..TargetEntry::clone(&entry) })
            } else {
                entry
            };
            self.entries.insert(Arc::clone(&id), entry);
            self.remove(&id, now);
        }
        if is_of_lost_history {
            let entries = &self.entries;
            self.held_draining.retain(|target| entries.contains_key(&target.id));
        }
    }

    /// Adds, replaces or removes the entry that the change is about.
    pub fn apply(&mut self, change: &ListChange, now: Timestamp) {
        match change {
            ListChange::Put(entry) => self.put(Arc::clone(entry)),
            ListChange::Removed(id) => self.remove(id, now),
        }
    }

    /// Drops lapsed entries whose grace period is over; returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        self.drained.retain(|_, removed| now.saturating_sub(*removed) < DRAINED_TTL);
        let before = self.lapsed.len();
        let entries = &mut self.entries;
        self.lapsed.retain(|id, until| {
            let is_kept = now < *until;
            if !is_kept {
                entries.remove(id);
            }
            is_kept
        });
        before != self.lapsed.len()
    }

    /// All entries in use.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.entries.values()
    }

    /// Number of entries in use.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is in use.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn put(&mut self, entry: Arc<TargetEntry>) {
        self.lapsed.remove(&entry.incarnation.id);
        let is_held = self.held_draining.contains(&entry.incarnation);
        let entry = if is_held && !entry.is_draining {
            Arc::new(TargetEntry { is_draining: true, ..TargetEntry::clone(&entry) })
        } else {
            if is_held {
                self.held_draining.remove(&entry.incarnation);
            }
            entry
        };
        self.entries.insert(Arc::clone(&entry.incarnation.id), entry);
    }

    fn remove(&mut self, id: &InstanceId, now: Timestamp) {
        let is_kept = self.is_store_lost || now < self.grace_until;
        let is_draining = self.entries.get(id).is_none_or(|entry| entry.is_draining);
        if is_kept && !is_draining {
            let until = self.grace_until.max(now);
            self.lapsed.entry(Arc::clone(id)).or_insert(until);
        } else {
            self.lapsed.remove(id);
            if let Some(entry) = self.entries.remove(id) {
                self.held_draining.remove(&entry.incarnation);
                if entry.is_draining && self.drained.len() < DRAINED_LIMIT {
                    self.drained.insert(entry.incarnation.clone(), now);
                }
            }
        }
    }
}
