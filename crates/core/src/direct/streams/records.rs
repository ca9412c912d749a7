//! A bounded table of the versions at which streams began, at a loader or at a router for its own streams.

use super::{StreamKey, StreamOrigin, messages::StreamNotice};
use crate::ids::Timestamp;
use std::{collections::HashMap, mem, time::Duration};

/// Time for which a record is kept at least, unless the table is full. Routes without a time limit end calls after 30 s,
/// and the caller may resume the stream as long as that.
pub const RECORD_TTL: Duration = Duration::from_mins(1);
/// Records in each half of the table: about 2 MB.
const HALF_LIMIT: usize = 1 << 16;

/// Versions of streams by key. Records are dropped by halves: the older half when the newer one reaches the age of
/// [`RECORD_TTL`] or its limit.
#[derive(Debug, Default)]
pub struct StreamRecords {
    newer: HashMap<StreamKey, StreamOrigin>,
    older: HashMap<StreamKey, StreamOrigin>,
    rotated: Timestamp,
}

impl StreamRecords {
    /// Records what is known of a stream, beside what was recorded before.
    pub fn record(&mut self, stream: StreamKey, origin: StreamOrigin, now: Timestamp) {
        self.expire(now);
        if self.newer.len() >= HALF_LIMIT && !self.newer.contains_key(&stream) {
            self.rotate(now);
        }
        let known = self.older.remove(&stream).unwrap_or_default();
        let recorded = self.newer.entry(stream).or_default();
        *recorded = recorded.merge(known).merge(origin);
    }

    /// Records the streams of a router's notice.
    pub fn take_notice(&mut self, notice: &StreamNotice, now: Timestamp) {
        for group in &notice.groups {
            let origin = StreamOrigin::Known(group.software());
            group.streams().for_each(|stream| self.record(stream, origin, now));
        }
    }

    /// Finds what is recorded of a stream, and keeps it for another [`RECORD_TTL`].
    pub fn find(&mut self, stream: StreamKey, now: Timestamp) -> StreamOrigin {
        self.expire(now);
        let found = self.newer.get(&stream).or_else(|| self.older.get(&stream)).copied();
        if let Some(origin) = found {
            self.record(stream, origin, now);
        }
        found.unwrap_or_default()
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Timestamp) {
        let age = now.saturating_sub(self.rotated);
        if age >= RECORD_TTL {
            self.rotate(now);
        }
        if age >= RECORD_TTL * 2 {
            self.older.clear();
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.newer.is_empty() && self.older.is_empty()
    }

    fn rotate(&mut self, now: Timestamp) {
        self.older = mem::take(&mut self.newer);
        self.rotated = now;
    }
}
