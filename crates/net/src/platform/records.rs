//! What the platform sends and holds.

use plantain_core::{
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
/// Kind of the agents' slots.
pub const SLOT_KIND: &str = "slots";
/// Kind of the entries' announcements.
pub const ENTRY_KIND: &str = "entries";

/// An object.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectRecord<T> {
    /// Its name.
    pub name: String,
    /// Its version; grows with each write to any object.
    pub version: u64,
    /// Its value; `None` if it was deleted.
    pub value: Option<T>,
}

/// Objects of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectList<T> {
    /// The objects; for a watch, those that changed.
    pub items: Vec<ObjectRecord<T>>,
    /// The revision up to which this is true.
    pub revision: u64,
}

/// Answer to a write.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct PutAnswer {
    /// The object's version now.
    pub version: u64,
}

/// Kind of what agents tell of requests that were at their targets when these ended.
pub const CRASH_KIND: &str = "crashes";

/// Kind of the shards of idempotency records.
pub const RECORD_KIND: &str = "idempotency";

/// State of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// To be taken away.
    Leaving,
}

/// A host, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// Its name; the slot on a target host has the same one.
    pub name: String,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its state.
    pub state: HostState,
}

/// An agent's slot: who holds it, and what it announces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRecord {
    /// Random name of the process that holds it.
    pub holder: String,
    /// Address of the holder's admin pages.
    pub admin: SocketAddr,
    /// What the slot serves, with the holder's epoch.
    pub target: TargetRecord,
}

/// An entry, as it announces itself for operators. No request depends on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Its name.
    pub name: String,
    /// Address of its admin pages.
    pub admin: SocketAddr,
    /// Address at which agents ask it for load permits.
    pub peer: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
}
