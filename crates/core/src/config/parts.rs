//! The root object and the parts that it names.

use crate::{
    config::records::{AdapterRecord, CallerRecord, PresetRecord, ServiceRecord},
    ids::{ConfigRevision, PresetName},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Name of a part, such as `adapters-07`.
pub type PartName = String;
/// Digest of a part's content.
pub type PartDigest = String;

/// Number of parts that the adapters are distributed over by hash. At 80,000 adapters a part holds
/// 1,250 records, some 120 kB of the megabyte that one platform object may hold.
pub const ADAPTER_PARTS: usize = 64;
/// Name of the part with all services.
pub const SERVICES_PART: &str = "services";
/// Name of the part with all callers.
pub const CALLERS_PART: &str = "callers";
/// Name of the part with all presets.
pub const PRESETS_PART: &str = "presets";

/// Maximum length of [`ConfigRoot::recent`].
pub const RECENT_OPERATIONS: usize = 32;

/// The root of the configuration: the only object that is ever overwritten.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRoot {
    /// Grows by one with each accepted change.
    pub revision: ConfigRevision,
    /// Identifies the change that wrote this root: a writer whose answer was lost reads the root back to
    /// learn whether its change was applied.
    pub operation: String,
    /// Operations of the preceding revisions, newest first, so that a writer finds its change even after
    /// others have written.
    #[serde(default)]
    pub recent: Vec<String>,
    /// Who made the change; shown to an operator whose concurrent change was rejected.
    pub author: String,
    /// Description of the change, in one line.
    pub summary: String,
    /// Name of the preset in force.
    pub preset: PresetName,
    /// Reference to the current content of each part.
    pub parts: BTreeMap<PartName, PartRef>,
    /// Names of the part objects that this revision replaced. They are kept for readers that still hold
    /// the previous root; the next change deletes them.
    #[serde(default)]
    pub retired: Vec<String>,
}

impl ConfigRoot {
    /// Whether this root, read from the platform, replaces `known`. A root of the same revision and another operation was
    /// written after the platform had returned from a copy without `known`.
    pub fn replaces(&self, known: &Self) -> bool {
        self.revision > known.revision
            || (self.revision == known.revision && self.operation != known.operation)
    }
}

/// Reference to the object that holds a part's content.
///
/// The object's name contains the operation that wrote it, so no two operations share an object:
/// deleting a retired object cannot remove one that a concurrent operation is about to reference.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartRef {
    /// Digest of the content, to detect whether a change affects it.
    pub digest: PartDigest,
    /// Operation that wrote it.
    pub operation: String,
}

impl PartRef {
    /// Name of the object that holds this content of `part`; such an object never changes.
    pub fn object(&self, part: &str) -> String {
        format!("{part}.{}.{}", self.digest, self.operation)
    }
}

/// Content of one part.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigPart {
    /// Adapters whose names hash to this part, sorted by name.
    Adapters(Vec<AdapterRecord>),
    /// All services, sorted by name.
    Services(Vec<ServiceRecord>),
    /// All callers, sorted by name.
    Callers(Vec<CallerRecord>),
    /// All presets, sorted by name.
    Presets(Vec<PresetRecord>),
}

/// Index of the part that holds an adapter.
pub fn adapter_part(name: &str) -> usize {
    (xxh3_64(name.as_bytes()) % ADAPTER_PARTS as u64) as usize
}

/// Name of an adapter part.
pub fn adapter_part_name(index: usize) -> PartName {
    format!("adapters-{index:02}")
}

/// Digest of a part's bytes.
pub fn part_digest(bytes: &[u8]) -> PartDigest {
    format!("{:016x}", xxh3_64(bytes))
}
