//! Messages between routers and loaders on the versions at which streams began.

use super::{RouteTag, SoftwareTag, StreamKey, StreamOrigin};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key or tag as it is sent: a variable-length number would take longer, as all bits are random.
type FixedBytes = [u8; 8];

/// Streams that began at one software version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamGroup {
    software: FixedBytes,
    streams: Vec<FixedBytes>,
}

impl StreamGroup {
    /// A group without streams.
    pub fn new(software: SoftwareTag) -> Self {
        Self { software: software.to_le_bytes(), streams: Vec::new() }
    }

    /// Adds a stream.
    pub fn push(&mut self, stream: StreamKey) {
        self.streams.push(stream.to_le_bytes());
    }

    /// The version.
    pub fn software(&self) -> SoftwareTag {
        SoftwareTag::from_le_bytes(self.software)
    }

    /// The streams.
    pub fn streams(&self) -> impl Iterator<Item = StreamKey> {
        self.streams.iter().copied().map(StreamKey::from_le_bytes)
    }
}

/// A router's notice to a loader of the streams that began; it repeats those that the loader has not acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamNotice {
    /// Increases with each notice that the router sends.
    pub sequence: u32,
    /// The streams by version.
    pub groups: Vec<StreamGroup>,
}

/// A loader's acknowledgement of a notice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamReceipt {
    /// Sequence of the notice.
    pub sequence: u32,
}

/// A router's query for the version at which a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamQuery {
    stream: FixedBytes,
}

impl StreamQuery {
    /// A query for a stream.
    pub fn new(stream: StreamKey) -> Self {
        Self { stream: stream.to_le_bytes() }
    }

    /// The stream.
    pub fn stream(&self) -> StreamKey {
        StreamKey::from_le_bytes(self.stream)
    }
}

/// A loader's answer to a query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamAnswer {
    stream: FixedBytes,
    /// What the loader has recorded.
    pub origin: StreamOrigin,
}

impl StreamAnswer {
    /// The answer for a stream.
    pub fn new(stream: StreamKey, origin: StreamOrigin) -> Self {
        Self { stream: stream.to_le_bytes(), origin }
    }

    /// The stream.
    pub fn stream(&self) -> StreamKey {
        StreamKey::from_le_bytes(self.stream)
    }
}

/// A router's claim that all streams of a route began at one version, or a loader's copy of such claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteClaim {
    route: FixedBytes,
    software: Option<FixedBytes>,
    /// Time in ms for which the route's service has had no other version.
    pub single_ms: u32,
    /// Age in ms of the latest claim; 0 in a router's own.
    pub age_ms: u32,
    /// Whether the router knows that the route had another version or service before that time; otherwise it does not know
    /// what was before.
    pub had_others: bool,
}

impl RouteClaim {
    /// A claim that a route has one version, or with `None` that it has several.
    pub fn new(route: RouteTag, software: Option<SoftwareTag>) -> Self {
        let software = software.map(SoftwareTag::to_le_bytes);
        Self { route: route.to_le_bytes(), software, single_ms: 0, age_ms: 0, had_others: false }
    }

    /// Sets the time for which the route has had no other version, and the age of the claim.
    #[must_use]
    pub fn with_times(self, single: Duration, age: Duration) -> Self {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        Self { single_ms: millis(single), age_ms: millis(age), ..self }
    }

    /// Sets whether the route is known to have had another version or service before.
    #[must_use]
    pub fn with_others(self, had_others: bool) -> Self {
        Self { had_others, ..self }
    }

    /// The route.
    pub fn route(&self) -> RouteTag {
        RouteTag::from_le_bytes(self.route)
    }

    /// The only version; `None` if there are several.
    pub fn software(&self) -> Option<SoftwareTag> {
        self.software.map(SoftwareTag::from_le_bytes)
    }
}
