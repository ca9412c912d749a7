//! The account of one limit at one router: what it holds, what it has asked for, and who waits.

use super::{SpendDecision, waiting::WaitingCalls, window::UsageWindow};
use crate::{
    direct::limits::{
        messages::MeterTag,
        terms::{FleetSize, LimitRule, LimitShares, UsageCost},
    },
    ids::Timestamp,
};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a meter's status is believed. Calls beyond a limit, and slices that are not granted, then cost
/// no trip each.
const STATUS_TTL: Duration = Duration::from_millis(50);
/// Slices that a meter must have left to give one out whole.
const SCARCE_SLICES: f64 = 10.0;
/// Time from the first call under a limit to the first grant.
const FIRST_GRANT_TIME: Duration = Duration::from_millis(300);
/// Shortest time after which a call that was beyond its limit is worth sending again.
const LEAST_PAUSE: Duration = Duration::from_millis(200);
/// Longest time after which a caller is told to come back; by then much may have changed.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// Time for which a router holds more than a slice that it does not use.
const HOLD_TTL: Duration = Duration::from_secs(1);
/// Part of the limit for which units are drawn: several routers draw one at the same time now and then.
const TURN_SHARE: f64 = 0.5;
/// Time for which a drawn unit may be used.
const TURN_TTL: Duration = Duration::from_secs(1);

/// What a meter last reported of a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeterStatus {
    pub(super) left: f64,
    pub(super) rate: f64,
    pub(super) is_settled: bool,
    pub(super) at: Timestamp,
}

/// The account of one limit.
#[derive(Debug)]
pub(super) struct LimitAccount {
    pub(super) rule: LimitRule,
    /// Seed of the draws without a meter.
    seed: u64,
    /// Units that may be used without asking; below 0 where calls went ahead of their grant.
    pub(super) balance: f64,
    pub(super) window: UsageWindow,
    pub(super) meter: Option<MeterTag>,
    /// Since when there is no meter.
    pub(super) alone_since: Timestamp,
    pub(super) refilled: Timestamp,
    /// When it last drew a unit without a meter.
    drawn: Timestamp,
    pub(super) enrolment: u64,
    /// Units granted since the enrolment; none before the meter has said.
    pub(super) granted: Option<u64>,
    pub(super) wanted: u64,
    pub(super) asked: Option<(u32, Timestamp)>,
    pub(super) status: Option<MeterStatus>,
    pub(super) waiting: WaitingCalls,
    pub(super) used: Timestamp,
    pub(super) spent: Option<Timestamp>,
    /// When calls began to use it after a window without use.
    pub(super) busy_since: Option<Timestamp>,
    /// Whether some of it may have been used that this meter has not granted.
    pub(super) has_moved: bool,
}

impl LimitAccount {
    pub(super) fn new(rule: LimitRule, seed: u64, now: Timestamp) -> Self {
        Self {
            rule,
            seed,
            balance: 0.0,
            window: UsageWindow::new(rule.terms.window),
            meter: None,
            alone_since: now,
            refilled: now,
            drawn: Duration::ZERO,
            enrolment: 0,
            granted: None,
            wanted: 0,
            asked: None,
            status: None,
            waiting: WaitingCalls::default(),
            used: now,
            spent: None,
            busy_since: None,
            has_moved: rule.is_used_before,
        }
    }

    pub(super) fn shares(&self, fleet: FleetSize) -> LimitShares {
        LimitShares::new(&self.rule, fleet)
    }

    /// Whether no call has used the limit lately, but for those that ask for their first grant: a meter that
    /// is new to the limit may then give out all that the limit allows at once.
    pub(super) fn is_quiet(&self, now: Timestamp) -> bool {
        let has_begun = |since| now.saturating_sub(since) < FIRST_GRANT_TIME;
        !self.has_moved && self.busy_since.is_none_or(has_begun)
    }

    pub(super) fn fits(&self, cost: UsageCost, shares: &LimitShares) -> bool {
        self.balance - f64::from(cost) >= -shares.ahead
    }

    pub(super) fn spend(&mut self, cost: UsageCost, now: Timestamp) {
        let window = self.rule.terms.window;
        if self.spent.is_none_or(|spent| now.saturating_sub(spent) >= window) {
            self.busy_since = Some(now);
        }
        self.spent = Some(now);
        self.balance -= f64::from(cost);
        self.window.add(i64::from(cost), now);
    }

    /// What its meter has just reported, if no call waits for more.
    pub(super) fn fresh_status(&self, now: Timestamp) -> Option<&MeterStatus> {
        let status = self.status.as_ref().filter(|_| self.waiting.is_empty());
        status.filter(|status| now.saturating_sub(status.at) < STATUS_TTL)
    }

