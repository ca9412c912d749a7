//! Rate limits, and how they are divided among the routers of a fleet.

use crate::direct::call::TokenCounts;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Units that a call uses of its limit.
pub type UsageCost = u32;

/// Unit in which a limit counts usage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UsageUnit {
    /// Calls.
    Calls,
    /// Tokens: the counts that a call states, or a fixed number if it states none.
    Tokens {
        /// Units of a call that states no token counts.
        plain: UsageCost,
    },
}

/// A rate limit over all routers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageLimit {
    /// What the limit counts.
    pub unit: UsageUnit,
    /// Units a second.
    pub rate: f64,
    /// Units of the limit that may be used at once, in addition to those that `rate` allows over time.
    pub burst: f64,
}

impl UsageLimit {
    /// Units that a call uses; `tokens` is `None` if it states no token counts.
    pub fn cost(&self, tokens: Option<TokenCounts>) -> UsageCost {
        match (self.unit, tokens) {
            (UsageUnit::Calls, _) => 1,
            (UsageUnit::Tokens { plain }, None) => plain,
            (UsageUnit::Tokens { .. }, Some(counts)) => counts.input.saturating_add(counts.output),
        }
    }

    /// Maximum of units that the limit allows in any span of this length.
    pub fn total(&self, span: Duration) -> f64 {
        self.rate * span.as_secs_f64() + self.burst
    }
}

/// The window over which a limit must hold, and the tolerance by which the fleet may exceed it: routers learn of each
/// other's usage with a delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitTerms {
    /// Span over which usage is counted.
    pub window: Duration,
    /// Tolerance as a part of the units that the limit allows in a window.
    pub overage: f64,
    /// Tolerance in units, added to that of `overage`.
    pub slack: f64,
}

/// A limit with the terms under which it must hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRule {
    /// The rate limit.
    pub limit: UsageLimit,
    /// Window and tolerance.
    pub terms: LimitTerms,
    /// Whether calls may have used it before it was known; a meter that is new to it then grants no burst.
    pub is_used_before: bool,
}

/// Part of the tolerance that is added to the burst, so that the bucket does not refuse calls that arrive slightly
/// closer together than the fleet's clocks show.
const BURST_SHARE: f64 = 0.2;
/// Part of the tolerance that all routers together may hold unused.
const SLICE_SHARE: f64 = 0.25;
/// Part of the tolerance that all routers together may use before their meters grant it.
const CREDIT_SHARE: f64 = 0.1;
/// Part of the tolerance by which one large call may exceed the units left. Up to this size, large and small calls
/// have the same chance at an exhausted limit; without it a large call would wait for the bucket to fill while small
/// ones keep it empty.
const OVERDRAFT_SHARE: f64 = 0.15;
/// Time after which units of a call that did not run are no longer refunded: they might be used again in a window
/// that does not include their first use. The rest of the tolerance covers refunds within this span.
pub const REFUND_LIMIT: Duration = Duration::from_millis(300);

/// Number of routers that share a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetSize {
    /// Known routers, at least one.
    pub known: usize,
    /// Upper bound of the routers that may exist; without a meter, a router uses only the share that this leaves it.
    pub upper_bound: usize,
}

impl FleetSize {
    /// A fleet with `known` known routers and at most `upper_bound` in all.
    pub fn new(known: usize, upper_bound: usize) -> Self {
        let known = known.max(1);
        Self { known, upper_bound: upper_bound.max(known) }
    }
}

/// The parts of a limit that one router, or one grant, may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShares {
    /// Units a second, over all routers.
    pub rate: f64,
    /// Capacity of the limit's bucket in units, over all routers.
    pub capacity: f64,
    /// Units that one router may hold unused.
    pub slice: f64,
    /// Units that one router may use before its meter grants them.
    pub credit: f64,
    /// Units by which a grant may exceed the units left.
    pub overdraft: f64,
    /// Highest cost of a single call, at least one unit; a higher cost would exceed the limit by itself.
    pub max_cost: f64,
    /// Units a second that one router refills by itself while it has no meter.
    pub even_rate: f64,
    /// Maximum of units that one router may use at once while it has no meter. A call that costs more is refused
    /// meanwhile.
    pub even_capacity: f64,
}

impl LimitShares {
    /// Computes the shares of a limit in a fleet.
    pub fn new(rule: &LimitRule, fleet: FleetSize) -> Self {
        let LimitRule { limit, terms, .. } = rule;
        let (total, routers) = (limit.total(terms.window), fleet.known as f64);
        let upper_bound = fleet.upper_bound as f64;
        let tolerance = terms.overage * total + terms.slack;
        let capacity = limit.burst + BURST_SHARE * tolerance;
        Self {
            rate: limit.rate,
            capacity,
            slice: SLICE_SHARE * tolerance / routers,
            credit: CREDIT_SHARE * tolerance / upper_bound,
            overdraft: OVERDRAFT_SHARE * tolerance,
            max_cost: total.max(1.0),
            even_rate: limit.rate / upper_bound,
            even_capacity: capacity / upper_bound,
        }
    }
}
