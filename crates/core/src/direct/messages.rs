//! Messages between routers and loaders: whole states in single datagrams, so that a lost, doubled
//! or reordered one costs time and nothing else.

use super::{
    directory::{RouterDirectory, RouterPresence},
    limits::messages::{UsageGrant, UsageReport},
    membership::{BaseHolding, TargetIncarnation},
};
use crate::ids::{AdapterName, AdapterVersion, BaseName, BootId};
use serde::{Deserialize, Serialize};

/// A datagram of a router to a loader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouterMessage {
    /// Its load requests and uses at the engine.
    Notice(RouterNotice),
    /// That it is alive.
    Presence(RouterPresence),
    /// What its customers use.
    Usage(UsageReport),
}

/// A datagram to a router: of a loader, or of a router that knows no loader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LoaderMessage {
    /// What it knows of its engine.
    Report(LoaderReport),
    /// Which routers are alive.
    Directory(RouterDirectory),
    /// What a router's customers may use.
    Grant(UsageGrant),
    /// That another router is alive, told to one of those in its settings.
    Presence(RouterPresence),
}

/// A router's standing request that the loader's engine hold an adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRequest {
    /// The base model.
    pub base: BaseName,
    /// The adapter.
    pub adapter: AdapterName,
    /// Oldest version that serves.
    pub version: AdapterVersion,
    /// Calls that wait for it now; 0 where it is wanted ahead of calls.
    pub waiting: u16,
    /// Rank of the most urgent call that waits; 0 is first.
    pub priority: u8,
    /// Time in ms within which the adapter must be there for a call that waits to meet its objective, of
    /// the call that has most of it; 0 if all are late.
    pub slack_ms: u16,
}

/// Calls of a router that use an adapter at the loader's engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterUse {
    /// The base model.
    pub base: BaseName,
    /// The adapter.
    pub adapter: AdapterName,
    /// Calls sent and not yet ended.
    pub running: u16,
    /// Calls sent since the last notice.
    pub started: u16,
    /// Tokens of their prompts.
    pub started_tokens: u32,
}

/// A base model that the loader may put on its engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaseOffer {
    /// The base model.
    pub base: BaseName,
    /// Size of its weights in MB.
    pub weights_mb: f32,
    /// Size of one adapter in MB.
    pub adapter_mb: f32,
}

/// What a router tells a loader: all of its load requests and uses there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouterNotice {
    /// The router's start.
    pub boot: BootId,
    /// Grows with each notice of this start.
    pub sequence: u32,
    /// The target that the router believes to stand beside the loader.
    #[serde(rename = "life")]
    pub incarnation: TargetIncarnation,
    /// Adapter slots of an engine of the service.
    #[serde(rename = "adapter_places")]
    pub adapter_slots: u16,
    /// Room for weights and adapters in MB.
    pub memory_mb: f32,
    /// Base models of the service; told with the first notice, and while the engine is believed to hold none.
    pub bases: Vec<BaseOffer>,
    /// Adapters wanted.
    #[serde(rename = "wishes")]
    pub load_requests: Vec<LoadRequest>,
    /// Adapters in use.
    pub uses: Vec<AdapterUse>,
    /// Whether the router wants a report in answer.
    #[serde(rename = "asks")]
    pub wants_report: bool,
}

/// What a loader tells routers of its engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoaderReport {
    /// The loader's start.
    pub boot: BootId,
    /// Grows with each report of this start.
    pub sequence: u32,
    /// The engine that the loader orders.
    #[serde(rename = "life")]
    pub incarnation: TargetIncarnation,
    /// Whether the engine answers the loader.
    pub is_answering: bool,
    /// Whether the engine is draining.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// What the engine holds.
    pub holdings: Vec<BaseHolding>,
    /// How often each of their adapters is wanted here, as [`encode_rate`] gives it, in the same order.
    ///
    /// [`encode_rate`]: super::demand::encode_rate
    pub rates: Vec<u16>,
    /// Adapters that could be loaded at once, without waiting for runs to end; below 0 where calls wait for
    /// slots already.
    #[serde(rename = "room")]
    pub free_slots: i32,
    /// Adapters being loaded or replaced.
    #[serde(rename = "coming")]
    pub loading: Vec<(BaseName, AdapterName)>,
    /// Expected time in ms of a load from the weight store.
    pub load_ms: u16,
    /// Wait in ms before one could begin.
    pub queue_ms: u16,
    /// Calls that the engine runs.
    pub active: u16,
    /// Calls that wait at the engine.
    pub queued: u16,
    /// Tokens of memory in use that cannot be given up.
    pub kv_used: u32,
    /// Tokens of prompts that the engine has most likely not prefilled yet, of all routers' calls.
    #[serde(rename = "unread_tokens")]
    pub prefill_tokens: u32,
}
