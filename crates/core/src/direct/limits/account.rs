//! One router's accounts of shared limits, filled with slices that meters grant.
//!
//! A call that fits into the units that the router holds is admitted at once. Otherwise it waits for a round trip to
//! the limit's meter, a few milliseconds. A router that reaches no meter uses an even share of each limit, which
//! the meters do not grant to others.

mod state;
mod waiting;
mod window;

use super::{
    LimitTag,
    messages::{LimitGrant, LimitUse, MeterTag, START_SPAN, UsageGrant, UsageReport, UsageRequest},
    meters::{MeterTable, assigned_meter, report_pause, report_ttl},
    terms::{FleetSize, LimitRule, LimitShares, REFUND_LIMIT, UsageCost, UsageLimit},
};
use crate::{
    direct::{config::ConfigNumber, membership::InstanceId, target_limit::LimitUpdate},
    ids::{BootId, Timestamp},
};
use state::{LimitAccount, MeterStatus};
use std::{collections::HashMap, time::Duration};

pub use waiting::CallTicket;

/// Longest wait of a call for a grant. It exceeds the time after which an unreachable meter is replaced by another.
const WAIT_LIMIT: Duration = Duration::from_secs(1);
/// Pause before an unanswered request is sent again, as datagrams may be lost.
const REQUEST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Requests a second, from all routers together, to a meter that has no units left of a limit.
const REFUSED_REQUEST_RATE: f64 = 100.0;
/// Requests a second to a meter that has no units left of a limit, for each unit a second of the limit. The product
/// applies if it is above [`REFUSED_REQUEST_RATE`]: routers must request new units soon after the meter's bucket is
/// refilled.
const REFUSED_REQUESTS_PER_UNIT: f64 = 4.0;
/// Shortest pause after a refusal.
const MIN_REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a refusal: the limit may have ended meanwhile, which only another attempt shows.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_secs(3);
/// Idle time after which an account is dropped.
const ACCOUNT_TTL: Duration = Duration::from_mins(1);

/// Limits whose use one report lists, at most: about 800 bytes, so that a report stays one datagram. A router that has
/// used more limits since its start does not state its uptime.
const MAX_LISTED_USES: usize = 64;

/// Whether a limit admits a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpendDecision {
    /// The call is admitted and its cost is counted.
    Granted,
    /// The limit is used up.
    Refused {
        /// Time after which the call may be admitted; `None` if its cost alone exceeds the limit.
        retry_after: Option<Duration>,
    },
}

/// Result of charging a call to a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpendResult {
    /// The limit admits or refuses the call at once.
    Decided(SpendDecision),
    /// The call waits for a grant of its limit's meter.
    Waiting(CallTicket),
}

/// State of one limit at a router, for logs and operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountView {
    /// Units a second, over all routers.
    pub rate: f64,
    /// Units used at this router within the last window.
    pub used: u64,
    /// Units left over all routers, as its meter last reported.
    pub left: f64,
    /// Age of `left`; `None` if no meter has reported it yet.
    pub age: Option<Duration>,
}

/// The accounts of all limits at one router.
#[derive(Debug)]
pub struct AccountTable {
    boot: BootId,
    started: Timestamp,
    sequence: u32,
    config: ConfigNumber,
    fleet: FleetSize,
    meters: MeterTable,
    accounts: HashMap<LimitTag, LimitAccount>,
    decided: Vec<(CallTicket, SpendDecision)>,
    /// Whether a report is due at once, because the reachable meters or targets' limits have changed.
    is_report_due: bool,
}

impl AccountTable {
    /// Starts with nothing used; `boot` identifies this start of the router.
    pub fn new(boot: BootId, now: Timestamp) -> Self {
        Self {
            boot,
            started: now,
            sequence: 0,
            config: 0,
            fleet: FleetSize::new(1, 1),
            meters: MeterTable::default(),
            accounts: HashMap::new(),
            decided: Vec::new(),
            is_report_due: false,
        }
    }

    /// Sets the number of routers, and the targets whose loaders run meters. A meter is the central rate limiter of a
    /// limit; it grants units to all routers.
    pub fn set_fleet(&mut self, fleet: FleetSize, targets: Vec<InstanceId>, now: Timestamp) {
        self.fleet = fleet;
        self.meters.set_targets(targets, now);
        self.refresh(now);
    }

