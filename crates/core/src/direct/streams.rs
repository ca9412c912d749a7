//! The software version at which each resumable stream began.
//!
//! What two versions of a target's software write does not fit together, and targets do not check where a stream that
//! they resume began. So a router records the version with the stream's first event: in its own table, and at two
//! loaders that all routers compute alike from the call's id. A router that is asked to resume a stream queries these
//! loaders. A stream of which no version is recorded is resumed only where its service has had one version alone for as
//! long as a stream may live.

pub mod claims;
pub mod events;
pub mod history;
pub mod messages;
pub mod outbox;
pub mod query;
pub mod records;

use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, net::IpAddr};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Identifies a stream: the hash of the id of the call that brought its first event.
pub type StreamKey = u64;
/// Identifies one software version of one service, the same in all processes.
pub type SoftwareTag = u64;

/// Identifies a route by its host and prefix, the same in all processes.
pub type RouteTag = u64;

/// Loaders that record a stream's version.
pub const REPLICAS: usize = 2;
/// Further loaders that are queried: since the version was recorded, the list of loaders may have changed.
pub const SPARE_REPLICAS: usize = 2;

/// Key of the stream that began with the call `id`.
pub fn stream_key(id: &str) -> StreamKey {
    xxh3_64(id.as_bytes())
}

/// Tag of a version of a service's software. Versions of two services differ, whatever they are called.
pub fn software_tag(service: &str, software: &str) -> SoftwareTag {
    hash_pair(service, software)
}

/// Tag of the route with this host and prefix.
pub fn route_tag(host: &str, prefix: &str) -> RouteTag {
    hash_pair(host, prefix)
}

fn hash_pair(first: &str, second: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&(first.len() as u64).to_le_bytes());
    hasher.update(first.as_bytes());
    hasher.update(second.as_bytes());
    hasher.digest()
}

/// What is known of the version at which a stream began.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamOrigin {
    /// No version is recorded.
    #[default]
    Unknown,
    /// All records name this version.
    Known(SoftwareTag),
    /// Records name several versions, as if an id was used for two streams.
    Ambiguous,
}

impl StreamOrigin {
    /// Combines two findings. The result does not depend on the order or the number of findings.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (Self::Known(one), Self::Known(two)) if one == two => self,
            _ => Self::Ambiguous,
        }
    }
}

/// Hosts of the loaders that record a stream, best first, by rendezvous hashing. A loader is identified by its host and not
/// by its engine, which may restart under another id while the loader keeps its records.
pub fn replica_hosts(
    key: StreamKey,
    hosts: impl Iterator<Item = IpAddr>,
    count: usize,
) -> Vec<IpAddr> {
    let weight = |host: &IpAddr| match host {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), key),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), key),
    };
    let mut ranked: Vec<(u64, IpAddr)> = hosts.map(|host| (weight(&host), host)).collect();
    let count = count.min(ranked.len());
    if count == 0 {
        return Vec::new();
    }
    ranked.select_nth_unstable_by_key(count - 1, |best| Reverse(*best));
    ranked.truncate(count);
    ranked.sort_unstable_by_key(|best| Reverse(*best));
    ranked.into_iter().map(|(_, host)| host).collect()
}
