//! Limits that all routers keep together: each router uses slices that meters grant.

pub mod account;
pub mod bucket;
pub mod messages;
pub mod meter;
pub mod meters;
pub mod terms;

/// Stable hash of what a limit is of, short enough for each report of use.
pub type LimitTag = u64;
