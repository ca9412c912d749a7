//! A call as a router decodes it before target selection, and what the router adds when it forwards it.

use super::customers::keys::PresentedKey;
use crate::ids::{AdapterName, AdapterVersion, BaseName, CustomerName};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Id of a call, set by its caller.
pub type CallId = Arc<str>;

/// The adapter, or the base model itself, that a call needs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelNeed {
    /// Name of the base model.
    pub base: BaseName,
    /// Adapter of the base model; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
}

/// A shared part of a prompt: its hash and its length in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of the content; equal parts have equal hashes.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// The part that a caller declares as `id:tokens`, with the id in hexadecimal. An id that is no such number is known
    /// by the hash of its text: a part that cannot be read must not hide a part that crashes targets. A missing or
    /// unreadable length is 0.
    pub fn from_text(text: &[u8]) -> Self {
        let text = text.trim_ascii();
        let (id, tokens) = match text.iter().rposition(|byte| *byte == b':') {
            Some(colon) => (text[..colon].trim_ascii(), text[colon + 1..].trim_ascii()),
            None => (text, &b""[..]),
        };
        let number = str::from_utf8(id).ok().and_then(|id| u64::from_str_radix(id, 16).ok());
        let tokens = str::from_utf8(tokens).ok().and_then(|tokens| tokens.parse().ok());
        Self { hash: number.unwrap_or_else(|| xxh3_64(id)), tokens: tokens.unwrap_or(0) }
    }
}

/// Token counts that a call declares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub input: u32,
    /// Maximum of tokens of the answer.
    pub output: u32,
}

/// A call to a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelCall {
    /// Base model and adapter that it needs.
    pub need: ModelNeed,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Maximum of tokens of the answer.
    pub tokens_out: u32,
    /// Parts of the prompt that other calls may share, in order.
    pub parts: Vec<PromptPart>,
}

/// An adapter of a base model.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterId {
    /// Name of the base model that the adapter extends.
    pub base: BaseName,
    /// Name of the adapter, unique within its base model.
    pub name: AdapterName,
}

impl AdapterId {
    /// Hash of this id, the same in all processes.
    pub fn stable_hash(&self) -> u64 {
        xxh3_64(self.name.as_bytes()) ^ xxh3_64(self.base.as_bytes()).rotate_left(1)
    }

    /// Short form of the hash for lists in messages. Of a thousand adapters that are not in a list of 64, one appears to
    /// be in it.
    pub fn fingerprint(&self) -> u16 {
        self.stable_hash() as u16
    }
}

/// Newest announced version of an adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterRelease {
    /// The adapter.
    pub adapter: AdapterId,
    /// Its newest version.
    pub version: AdapterVersion,
}

/// The head of a caller's request, decoded from the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct CallHead {
    /// Id that the caller set; each attempt of a caller has its own.
    pub id: Option<CallId>,
    /// Host that the request names.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Time for which the caller waits, if it states one.
    pub time_left: Option<Duration>,
    /// Key that identifies the customer.
    pub key: PresentedKey,
    /// Token counts that it declares, if any.
    pub tokens: Option<TokenCounts>,
    /// Model that it needs; `None` for a call to a plain service.
    pub model: Option<ModelCall>,
    /// Where the caller asks to resume a stream; `None` for a call from the beginning.
    pub resume: Option<ResumePoint>,
}

/// Where a caller asks to resume a stream that broke off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePoint {
    /// Number of the last event that the caller received; `None` if it is not a number or was sent twice.
    pub event: Option<u64>,
    /// The call with which the stream began.
    pub first_call: FirstCall,
}

/// The call with which a resumed stream began, as its caller names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FirstCall {
    /// Id of the call that brought the stream's first event.
    Named(CallId),
    /// The caller names none.
    Missing,
    /// The caller names more than one, or none that can be read.
    Unreadable,
}

/// What a router adds to a call that it forwards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardTerms {
    /// Id of the only target that may run the call.
    pub instance: Arc<str>,
    /// Time left until the caller gives up.
    pub time_left: Duration,
    /// The only version of the adapter that may run the call.
    pub version: Option<AdapterVersion>,
    /// Rank in an engine's queue; 0 is first.
    pub urgency: u8,
    /// Event after which the run resumes a stream.
    pub resume_after: Option<u64>,
    /// Customer of the call, if it has one.
    pub customer: Option<CustomerName>,
}
