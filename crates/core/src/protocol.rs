//! Messages between entry and agent, one QUIC stream per request.
//!
//! The entry sends one [`EntryFrame::Offer`]. The agent answers `Accepted` or `Refused`; a
//! non-idempotent request waits for [`EntryFrame::Run`]. `Head`, any number of `Chunk` and `End`
//! carry the answer. Every frame names its request, and an answer without `End` is incomplete.

use crate::{
    ids::{
        AdapterDigest, AdapterKey, BaseName, CallerName, ConfigRevision, RequestId, ServiceName,
        TargetName,
    },
    outcome::{Refusal, RunOutcome},
    priority::{LoadUrgency, Priority},
    target::TargetRecord,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Version of the messages between entries and agents; both processes must use the same one.
pub const PROTOCOL_VERSION: u16 = 1;

/// The work that a request asks a target to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkItem {
    /// A completion by one version of an adapter of a base model.
    Completion {
        /// Adapter and version, resolved once at admission.
        key: AdapterKey,
        /// Base model that the engine must serve.
        base: BaseName,
    },
    /// A call of a plain service.
    Service {
        /// Name of the service.
        name: ServiceName,
    },
}

/// Method, path and headers of a request to forward.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, Bytes)>,
}

/// An entry's offer of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OfferFrame {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol: u16,
    /// Number of the request, unique within the entry process.
    pub request: RequestId,
    /// Configuration revision with which the entry resolved the request.
    pub revision: ConfigRevision,
    /// Last [`TargetReport::residency`] that the entry has received from this target.
    pub known_residency: u64,
    /// Adapter or service that the request needs.
    pub work: WorkItem,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Priority of the request.
    pub priority: Priority,
    /// Name of the caller.
    pub caller: CallerName,
    /// The caller's weight in fair queueing.
    pub share: u32,
    /// Time until the caller's deadline; the agent counts it from receipt.
    pub time_left: Duration,
    /// Method, path and headers to send to the target.
    pub head: RequestHead,
    /// Body to send to the target.
    pub body: Bytes,
}

/// First frame of a stream that an agent or another entry opens to an entry; it states the request.
///
/// Each permit is requested on a stream of its own; the end of the stream returns the permit, so a
/// broker does not depend on agents to return permits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerFrame {
    /// Requests the configuration and the targets, as an entry does that starts while the platform is
    /// down.
    Join,
    /// Requests a permit, or updates the urgency of the request.
    Ask {
        /// Target and adapter of the load.
        request: PermitRequest,
        /// Urgency of the load.
        urgency: LoadUrgency,
    },
}

/// Reply to [`PeerFrame::Join`]. The configuration is sent as JSON, the form in which the platform
/// holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JoinFrame {
    /// The configuration root, as JSON.
    pub root: Bytes,
    /// Names and JSON contents of all parts.
    pub parts: Vec<(String, Bytes)>,
    /// The targets that the sender knows.
    pub targets: Vec<TargetRecord>,
}

/// The broker's grant, sent on the stream of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantFrame {
    /// Target and adapter that may be loaded now.
    pub request: PermitRequest,
}

/// Frames from entry to agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryFrame {
    /// Offers a request; first frame of its stream.
    Offer(Box<OfferFrame>),
    /// Releases a reserved non-idempotent request to the target.
    Run {
        /// Number that the entry assigned to the request.
        request: RequestId,
    },
}

/// An agent's state, sent with its answers. It may be stale on arrival.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetReport {
    /// Counter that grows with each change of the resident set.
    pub residency: u64,
    /// Resident adapters, sent only when the receiver's counter differs.
    pub residents: Option<Vec<AdapterDigest>>,
    /// Adapters being loaded or waiting for a load, sent with `residents`.
    pub loading: Vec<AdapterDigest>,
    /// Requests running at the target.
    pub running: u32,
    /// Requests accepted and waiting.
    pub queued: u32,
    /// Requests that the target runs at once.
    pub batch_limit: u32,
    /// Expected wait until an adapter that is requested now is loaded.
    pub load_wait: Duration,
    /// Expected cost to other requests, as a wait, of the eviction that a load needs.
    pub slot_cost: Duration,
    /// Mean time that a request runs.
    pub service_time: Duration,
    /// Whether the agent is draining and accepts no new work.
    pub leaving: bool,
    /// Configuration revision of the agent.
    pub revision: ConfigRevision,
}

/// Frames from agent to entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AgentFrame {
    /// The request is accepted: it is queued, or reserved until `Run` if it is not idempotent.
    Accepted {
        /// Number that the entry assigned to the request.
        request: RequestId,
        /// State after accepting it.
        report: TargetReport,
    },
    /// The request was not, and will not be, sent to the target.
    Refused {
        /// Number that the entry assigned to the request.
        request: RequestId,
        /// Reason, and when to retry.
        refusal: Refusal,
        /// State after refusing it.
        report: TargetReport,
    },
    /// Start of the target's answer.
    Head {
        /// Number that the entry assigned to the request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<(String, Bytes)>,
        /// Adapter and version that the answer itself names, if any.
        ran_on: Option<AdapterKey>,
        /// Time that the request waited for its adapter.
        load_stall: Duration,
    },
    /// Part of the answer's body.
    Chunk {
        /// Number that the entry assigned to the request.
        request: RequestId,
        /// Bytes of the body.
        data: Bytes,
    },
    /// The answer is complete; last frame of an answered request.
    End {
        /// Number that the entry assigned to the request.
        request: RequestId,
        /// State after the request.
        report: TargetReport,
    },
    /// The answer cannot be completed.
    Failed {
        /// Number that the entry assigned to the request.
        request: RequestId,
        /// Whether the request may have run.
        outcome: RunOutcome,
        /// Error message, with step and peer.
        message: String,
    },
}

impl AgentFrame {
    /// Whether it is the last frame of its stream.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::End { .. } | Self::Failed { .. })
    }

    /// The request that the frame belongs to.
    pub fn request(&self) -> RequestId {
        match self {
            Self::Accepted { request, .. }
            | Self::Refused { request, .. }
            | Self::Head { request, .. }
            | Self::Chunk { request, .. }
            | Self::End { request, .. }
            | Self::Failed { request, .. } => *request,
        }
    }
}

/// A permit that is requested or granted.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Target that loads.
    pub target: TargetName,
    /// Adapter to load.
    pub key: AdapterKey,
}
