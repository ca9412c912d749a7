//! The account of one limit at one router: units held, units requested, and waiting calls.

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

/// Time for which a meter's last status is reused. Within it, calls beyond the limit are refused without a round
/// trip, and slices that the meter would not grant are not requested.
const STATUS_TTL: Duration = Duration::from_millis(50);
/// Number of slices that a meter must have left to grant a full one.
const SCARCE_SLICES: f64 = 10.0;
/// Longest time from the first call under a limit to the first grant.
const FIRST_GRANT_TIME: Duration = Duration::from_millis(300);
/// Shortest retry-after time in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest retry-after time in a refusal; a longer estimate is unreliable.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Time without calls under a limit after which a router drops its unused units of the limit beyond one slice.
const SURPLUS_TTL: Duration = Duration::from_secs(1);
/// Share of a small limit's rate that all routers together may use by random draws while no meter is reachable. The
/// rest covers several routers that draw a unit at once.
const DRAW_SHARE: f64 = 0.5;
/// Time for which a drawn unit may be used.
const DRAWN_TTL: Duration = Duration::from_secs(1);

/// A limit's state as its meter last reported it.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeterStatus {
    pub(super) left: f64,
    pub(super) rate: f64,
    pub(super) is_settled: bool,
    pub(super) at: Timestamp,
}

/// Units of one limit that a router holds and requests, and the calls that wait for them.
#[derive(Debug)]
pub(super) struct LimitAccount {
    pub(super) rule: LimitRule,
    /// Seed of the random draws made while no meter is reachable.
    seed: u64,
    /// Units that may be used without a request; below 0 if calls were admitted before their grant.
    pub(super) balance: f64,
    pub(super) window: UsageWindow,
    pub(super) meter: Option<MeterTag>,
    /// Since when no meter is reachable.
    pub(super) meterless_since: Timestamp,
    pub(super) refilled: Timestamp,
    /// When it last drew a unit without a meter.
    drawn: Timestamp,
    pub(super) enrolment: u64,
    /// Units granted since the enrolment; `None` until the meter has reported them.
    pub(super) granted: Option<u64>,
    pub(super) wanted: u64,
    /// Sequence number and time of the report with the last unanswered request.
    pub(super) pending: Option<(u32, Timestamp)>,
    pub(super) status: Option<MeterStatus>,
    pub(super) waiting: WaitingCalls,
    pub(super) used: Timestamp,
    pub(super) spent: Option<Timestamp>,
    /// First use after a window without any.
    pub(super) busy_since: Option<Timestamp>,
    /// Whether units may have been used that the current meter has not granted.
    pub(super) has_unmetered_use: bool,
    /// Units that calls have used since the router's start, without refunds.
    total: u64,
    /// Part of `total` that was used before the current enrolment at the current meter.
    total_before: u64,
}

impl LimitAccount {
    pub(super) fn new(rule: LimitRule, seed: u64, now: Timestamp) -> Self {
        Self {
            rule,
            seed,
            balance: 0.0,
            window: UsageWindow::new(rule.terms.window),
            meter: None,
            meterless_since: now,
            refilled: now,
            drawn: Duration::ZERO,
            enrolment: 0,
            granted: None,
            wanted: 0,
            pending: None,
            status: None,
            waiting: WaitingCalls::default(),
            used: now,
            spent: None,
            busy_since: None,
            has_unmetered_use: rule.is_used_before,
            total: 0,
            total_before: 0,
        }
    }

    pub(super) fn shares(&self, fleet: FleetSize) -> LimitShares {
        LimitShares::new(&self.rule, fleet)
    }

    /// Whether no call used the limit within the last window, apart from those that wait for the first grant. A meter
    /// that is new to the limit may then grant the full burst.
    pub(super) fn is_quiet(&self, now: Timestamp) -> bool {
        let is_recent = |since| now.saturating_sub(since) < FIRST_GRANT_TIME;
        !self.has_unmetered_use && self.busy_since.is_none_or(is_recent)
    }

    /// Units that were used since the router's start, apart from those that `meter` has granted under the current
    /// enrolment.
    pub(super) fn used_elsewhere(&self, meter: MeterTag) -> u64 {
        if self.meter == Some(meter) { self.total_before } else { self.total }
    }

    pub(super) fn fits(&self, cost: UsageCost, shares: &LimitShares) -> bool {
        self.balance - f64::from(cost) >= -shares.credit
    }

