//! Messages between routers and coordinators: what a router uses, and what it may use.

use super::{ServiceTag, SlotTag};
use crate::ids::BootId;
use serde::{Deserialize, Serialize};

/// A router's calls at one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotUse {
    /// The target.
    pub tag: SlotTag,
    /// Calls that the target runs at once, as the list of targets states it.
    pub slots: u16,
    /// Calls that the router has in flight there.
    pub in_use: u16,
    /// Mean time in ms from send to end of the calls that ended there since the last report; 0 if none did.
    pub run_ms: u16,
}

/// Report of a router to the coordinator of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotReport {
    /// Identifies one start of the router; a restarted router has another id.
    pub boot: BootId,
    /// Increases with each report of the router on this service.
    pub sequence: u32,
    /// The service.
    pub service: ServiceTag,
    /// Targets of the service in the order in which the router prefers them: those of its own zone first.
    pub targets: Vec<SlotUse>,
    /// Calls that wait at the router for a slot.
    pub waiting: u16,
    /// Number of the last grant that the router has applied; 0 if none. It shows which changes of `allowed` the
    /// router did not know when it sent the report.
    pub applied: u32,
}

/// Slots of one target that a router may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowedSlots {
    /// The target.
    pub tag: SlotTag,
    /// Calls that the router may have in flight there.
    pub allowed: u16,
}

/// Answer of a coordinator to a report, or a later change of what the router may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotGrant {
    /// The service.
    pub service: ServiceTag,
    /// Sequence number of the report that the grant answers or follows.
    pub sequence: u32,
    /// Slots that the router may use; none at targets that are missing.
    pub targets: Vec<AllowedSlots>,
    /// Calls that wait at all routers.
    pub waiting: u32,
    /// Increases with each change of `targets` for the router.
    pub number: u32,
}