    /// Applies the limits of a newer configuration to all accounts at once. A request that carries the new number
    /// with an old limit would make the meter apply the old limit to all routers.
    pub fn set_limits(&mut self, config: ConfigNumber, limits: &HashMap<LimitTag, UsageLimit>) {
        if config <= self.config {
            return;
        }
        self.config = config;
        for (tag, account) in &mut self.accounts {
            if let Some(limit) = limits.get(tag) {
                account.rule.limit = *limit;
            }
        }
    }

    /// Whether any meter is known, reachable or not.
    pub fn knows_meters(&self) -> bool {
        !self.meters.links().is_empty()
    }

    fn refresh(&mut self, now: Timestamp) {
        if !self.meters.refresh(self.fleet.known, now) {
            return;
        }
        self.is_report_due = true;
        let reachable = self.meters.reachable();
        for (tag, account) in &mut self.accounts {
            let shares = account.shares(self.fleet);
            account.set_meter(assigned_meter(*tag, reachable), &shares, now);
        }
    }

    /// Charges a call to a limit.
    pub fn spend(
        &mut self,
        tag: LimitTag,
        rule: &LimitRule,
        cost: UsageCost,
        now: Timestamp,
    ) -> SpendResult {
        let shares = LimitShares::new(rule, self.fleet);
        if f64::from(cost) > shares.max_cost {
            return SpendResult::Decided(SpendDecision::Refused { retry_after: None });
        }
        let ttl = report_ttl(self.fleet.known);
        let reachable = self.meters.reachable();
        let is_awaited = self.meters.is_awaited(now);
        let seed = self.boot ^ tag;
        let account = self.accounts.entry(tag).or_insert_with(|| {
            let mut account = LimitAccount::new(*rule, seed, now);
            account.meter = assigned_meter(tag, reachable);
            account
        });
        account.used = now;
        account.rule = *rule;
        account.refill_meterless(&shares, ttl, now);
        if account.waiting.is_empty() && account.fits(cost, &shares) {
            account.spend(cost, now);
            return SpendResult::Decided(SpendDecision::Granted);
        }
        if (account.meter.is_none() && !is_awaited) || account.is_short(now) {
            return SpendResult::Decided(account.refusal(cost, &shares, now));
        }
        SpendResult::Waiting(account.waiting.push(tag, cost, now))
    }

    /// Refunds a call that was charged at `spent` and did not run, unless [`REFUND_LIMIT`] has passed.
    pub fn refund(&mut self, tag: LimitTag, cost: UsageCost, spent: Timestamp, now: Timestamp) {
        let Some(account) = self.accounts.get_mut(&tag) else { return };
        if now.saturating_sub(spent) < REFUND_LIMIT {
            account.balance += f64::from(cost);
            account.window.add(-i64::from(cost), now);
        }
    }

    /// Cancels a waiting call whose caller has disconnected.
    pub fn cancel(&mut self, ticket: CallTicket) {
        if let Some(account) = self.accounts.get_mut(&ticket.tag) {
            account.waiting.remove(ticket);
        }
    }

    /// Applies a meter's answer to a report.
    pub fn take_grant(&mut self, grant: &UsageGrant, now: Timestamp) {
        let Some(link) = self.meters.link_mut(grant.meter) else { return };
        link.note_answer(now);
        link.enrolment = grant.enrolment;
        self.refresh(now);
        for granted in &grant.grants {
            self.take_limit_grant(grant, granted, now);
        }
    }