    /// Whether its meter has just reported that nothing is left.
    pub(super) fn is_short(&self, now: Timestamp) -> bool {
        self.fresh_status(now).is_some_and(|status| status.is_settled && status.left <= 0.0)
    }

    /// Whether its meter has just reported that too little is left to give out whole slices.
    pub(super) fn is_scarce(&self, shares: &LimitShares, now: Timestamp) -> bool {
        self.fresh_status(now).is_some_and(|status| status.left < SCARCE_SLICES * shares.slice)
    }

    pub(super) fn refusal(
        &self,
        cost: UsageCost,
        shares: &LimitShares,
        now: Timestamp,
    ) -> SpendDecision {
        let (left, rate) = match self.status {
            Some(status) => {
                let passed = now.saturating_sub(status.at).as_secs_f64();
                (status.left + status.rate * passed, status.rate)
            }
            None => (self.balance, shares.even_rate),
        };
        let missing = (f64::from(cost) - left).max(0.0);
        let seconds = missing / rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_PAUSE);
        SpendDecision::Refused { retry_after: Some(wait.clamp(LEAST_PAUSE, LONGEST_PAUSE)) }
    }

    /// Units that the calls that wait need beyond what there is.
    pub(super) fn needed(&self) -> f64 {
        (self.waiting.cost() as f64 - self.balance).max(0.0).ceil()
    }

    /// Whole units to ask for now: what fills the slice again, and what the calls that wait need. Slices are not
    /// rounded up: with hundreds of routers, that alone could be more than a small limit.
    pub(super) fn missing(&self, shares: &LimitShares) -> f64 {
        let waiting = self.waiting.cost() as f64;
        if waiting > 0.0 || self.balance < shares.slice / 2.0 {
            (shares.slice + waiting - self.balance).floor().max(self.needed())
        } else {
            0.0
        }
    }

    /// Drops what was granted beyond a slice and not used at once, as where a caller left: the bucket counts it
    /// as used, and used later it would add to what is granted then.
    pub(super) fn drop_unused(&mut self, shares: &LimitShares, now: Timestamp) {
        let is_idle = self.waiting.is_empty() && now.saturating_sub(self.used) >= HOLD_TTL;
        if self.meter.is_some() && is_idle {
            self.balance = self.balance.min(shares.slice);
        }
    }

    /// Goes over to the limit's meter among those that can be reached.
    pub(super) fn set_meter(
        &mut self,
        meter: Option<MeterTag>,
        shares: &LimitShares,
        now: Timestamp,
    ) {
        if self.meter == meter {
            return;
        }
        self.has_moved |= self.spent.is_some();
        if meter.is_none() {
            self.alone_since = now;
            self.refilled = now;
        } else {
            // What came together alone is in the meter's bucket too.
            self.balance = self.balance.min(shares.slice);
        }
        self.meter = meter;
        self.forget_grants(0);
        self.status = None;
    }

    /// Starts anew with a meter. What it has granted before is heard first: the router may have used it and
    /// another one by turns.
    pub(super) fn forget_grants(&mut self, enrolment: u64) {
        self.enrolment = enrolment;
        self.granted = None;
        self.wanted = 0;
        self.asked = None;
    }

    /// Adds what a router that reaches no meter may use by itself, once no meter counts it any more.
    pub(super) fn refill_alone(&mut self, shares: &LimitShares, ttl: Duration, now: Timestamp) {
        let from = self.refilled.max(self.alone_since + ttl);
        if self.meter.is_some() || now <= from {
            return;
        }
        let units = shares.even_rate * now.saturating_sub(from).as_secs_f64();
        self.refilled = now;
        if shares.even_capacity >= 1.0 {
            self.balance = (self.balance + units).min(self.balance.max(shares.even_capacity));
        } else {
            self.draw_turn(units, now);
        }
    }

    /// Draws whether one unit may be used, where a router's even share never holds a whole one. Saved-up shares of all
    /// routers could be used at the same moment; drawn units are spread over time, and lapse.
    fn draw_turn(&mut self, units: f64, now: Timestamp) {
        let draw = xxh3_64_with_seed(&now.as_nanos().to_le_bytes(), self.seed);
        if (draw as f64) < TURN_SHARE * units * u64::MAX as f64 {
            self.balance = 1.0;
            self.drawn = now;
        } else if now.saturating_sub(self.drawn) >= TURN_TTL {
            self.balance = self.balance.min(0.0);
        }
    }
}
