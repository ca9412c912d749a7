//! Idempotency records: a non-idempotent request with a key is recorded on the platform before it is
//! offered, so that a retry by the caller, through any entry, is recognised as the same request.
//!
//! This follows "Reliable Cron across the Planet" (Davidovič and Guliani, acmqueue 2015): record the
//! launch before it happens, and do not launch if that fails.

use crate::ids::CallerName;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Number of shards of the records, each one platform object. The number of shards and the interval
/// between writes bound the writes a second, whatever the number of requests.
pub const RECORD_SHARDS: u64 = 64;
/// Time for which a record is kept. A key that is sent again later counts as a new request.
pub const RECORD_WINDOW: Duration = Duration::from_mins(15);
/// Records that one shard may hold: at some 100 bytes each, they fit the megabyte of an object.
pub const SHARD_LIMIT: usize = 8_000;

/// Hash of a caller, the work that it requests, and its idempotency key, in hexadecimal.
pub type RecordKey = String;

/// Hashes the fields that are equal in all attempts of one request.
pub fn record_key(caller: &CallerName, work: &str, key: &str) -> RecordKey {
    let text = format!("{caller}\0{work}\0{key}");
    format!("{:032x}", xxh3_128(text.as_bytes()))
}

/// Index of the shard that holds a record.
pub fn record_shard(key: &RecordKey) -> u64 {
    xxh3_64(key.as_bytes()) % RECORD_SHARDS
}

/// The request that has recorded a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IdempotencyRecord {
    /// The entry that may run the request.
    pub entry: String,
    /// Random id of the request that recorded the key; no other request with this key may run.
    pub operation: String,
    /// Time at which it was recorded, in milliseconds of Unix time.
    pub inserted_ms: u64,
}

/// One shard of the records, stored as one platform object.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RecordShard {
    records: BTreeMap<RecordKey, IdempotencyRecord>,
}

/// A change to a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordChange {
    /// Record a key.
    Insert(RecordKey, IdempotencyRecord),
    /// Remove a key whose request was provably not run, if the record is that of this operation.
    Remove(RecordKey, String),
}

impl RecordChange {
    /// Key of the record that the change inserts or removes.
    pub fn key(&self) -> &RecordKey {
        match self {
            Self::Insert(key, _) | Self::Remove(key, _) => key,
        }
    }
}

/// Result of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordVerdict {
    /// After an insert: this request, and no other, may run. After a removal: the record is gone.
    Done,
    /// Another request has recorded the key; holds its record.
    Taken(IdempotencyRecord),
    /// The shard holds [`SHARD_LIMIT`] records; nothing was recorded.
    Full,
}

impl RecordShard {
    /// Applies a change in memory; it takes effect when the shard is written with a version check.
    pub fn apply(&mut self, change: &RecordChange, now_ms: u64) -> RecordVerdict {
        match change {
            RecordChange::Insert(key, record) => self.record(key, record, now_ms),
            RecordChange::Remove(key, operation) => {
                if self.records.get(key).is_some_and(|known| known.operation == *operation) {
                    self.records.remove(key);
                }
                RecordVerdict::Done
            }
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record(
        &mut self,
        key: &RecordKey,
        record: &IdempotencyRecord,
        now_ms: u64,
    ) -> RecordVerdict {
        self.expire(now_ms);
        match self.records.get(key) {
            // This request's own record, from a write whose answer was lost.
            Some(known) if known.operation == record.operation => RecordVerdict::Done,
            Some(known) => RecordVerdict::Taken(known.clone()),
            None if self.records.len() >= SHARD_LIMIT => RecordVerdict::Full,
            None => {
                self.records.insert(key.clone(), record.clone());
                RecordVerdict::Done
            }
        }
    }

    fn expire(&mut self, now_ms: u64) {
        let window = RECORD_WINDOW.as_millis() as u64;
        self.records.retain(|_, record| record.inserted_ms.saturating_add(window) > now_ms);
    }
}
