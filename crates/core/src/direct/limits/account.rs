//! What calls use of limits at one router, out of slices that meters grant.
//!
//! A call that fits into what the router holds goes on at once. One that does not waits for the trip to its
//! limit's meter, a few milliseconds. A router that reaches no meter uses an even share of each limit, which
//! the meters do not grant to others.

mod state;
mod waiting;
mod window;

use super::{
    LimitTag,
    messages::{LimitGrant, MeterTag, UsageGrant, UsageReport, UsageRequest},
    meters::{MeterTable, first_meter, report_pause, report_ttl},
    terms::{FleetSize, LimitRule, LimitShares, RETURN_LIMIT, UsageCost, UsageLimit},
};
use crate::{
    direct::{config::ConfigNumber, membership::InstanceId, target_limit::LimitUpdate},
    ids::{BootId, Timestamp},
};
use state::{LimitAccount, MeterStatus};
use std::{collections::HashMap, time::Duration};

pub use waiting::CallTicket;

/// Longest wait of a call for a grant. A meter that is out of reach is given up before, and another one
/// asked.
const WAIT_LIMIT: Duration = Duration::from_secs(1);
/// Pause before an unanswered question is asked again: datagrams are lost at times.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Questions a second of all routers to a meter that has nothing left of a limit.
const ASK_RATE: f64 = 100.0;
/// The same for each unit a second of the limit, so that routers are there when units are.
const ASKS_PER_UNIT: f64 = 4.0;
/// Shortest pause after a refusal.
const TURN_LOOK: Duration = Duration::from_millis(100);
/// Longest pause after a refusal: the limit may have ended, and what then comes first tells so.
const LONGEST_REST: Duration = Duration::from_secs(3);
/// Time after which an account that no call used is dropped.
const ACCOUNT_TTL: Duration = Duration::from_mins(1);

/// Whether a call may go on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpendDecision {
    /// It may, and is counted.
    Granted,
    /// The limit is used up.
    Refused {
        /// When it may be granted; `None` if it exceeds the limit by itself.
        retry_after: Option<Duration>,
    },
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpendResult {
    /// It is decided.
    Decided(SpendDecision),
    /// It waits for its limit's meter.
    Waiting(CallTicket),
}

/// What a router knows of one limit, for logs and operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountView {
    /// Units a second, over all routers.
    pub rate: f64,
    /// Units used at this router within the last window.
    pub used: u64,
    /// Units left over all routers, as last told.
    pub left: f64,
    /// Age of that figure; `None` if no meter has reported any yet.
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
    /// Whether a report is due at once, with the meters that can be reached now and targets' limits.
    is_report_due: bool,
}

impl AccountTable {
    /// Starts with nothing used; `boot` tells this start from others.
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

    /// Takes the number of routers and the targets beside which meters stand.
    pub fn set_fleet(&mut self, fleet: FleetSize, targets: Vec<InstanceId>, now: Timestamp) {
        self.fleet = fleet;
        self.meters.set_targets(targets, now);
        self.refresh(now);
    }

    /// Takes the limits of a configuration. All accounts have them from then on: what is asked for under its
    /// number must not stem from an older one, or a meter would go back to that for all routers.
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

