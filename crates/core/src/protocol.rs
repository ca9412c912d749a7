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

/// Version of these messages; both ends must agree on it.
pub const PROTOCOL_VERSION: u16 = 1;

/// What a request asks a target for.
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
        /// The service.
        name: ServiceName,
    },
}

/// Method, path and headers of a request to hand on.
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
    /// The request.
    pub request: RequestId,
    /// Configuration revision that the entry resolved the request with.
    pub revision: ConfigRevision,
    /// Last [`TargetReport::residency`] that the entry has seen of this target.
    pub known_residency: u64,
    /// What to run.
    pub work: WorkItem,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Importance.
    pub priority: Priority,
    /// Who asks.
    pub caller: CallerName,
    /// The caller's weight against other callers.
    pub share: u32,
    /// Time until the caller's deadline, counted by the agent from receipt.
    pub time_left: Duration,
    /// What to send to the target.
    pub head: RequestHead,
    /// Body to send to the target.
    pub body: Bytes,
}

/// First frames of streams to an entry.
///
/// A load is asked for on a stream of its own; ending the stream gives the permit back, so a broker
/// need not trust agents to say so.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerFrame {
    /// Asks for the configuration and the targets, as a starting entry does in an outage.
    Join,
    /// Asks for a permit, or tells that its urgency has changed.
    Ask {
        /// Who loads what.
        request: PermitRequest,
        /// How much it is wanted.
        urgency: LoadUrgency,
    },
}

/// What an entry tells one that joins. The configuration travels as JSON, the form in which the
/// platform holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JoinFrame {
    /// The root.
    pub root: Bytes,
    /// All parts, by name.
    pub parts: Vec<(String, Bytes)>,
    /// The targets.
    pub targets: Vec<TargetRecord>,
}

/// The broker's answer on the same stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantFrame {
    /// Who may load what.
    pub request: PermitRequest,
}

/// Frames from entry to agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryFrame {
    /// Offers a request; first frame of its stream.
    Offer(Box<OfferFrame>),
    /// Releases a reserved non-idempotent request to the target.
    Run {
        /// The request.
        request: RequestId,
    },
}

/// An agent's state, sent back on every exchange. Soft: it may be stale on arrival.
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
    /// Expected wait until an adapter asked for now is loaded.
    pub load_wait: Duration,
    /// What others would lose by the eviction that a load needs, as a wait.
    pub slot_cost: Duration,
    /// Mean time that a request runs.
    pub service_time: Duration,
    /// Whether the target takes no new work.
    pub leaving: bool,
    /// Configuration revision of the agent.
    pub revision: ConfigRevision,
}

/// Frames from agent to entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AgentFrame {
    /// The request has a place.
    Accepted {
        /// The request.
        request: RequestId,
        /// State after accepting it.
        report: TargetReport,
    },
    /// The request was not, and will not be, handed to the target.
    Refused {
        /// The request.
        request: RequestId,
        /// Reason and hint.
        refusal: Refusal,
        /// State after refusing it.
        report: TargetReport,
    },
    /// The target's answer begins.
    Head {
        /// The request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<(String, Bytes)>,
        /// Adapter and version that the answer itself names.
        ran_on: Option<AdapterKey>,
        /// Time that the request waited for its adapter.
        load_stall: Duration,
    },
    /// A piece of the body.
    Chunk {
        /// The request.
        request: RequestId,
        /// The bytes.
        data: Bytes,
    },
    /// The answer is whole.
    End {
        /// The request.
        request: RequestId,
        /// State after the request.
        report: TargetReport,
    },
    /// The answer cannot be completed.
    Failed {
        /// The request.
        request: RequestId,
        /// What is known of the request.
        outcome: RunOutcome,
        /// What went wrong, with step and peer.
        message: String,
    },
}

impl AgentFrame {
    /// Whether nothing follows it on its stream.
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

/// A permit that was asked for or granted.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Who loads.
    pub target: TargetName,
    /// What.
    pub key: AdapterKey,
}
