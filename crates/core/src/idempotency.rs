//! Idempotency records: a non-idempotent request with a key is recorded on the platform before it is
//! offered, so that the caller's own retry, through whichever entry, is the same request.
//!
//! The idea is that of "Reliable Cron across the Planet" (Davidovič and Guliani, acmqueue 2015):
//! record the launch before it, and fail closed.

use crate::ids::CallerName;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Shards that records spread over, each one platform object. Writes a second are bounded by shards
/// and pace, not by requests.
pub const RECORD_SHARDS: u64 = 64;
/// Time for which a record is kept. A key that comes back later counts as a new request.
pub const RECORD_WINDOW: Duration = Duration::from_mins(15);
/// Records that one shard may hold: some 100 bytes each, within the megabyte of an object.
pub const SHARD_LIMIT: usize = 8_000;

/// Hash of a caller, what it calls and its key.
pub type RecordKey = String;

/// Hashes what makes two requests the same one.
pub fn record_key(caller: &CallerName, work: &str, key: &str) -> RecordKey {
    let text = format!("{caller}\0{work}\0{key}");
    format!("{:032x}", xxh3_128(text.as_bytes()))
}

/// The shard of a record.
pub fn record_shard(key: &RecordKey) -> u64 {
    xxh3_64(key.as_bytes()) % RECORD_SHARDS
}

/// Who has recorded a key, and when.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IdempotencyRecord {
    /// The entry that may run the request.
    pub entry: String,
    /// Random name of the one request that may.
    pub operation: String,
    /// When it was recorded, in milliseconds of Unix time.
    pub inserted_ms: u64,
}

/// One shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RecordShard {
    records: BTreeMap<RecordKey, IdempotencyRecord>,
}

/// A change to a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordChange {
    /// Record a key.
    Insert(RecordKey, IdempotencyRecord),
    /// Give back a record whose request was provably not run.
    Remove(RecordKey, String),
}

impl RecordChange {
    /// The key that it is about.
    pub fn key(&self) -> &RecordKey {
        match self {
            Self::Insert(key, _) | Self::Remove(key, _) => key,
        }
    }
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordVerdict {
    /// The request may run, and only it; or its record is gone.
    Done,
    /// Another request has the key.
    Taken(IdempotencyRecord),
    /// The shard is full.
    Full,
}

impl RecordShard {
    /// Makes a change in memory; writing the shard under its version makes it true.
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

    /// Records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no records are held.
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
            // Our own record, from a write whose answer was lost.
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
