//! Slots of plain services, shared by all routers: a coordinator grants each router its part of them.

pub mod account;
pub mod coordinator;
mod links;
pub mod messages;

use crate::ids::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

/// Stable hash of a service's name; short, as each report carries it.
pub type ServiceTag = u64;
/// Stable hash of the incarnation of a target.
pub type SlotTag = u64;

/// Tag of a service; all routers compute the same tag.
pub fn service_tag(service: &ServiceName) -> ServiceTag {
    xxh3_64(service.as_bytes())
}

/// Calls that may be in flight at a target, as a multiple of its slots. A slot is then never idle between two calls,
/// and the wait at the target is half a run time.
const IN_FLIGHT_FACTOR: f64 = 1.5;

/// Calls that all routers together may have in flight at a target with this number of slots.
fn in_flight_limit(slots: u16) -> u32 {
    (f64::from(slots) * IN_FLIGHT_FACTOR).ceil() as u32
}

/// Whether the slots of a service are coordinated. With fewer routers than a quarter of the slots, each router has
/// several slots, and its own view of the latency is enough.
pub fn is_coordinated(routers: usize, slots: u32) -> bool {
    slots > 0 && 4 * routers as u64 > u64::from(slots)
}