    pub(super) fn spend(&mut self, cost: UsageCost, now: Timestamp) {
        let window = self.rule.terms.window;
        if self.spent.is_none_or(|spent| now.saturating_sub(spent) >= window) {
            self.busy_since = Some(now);
        }
        self.spent = Some(now);
        self.balance -= f64::from(cost);
        self.total += u64::from(cost);
        self.window.add(i64::from(cost), now);
    }

    /// The meter's status, if it is fresh and no call waits.
    pub(super) fn fresh_status(&self, now: Timestamp) -> Option<&MeterStatus> {
        let status = self.status.as_ref().filter(|_| self.waiting.is_empty());
        status.filter(|status| now.saturating_sub(status.at) < STATUS_TTL)
    }

    /// Whether the meter has just reported that no units are left.
    pub(super) fn is_short(&self, now: Timestamp) -> bool {
        self.fresh_status(now).is_some_and(|status| status.is_settled && status.left <= 0.0)
    }

    /// Whether the meter has just reported too few units to grant full slices.
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
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
        SpendDecision::Refused { retry_after: Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)) }
    }

    /// Units that the waiting calls need beyond the balance.
    pub(super) fn needed(&self) -> f64 {
        (self.waiting.cost() as f64 - self.balance).max(0.0).ceil()
    }

    /// Whole units to request now: those that refill the slice, and those that waiting calls need. Slices are not
    /// rounded up: with hundreds of routers, the rounding alone could exceed a small limit.
    pub(super) fn missing(&self, shares: &LimitShares) -> f64 {
        let waiting = self.waiting.cost() as f64;
        if waiting > 0.0 || self.balance < shares.slice / 2.0 {
            (shares.slice + waiting - self.balance).floor().max(self.needed())
        } else {
            0.0
        }
    }

    /// Drops idle units beyond one slice, such as those of a caller that disconnected. The meter counted them as used
    /// when it granted them; if they were used later, they would add to the units that it grants then.
    pub(super) fn drop_unused(&mut self, shares: &LimitShares, now: Timestamp) {
        let is_idle = self.waiting.is_empty() && now.saturating_sub(self.used) >= SURPLUS_TTL;
        if self.meter.is_some() && is_idle {
            self.balance = self.balance.min(shares.slice);
        }
    }

    /// Sets the meter that serves the limit; `None` if none can be reached.
    pub(super) fn set_meter(
        &mut self,
        meter: Option<MeterTag>,
        shares: &LimitShares,
        now: Timestamp,
    ) {
        if self.meter == meter {
            return;
        }
        self.has_unmetered_use |= self.spent.is_some();
        self.total_before = self.total;
        if meter.is_none() {
            self.meterless_since = now;
            self.refilled = now;
        } else {
            // The meter's bucket also contains the units that were refilled without a meter.
            self.balance = self.balance.min(shares.slice);
        }
        self.meter = meter;
        self.forget_grants(0);
        self.status = None;
    }

    /// Resets the grants of a meter. The router learns the meter's count of earlier grants before it requests more,
    /// as it may have alternated between this meter and another.
    pub(super) fn forget_grants(&mut self, enrolment: u64) {
        if self.enrolment != 0 && self.enrolment != enrolment {
            self.total_before = self.total;
        }
        self.enrolment = enrolment;
        self.granted = None;
        self.wanted = 0;
        self.pending = None;
    }

    /// Refills the balance at the even rate while the router reaches no meter. It begins `ttl` after the last meter
    /// was lost: until then the meters still count this router and grant its share.
    pub(super) fn refill_meterless(&mut self, shares: &LimitShares, ttl: Duration, now: Timestamp) {
        let from = self.refilled.max(self.meterless_since + ttl);
        if self.meter.is_some() || now <= from {
            return;
        }
        let units = shares.even_rate * now.saturating_sub(from).as_secs_f64();
        self.refilled = now;
        if shares.even_capacity >= 1.0 {
            self.balance = (self.balance + units).min(self.balance.max(shares.even_capacity));
        } else {
            self.draw_unit(units, now);
        }
    }

    /// Decides at random whether one unit may be used, for a limit so small that a router's even share never reaches
    /// a whole unit. If routers accumulated their shares, all could use them at the same moment; drawn units are
    /// spread over time, and expire.
    fn draw_unit(&mut self, units: f64, now: Timestamp) {
        let draw = xxh3_64_with_seed(&now.as_nanos().to_le_bytes(), self.seed);
        if (draw as f64) < DRAW_SHARE * units * u64::MAX as f64 {
            self.balance = 1.0;
            self.drawn = now;
        } else if now.saturating_sub(self.drawn) >= DRAWN_TTL {
            self.balance = self.balance.min(0.0);
        }
    }
}
