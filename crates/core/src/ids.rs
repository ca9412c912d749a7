//! Identifier types shared by all parts of the system.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Name of an adapter, such as `house-0042`.
pub type AdapterName = Arc<str>;
/// Version of an adapter; versions start at 1.
pub type AdapterVersion = u32;
/// Stable 64-bit hash of an [`AdapterKey`], short enough to send on every exchange.
pub type AdapterDigest = u64;
/// Name of a base model that adapters extend.
pub type BaseName = Arc<str>;
/// Random number that a process draws at its start; it differs after a restart.
pub type BootId = u64;
/// Name of a caller, as configured.
pub type CallerName = Arc<str>;
/// Revision of the configuration root; it only grows.
pub type ConfigRevision = u64;
/// Name of a customer.
pub type CustomerName = Arc<str>;
/// Name of a preset: a set of weights and limits that operators put in force.
pub type PresetName = Arc<str>;
/// Name of a region.
pub type RegionName = Arc<str>;
/// Number of a request, unique among the requests of one entry process.
pub type RequestId = u64;
/// Name of a plain service.
pub type ServiceName = Arc<str>;
/// Version of a target's software, as the target reports it.
pub type SoftwareVersion = Arc<str>;
/// Name of a target: one model engine replica or one plain service replica.
pub type TargetName = Arc<str>;
/// Time since the process started, read from the monotonic clock.
pub type Timestamp = Duration;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;

/// Longest accepted adapter, service, caller or preset name, in bytes.
pub const NAME_LIMIT: usize = 128;

/// One version of one adapter: the unit that engines load and evict.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterKey {
    /// Name of the adapter.
    pub name: AdapterName,
    /// Version of the adapter.
    pub version: AdapterVersion,
}

impl AdapterKey {
    /// Creates the key of one version of an adapter.
    pub fn new(name: impl Into<AdapterName>, version: AdapterVersion) -> Self {
        Self { name: name.into(), version }
    }

    /// Hash of the key, equal in every process and release.
    pub fn digest(&self) -> AdapterDigest {
        xxh3_64(self.to_string().as_bytes())
    }
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.version)
    }
}

/// Value of the `model` field of a request: an adapter, with or without a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelSelector {
    /// Name of the adapter.
    pub name: AdapterName,
    /// The requested version; `None` means the adapter's current version.
    pub version: Option<AdapterVersion>,
}

impl ModelSelector {
    /// Parses `adapter` or `adapter@version`; the error says what is wrong with the text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let (name, version) = match text.split_once('@') {
            None => (text, None),
            Some((name, version)) => (name, Some(parse_version(version)?)),
        };
        check_name("adapter", name)?;
        Ok(Self { name: name.into(), version })
    }
}

fn parse_version(text: &str) -> Result<AdapterVersion, String> {
    match text.parse() {
        Ok(version) if version >= 1 => Ok(version),
        _ => Err(format!("version `{text}` is not a whole number from 1")),
    }
}

/// Checks a configured name: letters, digits, `-`, `_` and `.`, at most [`NAME_LIMIT`] bytes.
pub fn check_name(kind: &str, name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err(format!("the {kind} name is empty"));
    }
    if name.len() > NAME_LIMIT {
        return Err(format!("the {kind} name is longer than {NAME_LIMIT} bytes"));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if let Some(bad) = name.chars().find(|&c| !allowed(c)) {
        return Err(format!(
            "the {kind} name `{name}` holds `{bad}`; use letters, digits, `-`, `_` and `.`"
        ));
    }
    Ok(())
}
