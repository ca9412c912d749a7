//! Counts calls against limits, and lets those wait whose meter must be asked.

use crate::clock;
use metrics::{counter, gauge};
use plantain_core::{
    direct::{
        config::RouteConfig,
        customers::CustomerRule,
        limits::{
            LimitTag,
            account::{AccountTable, AccountView, CallTicket, SpendDecision, SpendResult},
            messages::{UsageGrant, UsageReport},
            terms::{FleetSize, LimitRule, LimitTerms, UsageCost, UsageLimit},
        },
        membership::InstanceId,
        target_limit::{LimitUpdate, RequestRate, target_rule},
    },
    ids::{BootId, Timestamp},
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    sync::Arc,
    time::Duration,
};
use tokio::sync::{Notify, oneshot};

/// Use that was counted for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageCharge {
    tag: LimitTag,
    pub(crate) cost: UsageCost,
    spent: Timestamp,
}

/// What is used of limits at this router.
pub(crate) struct LimitTracker {
    accounts: RefCell<AccountTable>,
    /// What customers' limits are judged by.
    customer_terms: Cell<LimitTerms>,
    waiting: RefCell<HashMap<CallTicket, oneshot::Sender<SpendDecision>>>,
    /// Wakes the link to the meters.
    pub(crate) wake: Notify,
}

impl LimitTracker {
    /// Starts with nothing used.
    pub(crate) fn new(boot: BootId, terms: LimitTerms) -> Self {
        Self {
            accounts: RefCell::new(AccountTable::new(boot, clock::now())),
            customer_terms: Cell::new(terms),
            waiting: RefCell::default(),
            wake: Notify::new(),
        }
    }

    /// Takes what customers' limits are judged by.
    pub(crate) fn set_terms(&self, terms: LimitTerms) {
        self.customer_terms.set(terms);
    }

    /// Takes the limits of a configuration.
    pub(crate) fn set_limits(&self, config: &RouteConfig) {
        self.accounts.borrow_mut().set_limits(config.number, &config.customers.limits());
    }

    /// Takes the number of routers and the targets beside which meters stand.
    pub(crate) fn set_fleet(&self, fleet: FleetSize, targets: Vec<InstanceId>, now: Timestamp) {
        self.accounts.borrow_mut().set_fleet(fleet, targets, now);
        self.accounts.borrow_mut().expire(now);
        self.deliver_decisions();
    }

    /// Whether there are meters that may keep limits.
    pub(crate) fn knows_meters(&self) -> bool {
        self.accounts.borrow().knows_meters()
    }

    /// Counts a call against its customer's limit, and waits for the customer's meter where that must
    /// be asked. A caller that goes away meanwhile is not counted.
    pub(crate) async fn charge(
        &self,
        customer: &CustomerRule,
        limit: &UsageLimit,
        cost: UsageCost,
    ) -> (SpendDecision, UsageCharge) {
        let terms = self.customer_terms.get();
        let rule = LimitRule { limit: *limit, terms, is_used_before: false };
        let (decision, charge) = self.spend(customer.tag(), &rule, cost).await;
        let outcome = if decision == SpendDecision::Granted { "granted" } else { "refused" };
        counter!("plantain_customer_units_total", "customer" => customer.name.to_string(),
            "outcome" => outcome)
        .increment(u64::from(cost));
        (decision, charge)
    }

    /// Counts a request against the limit that its target states. Where the target's meter must be asked, it waits
    /// for that until it is dropped.
    pub(crate) async fn acquire(
        &self,
        target: LimitTag,
        rate: RequestRate,
    ) -> (SpendDecision, UsageCharge) {
        self.spend(target, &target_rule(rate), 1).await
    }

