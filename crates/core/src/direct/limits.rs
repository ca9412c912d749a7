//! Rate limits shared by all routers: meters grant slices of each limit to the routers.

pub mod account;
pub mod bucket;
pub mod messages;
pub mod meter;
pub mod meters;
pub mod terms;

/// Stable hash of the customer or target incarnation that a limit applies to; short, as each usage report carries it.
pub type LimitTag = u64;
