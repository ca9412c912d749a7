//! Limits, and how the routers of a fleet divide them.

use crate::direct::call::TokenCounts;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a call uses of its limit.
pub type UsageCost = u32;

/// In what use is counted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UsageUnit {
    /// Calls.
    Calls,
    /// Tokens: those that a call states, or a fixed number for a call that states none.
    Tokens {
        /// What a call counts that states no tokens.
        plain: UsageCost,
    },
}

/// What may be used, over all routers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageLimit {
    /// In what it is counted.
    pub unit: UsageUnit,
    /// Units a second.
    pub rate: f64,
    /// Units at once beyond that.
    pub burst: f64,
}

impl UsageLimit {
    /// What a call uses that states so many tokens.
    pub fn cost(&self, tokens: Option<TokenCounts>) -> UsageCost {
        match (self.unit, tokens) {
            (UsageUnit::Calls, _) => 1,
            (UsageUnit::Tokens { plain }, None) => plain,
            (UsageUnit::Tokens { .. }, Some(counts)) => counts.input.saturating_add(counts.output),
        }
    }

    /// Most units in any span of this length.
    pub fn total(&self, span: Duration) -> f64 {
        self.rate * span.as_secs_f64() + self.burst
    }
}

/// Over which span limits are judged, and how far the fleet may be over one: routers hear of each other's
/// use with a delay, and the tolerance is for what they do not know yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitTerms {
    /// Span over which use is counted.
    pub window: Duration,
    /// Part of a limit by which it may be exceeded.
    pub overage: f64,
    /// Units beyond that.
    pub slack: f64,
}

/// A limit, and by what it is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRule {
    /// The limit.
    pub limit: UsageLimit,
    /// By what it is judged.
    pub terms: LimitTerms,
    /// Whether calls may have used it before it was known: a meter that is new to it then grants no burst.
    pub is_used_before: bool,
}

/// Part of the tolerance by which a burst is enlarged: its bucket then does not refuse what came
/// a little closer together than the fleet's clocks tell.
const BURST_SHARE: f64 = 0.2;
/// Part of the tolerance that all routers together may hold unused.
const SLICE_SHARE: f64 = 0.25;
/// Part of the tolerance that all routers together may be ahead of their meters.
const AHEAD_SHARE: f64 = 0.1;
/// Part of the tolerance by which one large call may exceed what is left. Below it, large calls and small
/// ones have the same chance at a limit that is used up; without it a large one would wait for the bucket
/// to fill up while small ones keep it empty.
const LARGE_SHARE: f64 = 0.15;
/// Time after which what a call used is not given back although it was not run: by then it may be used
/// again in a window that does not hold its first use. The rest of the tolerance pays for this span.
pub const RETURN_LIMIT: Duration = Duration::from_millis(300);

/// How many routers share a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetSize {
    /// Routers that are known, at least one.
    pub known: usize,
    /// The most that there may be: without a meter, none must use what is another's share.
    pub presumed: usize,
}

impl FleetSize {
    /// A fleet of which `known` routers are known, and that may have `presumed`.
    pub fn new(known: usize, presumed: usize) -> Self {
        let known = known.max(1);
        Self { known, presumed: presumed.max(known) }
    }
}

/// How a limit is divided among the routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShares {
    /// Units a second, over all routers.
    pub rate: f64,
    /// Most units that may be used at once, over all routers.
    pub capacity: f64,
    /// Units that one router may hold unused.
    pub slice: f64,
    /// Units that one router may use before its meter grants them.
    pub ahead: f64,
    /// Units by which a grant may exceed what is left.
    pub overdraft: f64,
    /// Most that a single call may cost: more would exceed the limit by itself. One unit always may.
    pub largest: f64,
    /// Units that one router refills alone, a second, while it has no meter.
    pub even_rate: f64,
    /// Most units that one router may use at once while it has no meter. A call that costs more is not served
    /// meanwhile.
    pub even_capacity: f64,
}

impl LimitShares {
    /// Divides a limit among the routers of a fleet.
    pub fn new(rule: &LimitRule, fleet: FleetSize) -> Self {
        let LimitRule { limit, terms, .. } = rule;
        let (total, routers) = (limit.total(terms.window), fleet.known as f64);
        let presumed = fleet.presumed as f64;
        let tolerance = terms.overage * total + terms.slack;
        let capacity = limit.burst + BURST_SHARE * tolerance;
        Self {
            rate: limit.rate,
            capacity,
            slice: SLICE_SHARE * tolerance / routers,
            ahead: AHEAD_SHARE * tolerance / presumed,
            overdraft: LARGE_SHARE * tolerance,
            largest: total.max(1.0),
            even_rate: limit.rate / presumed,
            even_capacity: capacity / presumed,
        }
    }
}