    fn take_limit_grant(&mut self, grant: &UsageGrant, granted: &LimitGrant, now: Timestamp) {
        let Some(account) = self.accounts.get_mut(&granted.tag) else { return };
        if account.meter != Some(grant.meter) {
            return;
        }
        let pending = account.pending.filter(|(sequence, _)| *sequence <= grant.sequence);
        if account.enrolment != grant.enrolment {
            // The meter has just enrolled this router; it grants units in answer to the next report.
            account.forget_grants(grant.enrolment);
            return;
        }
        let Some(known) = account.granted else {
            account.granted = Some(granted.granted);
            account.pending = None;
            return;
        };
        account.balance += granted.granted.saturating_sub(known) as f64;
        account.granted = Some(known.max(granted.granted));
        account.status = Some(MeterStatus {
            left: f64::from(granted.left),
            rate: f64::from(granted.rate),
            is_settled: granted.is_settled,
            at: now,
        });
        let Some((sequence, _)) = pending else { return };
        if granted.is_settled {
            account.pending = None;
        }
        // Drops the part of the request that was not granted; the next report requests it again.
        account.wanted = known.max(granted.granted);
        let shares = account.shares(self.fleet);
        while let Some((ticket, cost, requested_in)) = account.waiting.first() {
            let decision = if account.fits(cost, &shares) {
                account.spend(cost, now);
                SpendDecision::Granted
            } else if granted.is_settled
                && requested_in.is_some_and(|requested_in| requested_in <= sequence)
            {
                account.refusal(cost, &shares, now)
            } else {
                break;
            };
            account.waiting.pop();
            self.decided.push((ticket, decision));
        }
    }

    /// Decides calls that have waited too long, and drops unused accounts.
    pub fn expire(&mut self, now: Timestamp) {
        self.refresh(now);
        let ttl = report_ttl(self.fleet.known);
        let is_awaited = self.meters.is_awaited(now);
        for account in self.accounts.values_mut() {
            let shares = account.shares(self.fleet);
            account.drop_unused(&shares, now);
            account.refill_meterless(&shares, ttl, now);
            while let Some((ticket, cost, _)) = account.waiting.first() {
                let has_waited = now.saturating_sub(ticket.began) >= WAIT_LIMIT;
                if (account.meter.is_some() || is_awaited) && !has_waited {
                    break;
                }
                account.waiting.pop();
                let decision = if account.fits(cost, &shares) {
                    account.spend(cost, now);
                    SpendDecision::Granted
                } else {
                    account.refusal(cost, &shares, now)
                };
                self.decided.push((ticket, decision));
            }
        }
        self.accounts.retain(|_, account| {
            !account.waiting.is_empty() || now.saturating_sub(account.used) < ACCOUNT_TTL
        });
    }

    /// Removes and returns the decisions on waiting calls that were not returned yet.
    pub fn take_decided(&mut self) -> Vec<(CallTicket, SpendDecision)> {
        std::mem::take(&mut self.decided)
    }

    /// Returns the reports that are due, each with the target whose loader runs the meter.
    ///
    /// Each report carries `limit_updates`, updates of targets' limits.
    pub fn take_reports(
        &mut self,
        limit_updates: &[LimitUpdate],
        now: Timestamp,
    ) -> Vec<(InstanceId, UsageReport)> {
        self.refresh(now);
        let is_changed = std::mem::take(&mut self.is_report_due);
        let pause = report_pause(self.fleet.known);
        let mut reports = Vec::new();
        let links: Vec<(MeterTag, InstanceId, u64, bool)> = self
            .meters
            .links()
            .iter()
            .map(|link| {
                let is_due = is_changed || link.is_due(pause, now);
                (link.tag, link.target.clone(), link.enrolment, is_due)
            })
            .collect();
        for (meter, target, enrolment, is_due) in links {
            let requests = self.requests(meter, enrolment, now);
            if requests.is_empty() && !is_due {
                continue;
            }
            self.sequence += 1;
            if let Some(link) = self.meters.link_mut(meter) {
                link.note_report(now);
            }
            let (uptime_ms, used_elsewhere) = self.use_since_start(meter, now);
            let report = UsageReport {
                boot: self.boot,
                sequence: self.sequence,
                meter,
                enrolment,
                reachable: self.meters.reachable().to_vec(),
                routers: u16::try_from(self.fleet.known).unwrap_or(u16::MAX),
                config: self.config,
                requests,
                limit_updates: limit_updates.to_vec(),
                uptime_ms,
                used_elsewhere,
            };
            reports.push((target, report));
        }
        reports
    }

