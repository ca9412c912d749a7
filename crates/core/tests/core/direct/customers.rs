//! Customers: their keys, and limits that all routers enforce together.

pub(super) mod fleet;
mod keys;
mod limits;
mod ways;
