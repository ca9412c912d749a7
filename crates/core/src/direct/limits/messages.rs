//! Messages between routers and meters: usage reports and grants.

use super::LimitTag;
use crate::{
    direct::{config::ConfigNumber, target_limit::LimitUpdate},
    ids::BootId,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Short stable hash that identifies a meter, computed from the id of the target whose loader runs it.
pub type MeterTag = u32;

/// Time after a router's start for which its reports list the units that it has used of limits. After a longer time
/// without calls, which exceeds the windows of all limits, a router knows by itself that a limit was not used.
pub const START_SPAN: Duration = Duration::from_secs(10);

/// Number that a meter assigns to a router on its first report.
pub type EnrolmentId = u64;

/// Tag of the meter that a target's loader runs; all routers compute the same tag.
pub fn meter_tag(target: &str) -> MeterTag {
    xxh3_64(target.as_bytes()) as MeterTag
}

/// Report of a router to a meter: a heartbeat, the meters that it reaches, and its requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// Identifies one start of the router; a restarted router has another id.
    pub boot: BootId,
    /// Increases with each report that the router sends to any meter after this start.
    pub sequence: u32,
    /// The meter that the report is sent to.
    pub meter: MeterTag,
    /// Enrolment that this meter last assigned; 0 before its first answer.
    pub enrolment: EnrolmentId,
    /// Meters that the router can reach, sorted. Each limit has its own order of meters, and is served by the first
    /// one of that order that is listed here.
    pub reachable: Vec<MeterTag>,
    /// Number of routers that this router knows, itself included.
    pub routers: u16,
    /// Configuration that the limits in `requests` are from.
    pub config: ConfigNumber,
    /// Limits of which the router requests units from this meter.
    #[serde(rename = "wishes")]
    pub requests: Vec<UsageRequest>,
    /// Limits of targets that the router knows.
    #[serde(rename = "news")]
    pub limit_updates: Vec<LimitUpdate>,
    /// Time in ms since the router started; 0 if unknown.
    pub uptime_ms: u32,
    /// Units that calls of this router have used since its start and that this meter has not granted under the current
    /// enrolment. Empty once the router is older than [`START_SPAN`].
    pub used_elsewhere: Vec<LimitUse>,
}

/// Units that one router has used of a limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitUse {
    /// The limit.
    pub tag: LimitTag,
    /// Units since the router's start.
    pub units: u32,
}

/// A router's request for units of one limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageRequest {
    /// The limit.
    pub tag: LimitTag,
    /// Units a second, over all routers.
    pub rate: f32,
    /// Largest burst in units, over all routers.
    pub capacity: f32,
    /// Units by which a grant may exceed the units left.
    pub overdraft: f32,
    /// Whether no call of this router used the limit within the last window; false if that is unknown.
    pub is_quiet: bool,
    /// Units requested since the enrolment, including those granted.
    pub wanted: u64,
    /// Requested units that waiting calls need; the rest refills the router's slice.
    pub needed: u32,
    /// Cost in units of the call that has waited longest for a grant; 0 if none waits.
    pub first: u32,
}

/// A meter's answer to a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageGrant {
    /// The meter that answers.
    pub meter: MeterTag,
    /// Sequence number of the report that is answered.
    pub sequence: u32,
    /// The router's enrolment at this meter.
    pub enrolment: EnrolmentId,
    /// One grant for each request of the report; fewer if the meter cannot track more limits.
    pub grants: Vec<LimitGrant>,
    /// Limits of targets that the report lacked or stated differently.
    #[serde(rename = "news")]
    pub limit_updates: Vec<LimitUpdate>,
}

/// Units of one limit that a router may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitGrant {
    /// The limit.
    pub tag: LimitTag,
    /// Units granted since the enrolment.
    pub granted: u64,
    /// Units left for all routers; below 0 while the limit is overdrawn.
    pub left: f32,
    /// Units a second that the meter grants to all its routers together.
    pub rate: f32,
    /// Whether the meter has granted units of this limit long enough for all routers to have switched to this meter.
    /// Until then the value of `left` is unreliable.
    pub is_settled: bool,
}
