//! What an agent's state machine takes in and gives out.

use crate::{
    ids::{AdapterKey, CallerName, ConfigRevision},
    outcome::Refusal,
    priority::{LoadUrgency, Priority},
    protocol::WorkItem,
};
use std::time::Duration;

/// Number of an offer, unique in one agent process.
pub type WorkId = u64;

/// What the decisions need to know of an offer.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferSummary {
    /// The agent's number for it.
    pub work: WorkId,
    /// What to run.
    pub item: WorkItem,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Importance.
    pub priority: Priority,
    /// Who asks.
    pub caller: CallerName,
    /// The caller's weight.
    pub share: u32,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Configuration revision of the sender.
    pub revision: ConfigRevision,
}

impl OfferSummary {
    /// Whether it runs on `key`.
    pub fn needs(&self, key: &AdapterKey) -> bool {
        matches!(&self.item, WorkItem::Completion { key: needed, .. } if needed == key)
    }
}

/// How a load order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadResult {
    /// The adapter is resident.
    Loaded,
    /// The engine could not load it.
    Failed,
    /// The weight store refused for now.
    StoreBusy,
}

/// Events of an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentEvent {
    /// An entry offers a request.
    Offered(Box<OfferSummary>),
    /// The entry releases a reserved request.
    Released(WorkId),
    /// The entry or its caller went away.
    Cancelled(WorkId),
    /// The target's part of a request has ended, however it did.
    Finished {
        /// The request.
        work: WorkId,
        /// Time that it ran.
        service_time: Duration,
    },
    /// The engine refused a request because it does not hold the adapter.
    AdapterMissing(WorkId),
    /// A load may be ordered.
    LoadPermitted(AdapterKey),
    /// A load order ended.
    LoadEnded {
        /// The adapter.
        key: AdapterKey,
        /// How it ended.
        result: LoadResult,
        /// Time that it took.
        took: Duration,
    },
    /// An evict order ended.
    EvictEnded {
        /// The adapter.
        key: AdapterKey,
        /// Whether the engine has let go of it.
        evicted: bool,
    },
    /// The engine's own list of what it holds.
    Inventory(Vec<AdapterKey>),
    /// The engine came back empty.
    TargetRestarted,
    /// Whether the target answers.
    TargetUp(bool),
    /// The target turned a request away and wants none for so long.
    TargetRests(Duration),
    /// Whether this process holds the lease of its target.
    LeaseHeld(bool),
    /// A configuration is in force.
    Configured {
        /// Its revision.
        revision: ConfigRevision,
        /// Requests that may wait at one target.
        queue_limit: u32,
    },
    /// The process was told to stop.
    Stopping,
    /// Time has passed.
    Tick,
}

/// Actions of an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Tell the entry that the request has a place.
    Accept {
        /// The request.
        work: WorkId,
    },
    /// Tell the entry that the request was not run, and forget it.
    Refuse {
        /// The request.
        work: WorkId,
        /// Why.
        refusal: Refusal,
    },
    /// Hand the request to the target.
    Start {
        /// The request.
        work: WorkId,
        /// Time that it waited for its adapter.
        load_stall: Duration,
    },
    /// Cancel the request at the target; `Finished` follows.
    Abort {
        /// The request.
        work: WorkId,
    },
    /// Ask for a load permit, or tell that its urgency has changed.
    AskPermit {
        /// The adapter.
        key: AdapterKey,
        /// How much it is wanted.
        urgency: LoadUrgency,
    },
    /// Take back a request for a permit: nobody waits for the adapter any more.
    DropPermit {
        /// The adapter.
        key: AdapterKey,
    },
    /// Order the engine to load.
    Load {
        /// The adapter.
        key: AdapterKey,
    },
    /// Order the engine to evict.
    Evict {
        /// The adapter.
        key: AdapterKey,
    },
}
