//! API keys that identify customers' calls, stored as digests only.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest key in bytes.
pub const KEY_LIMIT: usize = 256;

/// SHA-256 digest of a key. It replaces the key in everything that a process stores, logs and sends; the key cannot
/// be recovered from it.
#[derive(Clone, Copy, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key; fails if the key is empty or too long.
    pub fn new(key: &[u8]) -> Result<Self, KeyFault> {
        match key.len() {
            0 => Err(KeyFault::Empty),
            length if length > KEY_LIMIT => Err(KeyFault::TooLong),
            _ => Ok(Self(Sha256::digest(key).into())),
        }
    }

    /// Short mark that correlates log lines of one process about the same key. `secret` is a random number of the
    /// process, so that a mark does not confirm a guessed key.
    pub fn mark(&self, secret: u64) -> String {
        format!("{:08x}", xxh3_64_with_seed(&self.0, secret) as u32)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Why a presented key is unusable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyFault {
    /// It is empty.
    Empty,
    /// It is longer than [`KEY_LIMIT`].
    TooLong,
    /// The call has several keys: different readers could attribute it to different customers.
    Several,
}

impl fmt::Display for KeyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => formatter.write_str("the key is empty"),
            Self::TooLong => write!(formatter, "the key is longer than {KEY_LIMIT} bytes"),
            Self::Several => formatter.write_str("the call has several keys"),
        }
    }
}

impl std::error::Error for KeyFault {}

/// The key that a call presents.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PresentedKey {
    /// The call has no key.
    #[default]
    Missing,
    /// The call has something that cannot be a customer's key.
    Unusable(KeyFault),
    /// Digest of the call's key.
    Digest(KeyDigest),
}

impl PresentedKey {
    /// Reads the values of the header that carries the key.
    pub fn new<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        let Some(key) = values.next() else { return Self::Missing };
        if values.next().is_some() {
            return Self::Unusable(KeyFault::Several);
        }
        match KeyDigest::new(key) {
            Ok(digest) => Self::Digest(digest),
            Err(fault) => Self::Unusable(fault),
        }
    }
}
