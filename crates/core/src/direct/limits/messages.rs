//! Messages between routers and meters about what limits are used.

use super::LimitTag;
use crate::{
    direct::{config::ConfigNumber, target_limit::LimitUpdate},
    ids::BootId,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Short stable hash of the target beside which a meter stands.
pub type MeterTag = u32;

/// Number that a meter gives a router when it first hears of it.
pub type EnrolmentId = u64;

/// Hash by which all routers know the meter beside a target.
pub fn meter_tag(target: &str) -> MeterTag {
    xxh3_64(target.as_bytes()) as MeterTag
}

/// What a router tells a meter: that it is alive, whom it can reach, and what it wants.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// The router's start.
    pub boot: BootId,
    /// Grows with each report of this start, to whichever meter.
    pub sequence: u32,
    /// The meter that is meant.
    pub meter: MeterTag,
    /// What this meter last told the router; 0 if nothing.
    pub enrolment: EnrolmentId,
    /// Meters that the router can reach, in order: each limit's meter is the first among them in the
    /// limit's own order.
    pub reachable: Vec<MeterTag>,
    /// Routers that there are, as far as the router knows.
    pub routers: u16,
    /// The configuration that the limits below are from.
    pub config: ConfigNumber,
    /// Limits that the router uses at this meter now.
    #[serde(rename = "wishes")]
    pub requests: Vec<UsageRequest>,
    /// What the router knows of targets' limits.
    #[serde(rename = "news")]
    pub limit_updates: Vec<LimitUpdate>,
}

/// What a router wants of one limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageRequest {
    /// The limit.
    pub tag: LimitTag,
    /// Units a second, over all routers.
    pub rate: f32,
    /// Most units at once, over all routers.
    pub capacity: f32,
    /// Units by which a grant may exceed what is left.
    pub overdraft: f32,
    /// Whether no call used any of it at this router within the last window, as far as that is known.
    pub is_quiet: bool,
    /// Units wanted since the enrolment, those granted included.
    pub wanted: u64,
    /// Units of these that calls wait for; the rest is held for calls to come.
    pub needed: u32,
    /// Cost of the call that waits longest for a grant; 0 if none waits.
    pub first: u32,
}

/// What a meter answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageGrant {
    /// The meter that answers.
    pub meter: MeterTag,
    /// The report that is answered.
    pub sequence: u32,
    /// The number that the router has here.
    pub enrolment: EnrolmentId,
    /// For each request of the report.
    pub grants: Vec<LimitGrant>,
    /// Limits of targets that the router knows otherwise.
    #[serde(rename = "news")]
    pub limit_updates: Vec<LimitUpdate>,
}

/// What a router may use of one limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitGrant {
    /// The limit.
    pub tag: LimitTag,
    /// Units granted since the enrolment.
    pub granted: u64,
    /// Units left for all routers; below 0 while the limit is overdrawn.
    pub left: f32,
    /// Units a second that the meter grants in all.
    pub rate: f32,
    /// Whether the meter has kept this limit for a while: while routers are still going over to it, what it
    /// has left says little.
    pub is_settled: bool,
}
