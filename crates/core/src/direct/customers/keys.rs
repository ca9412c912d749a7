//! Keys by which customers' calls are known, kept as digests only.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest key in bytes.
pub const KEY_LIMIT: usize = 256;

/// Digest of a key. It stands for the key in all that a process keeps, writes and tells; the key itself
/// cannot be had back from it.
#[derive(Clone, Copy, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key; the error says what is wrong with it.
    pub fn new(key: &[u8]) -> Result<Self, KeyFault> {
        match key.len() {
            0 => Err(KeyFault::Empty),
            length if length > KEY_LIMIT => Err(KeyFault::TooLong),
            _ => Ok(Self(Sha256::digest(key).into())),
        }
    }

    /// A short mark by which lines of one process about the same key can be told to be about the same key.
    /// `secret` is a number that the process drew, so that a mark says nothing about a key that somebody
    /// guesses.
    pub fn mark(&self, secret: u64) -> String {
        format!("{:08x}", xxh3_64_with_seed(&self.0, secret) as u32)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Why a key can be nobody's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyFault {
    /// It has no byte.
    Empty,
    /// It is longer than [`KEY_LIMIT`].
    TooLong,
    /// A call bears several keys: whose it is would depend on who reads them.
    Several,
}

impl fmt::Display for KeyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => formatter.write_str("the key is empty"),
            Self::TooLong => write!(formatter, "the key is longer than {KEY_LIMIT} bytes"),
            Self::Several => formatter.write_str("the call bears several keys"),
        }
    }
}

impl std::error::Error for KeyFault {}

/// What a call bears to say whose it is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PresentedKey {
    /// Nothing.
    #[default]
    Missing,
    /// Something that can be nobody's key.
    Unusable(KeyFault),
    /// A key.
    Digest(KeyDigest),
}

impl PresentedKey {
    /// Reads the values of the header that bears keys.
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
