//! Messages between routers and loaders. Each datagram holds a complete state, so that a lost, duplicated or
//! reordered one only costs time.

use super::{
    concurrency::messages::{SlotGrant, SlotReport},
    directory::{RouterDirectory, RouterPresence},
    limits::messages::{UsageGrant, UsageReport},
    membership::{BaseHolding, TargetIncarnation},
    streams::messages::{StreamAnswer, StreamNotice, StreamQuery, StreamReceipt},
};
use crate::ids::{AdapterName, AdapterVersion, BaseName, BootId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A datagram from a router to a loader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouterMessage {
    /// The router's load requests and uses at the engine.
    Notice(RouterNotice),
    /// The router's heartbeat.
    Presence(RouterPresence),
    /// The router's report to a meter, with its requests for units of rate limits.
    Usage(UsageReport),
    /// The router's report to the coordinator of a service's slots.
    Slots(SlotReport),
    /// The versions at which the router's streams began.
    Streams(StreamNotice),
    /// A query for the version at which a stream began.
    StreamQuery(StreamQuery),
}

/// A datagram to a router, from a loader or from a router that knows no loader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LoaderMessage {
    /// State of the loader's engine.
    Report(LoaderReport),
    /// Which routers are alive.
    Directory(RouterDirectory),
    /// A meter's grants of units of rate limits to the router.
    Grant(UsageGrant),
    /// Heartbeat of another router, sent to the routers in its settings.
    Presence(RouterPresence),
    /// A coordinator's grant of slots of a service to the router.
    Slots(SlotGrant),
    /// Acknowledgement of a router's notice of streams.
    StreamReceipt(StreamReceipt),
    /// Answer to a router's query for a stream.
    StreamAnswer(StreamAnswer),
}

/// A router's standing request that the loader's engine hold an adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRequest {
    /// Name of the adapter's base model.
    pub base: BaseName,
    /// Name of the requested adapter.
    pub adapter: AdapterName,
    /// Oldest version that may run the calls.
    pub version: AdapterVersion,
    /// Calls that wait for it now; 0 for a prefetch.
    pub waiting: u16,
    /// Priority of the most urgent call that waits; 0 is first.
    pub priority: u8,
    /// Time in ms within which the adapter must be loaded for a waiting call to meet its objective; the largest of
    /// all waiting calls, 0 if all are late.
    pub slack_ms: u16,
}

/// Calls of a router that use an adapter at the loader's engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterUse {
    /// Name of the adapter's base model.
    pub base: BaseName,
    /// Name of the adapter that the calls use.
    pub adapter: AdapterName,
    /// Calls sent and not yet ended.
    pub running: u16,
    /// Calls sent since the last notice.
    pub started: u16,
    /// Prompt tokens of the calls sent since the last notice.
    pub started_tokens: u32,
}

/// A base model of the engine's service, with its sizes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaseOffer {
    /// Name of the base model.
    pub base: BaseName,
    /// Size of its weights in MB, rounded up.
    pub weights_mb: f32,
    /// Size of one adapter in MB, rounded up.
    pub adapter_mb: f32,
}

/// A router's state for one loader: all of its load requests, and its calls that use adapters, at the loader's engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouterNotice {
    /// Identifies one start of the router; a restarted router has another id.
    pub boot: BootId,
    /// Increases with each notice that the router sends after this start.
    pub sequence: u32,
    /// The incarnation of the loader's engine that the router knows.
    #[serde(rename = "life")]
    pub incarnation: TargetIncarnation,
    /// Adapter slots of an engine of the service.
    #[serde(rename = "adapter_places")]
    pub adapter_slots: u16,
    /// Memory of an engine for weights and adapters in MB, rounded down.
    pub memory_mb: f32,
    /// Base models of the service; sent with the first notice, and while the router knows the engine as empty.
    pub bases: Vec<BaseOffer>,
    /// Adapters that the engine should hold.
    #[serde(rename = "wishes")]
    pub load_requests: Vec<LoadRequest>,
    /// Adapters in use.
    pub uses: Vec<AdapterUse>,
    /// Whether the router requests a report in reply.
    #[serde(rename = "asks")]
    pub wants_report: bool,
    /// Prompt tokens of the calls whose first byte arrived since the last notice.
    pub answered_tokens: u32,
    /// Highest ratio of prompt tokens to the time to the first byte among those calls, in 1/16 token a millisecond;
    /// 0 if there is none.
    pub best_prefill: u16,
    /// Runs that ended since the last notice.
    pub ended_runs: u16,
    /// Sum in ms of the times of those runs.
    pub ended_ms: u32,
    /// Sizes of the base models that the load requests name or the engine holds, by the router's configuration; empty
    /// without load requests.
    pub sizes: Vec<BaseOffer>,
}

/// A loader's report of its engine to routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoaderReport {
    /// Identifies one start of the loader; a restarted loader has another id.
    pub boot: BootId,
    /// Increases with each report that the loader sends after this start.
    pub sequence: u32,
    /// The incarnation of the loader's engine.
    #[serde(rename = "life")]
    pub incarnation: TargetIncarnation,
    /// Whether the engine answers the loader.
    pub is_answering: bool,
    /// Whether the engine is draining.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// Base models and adapters held.
    pub holdings: Vec<BaseHolding>,
    /// Demand for each of their adapters at this engine, encoded by [`encode_rate`], in the same order.
    ///
    /// [`encode_rate`]: super::demand::encode_rate
    pub rates: Vec<u16>,
    /// Adapters that could be loaded at once, without waiting for runs to end; negative if loads already wait for
    /// slots.
    #[serde(rename = "room")]
    pub free_slots: i32,
    /// Adapters being loaded or replaced.
    #[serde(rename = "coming")]
    pub loading: Vec<(BaseName, AdapterName)>,
    /// Expected time in ms of a load from the weight store.
    pub load_ms: u16,
    /// Wait in ms before a new load from the weight store could begin.
    pub queue_ms: u16,
    /// Calls that the engine runs.
    pub active: u16,
    /// Calls queued at the engine.
    pub queued: u16,
    /// Tokens of KV cache in use that cannot be evicted.
    pub kv_used: u32,
    /// Estimate of prompt tokens of all routers' calls that the engine has not prefilled yet.
    #[serde(rename = "unread_tokens")]
    pub prefill_tokens: u32,
    /// Prompt tokens that the engine prefills, in 1/16 token a millisecond; 0 if unknown.
    pub prefill_rate: u16,
    /// Mean time in ms of a run; 0 if unknown.
    pub run_ms: u16,
    /// Adapters that the engine does not hold, but that a load is expected to find in the memory of its host; the newest
    /// ones, by [`AdapterId::fingerprint`].
    ///
    /// [`AdapterId::fingerprint`]: super::call::AdapterId::fingerprint
    pub host_memory: Vec<u16>,
}

/// Zero bytes appended to a datagram that ends too early. A field that was added later takes one byte if it is 0 or
/// empty, and no message has more than eight of them.
const MISSING_FIELDS: [u8; 8] = [0; 8];

/// Decodes a datagram between routers and loaders.
///
/// The encoding does not describe itself, so fields are only ever added at the end of a message's last struct. A
/// process of an older build ignores them; the fields that a datagram of an older build lacks are read as 0 or empty.
pub fn decode_datagram<M: DeserializeOwned>(datagram: &[u8]) -> postcard::Result<M> {
    match postcard::from_bytes(datagram) {
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            postcard::from_bytes(&[datagram, &MISSING_FIELDS].concat())
        }
        decoded => decoded,
    }
}
