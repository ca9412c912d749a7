//! Events and actions of an agent's state machine.

use crate::{
    ids::{AdapterKey, CallerName, ConfigRevision},
    outcome::Refusal,
    priority::{LoadUrgency, Priority},
    protocol::WorkItem,
};
use std::time::Duration;

/// Number of an offer, unique in one agent process.
pub type WorkId = u64;

/// The properties of an offer that the agent's decisions depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferSummary {
    /// Number that the agent assigned to the offer.
    pub work: WorkId,
    /// Adapter or service that the request needs.
    pub item: WorkItem,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Priority that the entry sent.
    pub priority: Priority,
    /// Name of the caller.
    pub caller: CallerName,
    /// The caller's weight in fair queueing.
    pub share: u32,
    /// Time from receipt until the deadline.
    pub time_left: Duration,
    /// Configuration revision of the sender.
    pub revision: ConfigRevision,
}

impl OfferSummary {
    /// Whether the request needs the adapter `key`.
    pub fn needs(&self, key: &AdapterKey) -> bool {
        matches!(&self.item, WorkItem::Completion { key: needed, .. } if needed == key)
    }
}

/// Result of a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadResult {
    /// The adapter is loaded and requests can run on it.
    Loaded,
    /// The engine could not load it.
    Failed,
    /// The weight store is busy; the load may be tried again later.
    StoreBusy,
}

/// Inputs of the agent's state machine: messages from entries, the broker, the engine and the platform, and
/// timers.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentEvent {
    /// An entry offers a request.
    Offered(Box<OfferSummary>),
    /// The entry releases a reserved request.
    Released(WorkId),
    /// The entry has closed the stream, or its caller has left.
    Cancelled(WorkId),
    /// The request no longer runs at the target, whether it succeeded or failed.
    Finished {
        /// Number that the agent gave the request.
        work: WorkId,
        /// Time that it ran.
        service_time: Duration,
    },
    /// The engine refused a request because it does not hold the adapter.
    AdapterMissing(WorkId),
    /// The broker has granted a load permit for this adapter.
    LoadPermitted(AdapterKey),
    /// A load order has ended.
    LoadEnded {
        /// Adapter that was to be loaded.
        key: AdapterKey,
        /// Result of the load.
        result: LoadResult,
        /// Time that it took.
        took: Duration,
    },
    /// An eviction order has ended.
    EvictEnded {
        /// Adapter that was to be evicted.
        key: AdapterKey,
        /// Whether the engine has unloaded it.
        evicted: bool,
    },
    /// The engine's own list of its loaded adapters.
    Inventory(Vec<AdapterKey>),
    /// The engine has restarted and holds no adapters.
    TargetRestarted,
    /// Whether the target answers.
    TargetUp(bool),
    /// The target refused a request and asked for a backoff of this length.
    TargetBacksOff(Duration),
    /// Whether this process holds the lease of its target.
    LeaseHeld(bool),
    /// A configuration has come into force.
    Configured {
        /// Revision of the configuration.
        revision: ConfigRevision,
        /// Requests that may wait at one target.
        queue_limit: u32,
    },
    /// The process is shutting down.
    Stopping,
    /// Periodic timer for deadlines and retries.
    Tick,
}

/// Outputs of the agent's state machine, which the agent's process carries out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Notify the entry that the request is accepted.
    Accept {
        /// Number that the agent gave the request.
        work: WorkId,
    },
    /// Notify the entry that the request was not run, and drop it.
    Refuse {
        /// Number that the agent gave the request.
        work: WorkId,
        /// Reason, and when to retry.
        refusal: Refusal,
    },
    /// Send the request to the target.
    Start {
        /// Number that the agent gave the request.
        work: WorkId,
        /// Time that it waited for its adapter.
        load_stall: Duration,
    },
    /// Cancel the request at the target; `Finished` follows.
    Abort {
        /// Number that the agent gave the request.
        work: WorkId,
    },
    /// Request a load permit from the broker, or update the urgency of an earlier request.
    AskPermit {
        /// Adapter that accepted work waits for.
        key: AdapterKey,
        /// Urgency of the load.
        urgency: LoadUrgency,
    },
    /// Cancel a permit or a request for one: no work waits for the adapter any more.
    DropPermit {
        /// Adapter that no work waits for any more.
        key: AdapterKey,
    },
    /// Order the engine to load.
    Load {
        /// Adapter to load.
        key: AdapterKey,
    },
    /// Order the engine to evict.
    Evict {
        /// Adapter to evict.
        key: AdapterKey,
    },
}
