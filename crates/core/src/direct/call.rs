//! What a router knows of one call before it chooses a target.

use super::customers::keys::PresentedKey;
use crate::ids::{AdapterName, AdapterVersion, BaseName, CustomerName};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Id of a call as its caller sent it.
pub type CallId = Arc<str>;

/// The adapter, or the base model itself, that a call asks for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelNeed {
    /// The base model.
    pub base: BaseName,
    /// The adapter of it; `None` asks for the base model.
    pub adapter: Option<AdapterName>,
}

/// A shared part of a prompt: its hash and its length in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash by which equal parts are known.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Tokens that a call states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub input: u32,
    /// Most tokens of the answer.
    pub output: u32,
}

/// What a call asks of a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelCall {
    /// The model.
    pub need: ModelNeed,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Most tokens of the answer.
    pub tokens_out: u32,
    /// Parts of the prompt that other calls may share, in order.
    pub parts: Vec<PromptPart>,
}

/// An adapter of a base model.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterId {
    /// The base model.
    pub base: BaseName,
    /// The adapter.
    pub name: AdapterName,
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
    /// Id that the caller gave; each try of a caller has its own.
    pub id: Option<CallId>,
    /// Host that the request names.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// What it bears to say whose it is.
    pub key: PresentedKey,
    /// Tokens that it states, if it does.
    pub tokens: Option<TokenCounts>,
    /// What it asks of a model, if anything.
    pub model: Option<ModelCall>,
    /// Last event that the caller has of an earlier run.
    pub last_event: Option<u64>,
}

/// What a router adds to a call that it sends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardTerms {
    /// The only incarnation of a target that may run it.
    pub instance: Arc<str>,
    /// Time left until the caller gives up.
    pub time_left: Duration,
    /// The only version of the adapter that may run it.
    pub version: Option<AdapterVersion>,
    /// Rank at an engine; 0 is first.
    pub urgency: u8,
    /// Event after which the run goes on.
    pub resume_after: Option<u64>,
    /// The customer whose call it is.
    pub customer: Option<CustomerName>,
}