    /// Whether there are meters that may keep limits.
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
            account.set_meter(first_meter(*tag, reachable), &shares, now);
        }
    }

    /// Counts a call against a limit.
    pub fn spend(
        &mut self,
        tag: LimitTag,
        rule: &LimitRule,
        cost: UsageCost,
        now: Timestamp,
    ) -> SpendResult {
        let shares = LimitShares::new(rule, self.fleet);
        if f64::from(cost) > shares.largest {
            return SpendResult::Decided(SpendDecision::Refused { retry_after: None });
        }
        let ttl = report_ttl(self.fleet.known);
        let reachable = self.meters.reachable();
        let is_awaited = self.meters.is_awaited(now);
        let seed = self.boot ^ tag;
        let account = self.accounts.entry(tag).or_insert_with(|| {
            let mut account = LimitAccount::new(*rule, seed, now);
            account.meter = first_meter(tag, reachable);
            account
        });
        account.used = now;
        account.rule = *rule;
        account.refill_alone(&shares, ttl, now);
        if account.waiting.is_empty() && account.fits(cost, &shares) {
            account.spend(cost, now);
            return SpendResult::Decided(SpendDecision::Granted);
        }
        if (account.meter.is_none() && !is_awaited) || account.is_short(now) {
            return SpendResult::Decided(account.refusal(cost, &shares, now));
        }
        SpendResult::Waiting(account.waiting.push(tag, cost, now))
    }

    /// Refunds a call that was counted at `spent` and not run.
    pub fn refund(&mut self, tag: LimitTag, cost: UsageCost, spent: Timestamp, now: Timestamp) {
        let Some(account) = self.accounts.get_mut(&tag) else { return };
        if now.saturating_sub(spent) < RETURN_LIMIT {
            account.balance += f64::from(cost);
            account.window.add(-i64::from(cost), now);
        }
    }

    /// Cancels a call that waits, as its caller has gone.
    pub fn cancel(&mut self, ticket: CallTicket) {
        if let Some(account) = self.accounts.get_mut(&ticket.tag) {
            account.waiting.remove(ticket);
        }
    }

    /// Takes what a meter answers.
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
        let asked = account.asked.filter(|(sequence, _)| *sequence <= grant.sequence);
        if account.enrolment != grant.enrolment {
            // The meter has just heard of this router, and will answer the next report.
            account.forget_grants(grant.enrolment);
            return;
        }
        let Some(known) = account.granted else {
            account.granted = Some(granted.granted);
            account.asked = None;
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
        let Some((sequence, _)) = asked else { return };
        if granted.is_settled {
            account.asked = None;
        }
        // What was not granted is not wanted any more: it is asked for anew.
        account.wanted = known.max(granted.granted);
        let shares = account.shares(self.fleet);
        while let Some((ticket, cost, asked_in)) = account.waiting.first() {
            let decision = if account.fits(cost, &shares) {
                account.spend(cost, now);
                SpendDecision::Granted
            } else if granted.is_settled && asked_in.is_some_and(|asked_in| asked_in <= sequence) {
                account.refusal(cost, &shares, now)
            } else {
                break;
            };
            account.waiting.pop();
            self.decided.push((ticket, decision));
        }
    }

    /// Decides calls that have waited too long, and drops accounts that are not used any more.
    pub fn expire(&mut self, now: Timestamp) {
        self.refresh(now);
        let ttl = report_ttl(self.fleet.known);
        let is_awaited = self.meters.is_awaited(now);
        for account in self.accounts.values_mut() {
            let shares = account.shares(self.fleet);
            account.drop_unused(&shares, now);
            account.refill_alone(&shares, ttl, now);
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

    /// Calls that have been decided since this was last asked.
    pub fn take_decided(&mut self) -> Vec<(CallTicket, SpendDecision)> {
        std::mem::take(&mut self.decided)
    }

    /// Reports that are due, each with the target beside which its meter stands.
    ///
    /// Each carries `limit_updates` of targets' limits.
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
            };
            reports.push((target, report));
        }
        reports
    }

    /// What is to be asked of a meter now, for the report that is sent next.
    fn requests(&mut self, meter: MeterTag, enrolment: u64, now: Timestamp) -> Vec<UsageRequest> {
        let sequence = self.sequence + 1;
        let lived = now.saturating_sub(self.started);
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
            let is_asked = account.asked.is_some_and(|(_, at)| now.saturating_sub(at) < ASK_PAUSE);
            let has_new = account.waiting.has_unasked();
            if missing < 1.0
                || (is_asked && !has_new)
                || (account.is_scarce(&shares, now) && !has_new)
            {
                continue;
            }
            account.wanted = account.granted.map_or(0, |granted| granted + missing as u64);
            account.asked = Some((sequence, now));
            account.waiting.note_asked(sequence);
            requests.push(UsageRequest {
                tag: *tag,
                rate: shares.rate as f32,
                capacity: shares.capacity as f32,
                overdraft: shares.overdraft as f32,
                // What an earlier start of this router used is not known.
                is_quiet: lived >= account.rule.terms.window && account.is_quiet(now),
                wanted: account.wanted,
                needed: account.needed() as u32,
                first: account.waiting.first().map_or(0, |(_, cost, _)| cost),
            });
        }
        requests
    }

    /// Has reports with what this router knows of targets' limits sent to the meters at once.
    pub fn report_limits_now(&mut self) {
        self.is_report_due = true;
    }

    /// Time for which a limit that is used up is best left alone, where units will be there after `retry_after`.
    ///
    /// With hundreds of routers the meter would otherwise be asked for each call that any of them would like to
    /// send. Without a meter, a turn may come at any time.
    pub fn refusal_pause(&self, tag: LimitTag, retry_after: Duration) -> Duration {
        let account = self.accounts.get(&tag);
        let Some(account) = account.filter(|account| account.meter.is_some()) else {
            return TURN_LOOK;
        };
        let ask_rate = ASK_RATE.max(ASKS_PER_UNIT * account.rule.limit.rate);
        let fair = Duration::from_secs_f64(self.fleet.known as f64 / ask_rate);
        fair.max(retry_after / 2).clamp(TURN_LOOK, LONGEST_REST)
    }

    /// Whether a limit's meter is to be asked now.
    pub fn is_low(&self, tag: LimitTag) -> bool {
        let Some(account) = self.accounts.get(&tag) else { return false };
        let shares = account.shares(self.fleet);
        account.meter.is_some() && account.asked.is_none() && account.missing(&shares) >= 1.0
    }

    /// What is known of a limit's use.
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