    async fn spend(
        &self,
        tag: LimitTag,
        rule: &LimitRule,
        cost: UsageCost,
    ) -> (SpendDecision, UsageCharge) {
        let spend = self.accounts.borrow_mut().spend(tag, rule, cost, clock::now());
        if self.accounts.borrow().is_low(tag) {
            self.wake.notify_one();
        }
        let decision = match spend {
            SpendResult::Decided(decision) => decision,
            SpendResult::Waiting(ticket) => self.wait(ticket).await,
        };
        (decision, UsageCharge { tag, cost, spent: clock::now() })
    }

    /// Pause after a refusal, where there will be room after `retry_after`.
    pub(crate) fn refusal_pause(&self, tag: LimitTag, retry_after: Duration) -> Duration {
        self.accounts.borrow().refusal_pause(tag, retry_after)
    }

    /// Has the meters told at once what is known of targets' limits.
    pub(crate) fn report_limits_now(&self) {
        self.accounts.borrow_mut().report_limits_now();
        self.wake.notify_one();
    }

    async fn wait(&self, ticket: CallTicket) -> SpendDecision {
        let (sender, decided) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        self.wake.notify_one();
        let guard = TicketGuard { tracker: self, ticket, is_decided: Cell::new(false) };
        let decision = decided.await;
        guard.is_decided.set(true);
        // Each call that waits is decided after a while at the latest.
        decision.unwrap_or(SpendDecision::Refused { retry_after: None })
    }

    /// A call that was counted was not run.
    pub(crate) fn refund(&self, charge: UsageCharge) {
        let UsageCharge { tag, cost, spent } = charge;
        self.accounts.borrow_mut().refund(tag, cost, spent, clock::now());
    }

    /// Takes what a meter answers.
    pub(crate) fn take_grant(&self, grant: &UsageGrant, now: Timestamp) {
        self.accounts.borrow_mut().take_grant(grant, now);
        self.deliver_decisions();
    }

    /// Reports that are due, each with the target beside which its meter stands.
    ///
    /// Each tells `limit_updates` of targets' limits.
    pub(crate) fn take_reports(
        &self,
        limit_updates: &[LimitUpdate],
        now: Timestamp,
    ) -> Vec<(InstanceId, UsageReport)> {
        self.accounts.borrow_mut().take_reports(limit_updates, now)
    }

    /// Shows on the metrics page what is known of customers' use.
    pub(crate) fn update_metrics(&self, customers: &[Arc<CustomerRule>], now: Timestamp) {
        for customer in customers {
            let Some(view) = self.view(customer, now) else { continue };
            let name = || customer.name.to_string();
            gauge!("plantain_customer_rate", "customer" => name()).set(view.rate);
            gauge!("plantain_customer_used", "customer" => name()).set(view.used as f64);
            if let Some(age) = view.age {
                gauge!("plantain_customer_left", "customer" => name()).set(view.left);
                gauge!("plantain_customer_left_age_seconds", "customer" => name())
                    .set(age.as_secs_f64());
            }
        }
    }

    /// What is known of a customer's use.
    pub(crate) fn view(&self, customer: &CustomerRule, now: Timestamp) -> Option<AccountView> {
        self.view_tag(customer.tag(), now)
    }

    /// What is known of a limit's use.
    pub(crate) fn view_tag(&self, tag: LimitTag, now: Timestamp) -> Option<AccountView> {
        self.accounts.borrow().view(tag, now)
    }

    fn deliver_decisions(&self) {
        let decided = self.accounts.borrow_mut().take_decided();
        let mut waiting = self.waiting.borrow_mut();
        for (ticket, decision) in decided {
            if let Some(sender) = waiting.remove(&ticket) {
                // A caller that has just gone does not hear it; its call is counted all the same.
                let _ = sender.send(decision);
            }
        }
    }
}

/// A call that waits, for as long as this lives.
struct TicketGuard<'a> {
    tracker: &'a LimitTracker,
    ticket: CallTicket,
    is_decided: Cell<bool>,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if !self.is_decided.get() {
            self.tracker.waiting.borrow_mut().remove(&self.ticket);
            self.tracker.accounts.borrow_mut().cancel(self.ticket);
        }
    }
}
