//! Objects stored on the platform and its answers.

use plantain_core::{
    direct::sharing::StoreEra,
    ids::{RegionName, ZoneName},
    target::TargetRecord,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind of the configuration root.
pub const ROOT_KIND: &str = "config";
/// Name of the configuration root.
pub const ROOT_NAME: &str = "root";
/// Kind of the configuration's parts.
pub const PART_KIND: &str = "config-parts";
/// Kind of the agents' slots; each holds a [`SlotRecord`].
pub const SLOT_KIND: &str = "slots";
/// Kind of the entries' announcements; each holds an [`EntryRecord`].
pub const ENTRY_KIND: &str = "entries";

/// A versioned object.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectRecord<T> {
    /// Name, unique within the kind.
    pub name: String,
    /// Version of the last write; versions increase with each write to any object.
    pub version: u64,
    /// Current value; `None` if the object was deleted.
    pub value: Option<T>,
}

/// Objects of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectList<T> {
    /// The objects; in the answer to a watch, only those that changed.
    pub items: Vec<ObjectRecord<T>>,
    /// Revision that the list reflects; a watch continues from it.
    pub revision: u64,
    /// Era of the revision.
    #[serde(skip)]
    pub era: StoreEra,
}

/// Answer to a write.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct PutAnswer {
    /// Current version of the object.
    pub version: u64,
}

/// Kind of the agents' crash reports: which requests ran at a target when it ended.
pub const CRASH_KIND: &str = "crashes";

/// Kind of the shards of idempotency records.
pub const RECORD_KIND: &str = "idempotency";

/// State of a host, as set by the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// Will be removed.
    Leaving,
}

/// A host, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// Name of the host; the slot on a target host has the same name.
    pub name: String,
    /// Region of the host.
    pub region: RegionName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Whether the host stays in service.
    pub state: HostState,
}

/// An agent's slot: its holder, and the target that the holder announces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRecord {
    /// Random name of the process that holds the slot.
    pub holder: String,
    /// Address of the holder's admin HTTP server.
    pub admin: SocketAddr,
    /// The announced target, with the holder's epoch.
    pub target: TargetRecord,
}

/// An entry's announcement of itself, for operators only; no request depends on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Name of the entry.
    pub name: String,
    /// Address of its admin HTTP server.
    pub admin: SocketAddr,
    /// Address at which agents request load permits.
    pub peer: SocketAddr,
    /// Region of the entry.
    pub region: RegionName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
}
