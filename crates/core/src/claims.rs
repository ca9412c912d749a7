//! Idempotency records: a non-idempotent request with a key is claimed on the platform before it is
//! offered, so that the caller's own retry, through whichever entry, is the same request.
//!
//! The idea is that of "Reliable Cron across the Planet" (Davidovič and Guliani, acmqueue 2015):
//! record the launch before it, and fail closed.

use crate::ids::CallerName;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Shards that claims spread over, each one platform object. Writes a second are bounded by shards
/// and pace, not by requests.
pub const CLAIM_SHARDS: u64 = 64;
/// Time for which a claim is kept. A key that comes back later counts as a new request.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(900);
/// Claims that one shard may hold: some 100 bytes each, within the megabyte of an object.
pub const SHARD_LIMIT: usize = 8_000;

/// Hash of a caller, what it calls and its key.
pub type ClaimKey = String;

/// Hashes what makes two requests the same one.
pub fn claim_key(caller: &CallerName, work: &str, key: &str) -> ClaimKey {
    let text = format!("{caller}\0{work}\0{key}");
    format!("{:032x}", xxh3_128(text.as_bytes()))
}

/// The shard of a claim.
pub fn claim_shard(key: &ClaimKey) -> u64 {
    xxh3_64(key.as_bytes()) % CLAIM_SHARDS
}

/// Who has claimed a key, and when.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The entry that may run the request.
    pub entry: String,
    /// Random name of the one request that may.
    pub operation: String,
    /// When it was claimed, in milliseconds of Unix time.
    pub claimed_ms: u64,
}

/// One shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClaimShard {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
}

/// A change to a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimChange {
    /// Claim a key.
    Claim(ClaimKey, ClaimRecord),
    /// Give back a claim whose request was provably not run.
    Release(ClaimKey, String),
}

impl ClaimChange {
    /// The key that it is about.
    pub fn key(&self) -> &ClaimKey {
        match self {
            Self::Claim(key, _) | Self::Release(key, _) => key,
        }
    }
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The request may run, and only it; or its claim is gone.
    Done,
    /// Another request has the key.
    Taken(ClaimRecord),
    /// The shard is full.
    Full,
}

impl ClaimShard {
    /// Makes a change in memory; writing the shard under its version makes it true.
    pub fn apply(&mut self, change: &ClaimChange, now_ms: u64) -> ClaimVerdict {
        match change {
            ClaimChange::Claim(key, record) => self.claim(key, record, now_ms),
            ClaimChange::Release(key, operation) => {
                if self.claims.get(key).is_some_and(|known| known.operation == *operation) {
                    self.claims.remove(key);
                }
                ClaimVerdict::Done
            }
        }
    }

    /// Claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claims are held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn claim(&mut self, key: &ClaimKey, record: &ClaimRecord, now_ms: u64) -> ClaimVerdict {
        self.expire(now_ms);
        match self.claims.get(key) {
            // Our own claim, from a write whose answer was lost.
            Some(known) if known.operation == record.operation => ClaimVerdict::Done,
            Some(known) => ClaimVerdict::Taken(known.clone()),
            None if self.claims.len() >= SHARD_LIMIT => ClaimVerdict::Full,
            None => {
                self.claims.insert(key.clone(), record.clone());
                ClaimVerdict::Done
            }
        }
    }

    fn expire(&mut self, now_ms: u64) {
        let window = CLAIM_WINDOW.as_millis() as u64;
        self.claims.retain(|_, record| record.claimed_ms.saturating_add(window) > now_ms);
    }
}
