//! Messages between routers and loaders on the versions at which streams began.

use super::{SoftwareTag, StreamKey, StreamOrigin};
use serde::{Deserialize, Serialize};

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
    /// Increases with each notice that the router sends to this loader.
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