    /// Time in ms since this router's start, and what it has used since then without grants of `meter`. The time is 0
    /// (unknown) if that is more than a report may list, or if calls may have used a limit before it was known.
    fn use_since_start(&self, meter: MeterTag, now: Timestamp) -> (u32, Vec<LimitUse>) {
        let uptime = now.saturating_sub(self.started);
        let uptime_ms = u32::try_from(uptime.as_millis()).unwrap_or(u32::MAX);
        if uptime >= START_SPAN {
            return (uptime_ms, Vec::new());
        }
        let used = self.accounts.iter().map(|(tag, account)| LimitUse {
            tag: *tag,
            units: u32::try_from(account.used_elsewhere(meter)).unwrap_or(u32::MAX),
        });
        let used: Vec<LimitUse> = used.filter(|limit| limit.units > 0).collect();
        let is_complete = used.len() <= MAX_LISTED_USES
            && !self.accounts.values().any(|account| account.rule.is_used_before);
        if is_complete { (uptime_ms, used) } else { (0, Vec::new()) }
    }

    /// Usage requests to a meter for the next report.
    fn requests(&mut self, meter: MeterTag, enrolment: u64, now: Timestamp) -> Vec<UsageRequest> {
        let sequence = self.sequence + 1;
        let uptime = now.saturating_sub(self.started);
        let mut requests = Vec::new();
        for (tag, account) in &mut self.accounts {
            if account.meter != Some(meter) {
                continue;
            }
            if account.enrolment != enrolment {
                account.forget_grants(enrolment);
            }
            let shares = account.shares(self.fleet);
            let missing = account.missing(&shares);
            let is_pending =
                account.pending.is_some_and(|(_, at)| now.saturating_sub(at) < REQUEST_RETRY_PAUSE);
            let has_unrequested_calls = account.waiting.has_unrequested();
            if missing < 1.0
                || (is_pending && !has_unrequested_calls)
                || (account.is_scarce(&shares, now) && !has_unrequested_calls)
            {
                continue;
            }
            account.wanted = account.granted.map_or(0, |granted| granted + missing as u64);
            account.pending = Some((sequence, now));
            account.waiting.note_requested(sequence);
            requests.push(UsageRequest {
                tag: *tag,
                rate: shares.rate as f32,
                capacity: shares.capacity as f32,
                overdraft: shares.overdraft as f32,
                // Use by an earlier start of this router within the window is unknown.
                is_quiet: uptime >= account.rule.terms.window && account.is_quiet(now),
                wanted: account.wanted,
                needed: account.needed() as u32,
                first: account.waiting.first().map_or(0, |(_, cost, _)| cost),
            });
        }
        requests
    }

    /// Makes reports to all meters due at once, so that they carry new limits of targets.
    pub fn report_limits_now(&mut self) {
        self.is_report_due = true;
    }

    /// Pause after a refusal before this router tries the limit again; units are expected after `retry_after`.
    ///
    /// Without the pause, hundreds of routers would send the meter a request for each call that could go to the
    /// target. Without a meter, the pause is the shortest one, as a unit may be drawn at any time.
    pub fn refusal_pause(&self, tag: LimitTag, retry_after: Duration) -> Duration {
        let account = self.accounts.get(&tag);
        let Some(account) = account.filter(|account| account.meter.is_some()) else {
            return MIN_REFUSAL_PAUSE;
        };
        let request_rate =
            REFUSED_REQUEST_RATE.max(REFUSED_REQUESTS_PER_UNIT * account.rule.limit.rate);
        let fair_pause = Duration::from_secs_f64(self.fleet.known as f64 / request_rate);
        fair_pause.max(retry_after / 2).clamp(MIN_REFUSAL_PAUSE, MAX_REFUSAL_PAUSE)
    }

    /// Whether the router's units of a limit are low, and no request for more is pending.
    pub fn is_low(&self, tag: LimitTag) -> bool {
        let Some(account) = self.accounts.get(&tag) else { return false };
        let shares = account.shares(self.fleet);
        account.meter.is_some() && account.pending.is_none() && account.missing(&shares) >= 1.0
    }

    /// State of a limit; `None` if no call used it within the last minute.
    pub fn view(&self, tag: LimitTag, now: Timestamp) -> Option<AccountView> {
        let account = self.accounts.get(&tag)?;
        let status = account.status;
        Some(AccountView {
            rate: account.rule.limit.rate,
            used: u64::try_from(account.window.sum(now)).unwrap_or(0),
            left: status.map_or(account.balance, |status| status.left),
            age: status.map(|status| now.saturating_sub(status.at)),
        })
    }
}
