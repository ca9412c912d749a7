//! Customers: their keys, and limits that the whole fleet keeps together.

pub(super) mod fleet;
mod keys;
mod limits;
mod ways;
