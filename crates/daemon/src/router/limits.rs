//! Charges calls to rate limits; a call waits if its limit's meter must answer first.

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

/// Units charged to a limit for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageCharge {
    tag: LimitTag,
    pub(crate) cost: UsageCost,
    spent: Timestamp,
}

/// Use of all limits at this router.
pub(crate) struct LimitTracker {
    accounts: RefCell<AccountTable>,
    /// Window, overage and slack that apply to customers' limits.
    customer_terms: Cell<LimitTerms>,
    waiting: RefCell<HashMap<CallTicket, oneshot::Sender<SpendDecision>>>,
    /// Notified when reports to the meters may be due.
    pub(crate) wake: Notify,
}

impl LimitTracker {
    /// Starts without any use.
    pub(crate) fn new(boot: BootId, terms: LimitTerms) -> Self {
        Self {
            accounts: RefCell::new(AccountTable::new(boot, clock::now())),
            customer_terms: Cell::new(terms),
            waiting: RefCell::default(),
            wake: Notify::new(),
        }
    }

    /// Sets the terms that apply to customers' limits.
    pub(crate) fn set_terms(&self, terms: LimitTerms) {
        self.customer_terms.set(terms);
    }

    /// Sets the customers' limits of a configuration.
    pub(crate) fn set_limits(&self, config: &RouteConfig) {
        self.accounts.borrow_mut().set_limits(config.number, &config.customers.limits());
    }

    /// Sets the number of routers, and the targets whose loaders are meters.
    pub(crate) fn set_fleet(&self, fleet: FleetSize, targets: Vec<InstanceId>, now: Timestamp) {
        self.accounts.borrow_mut().set_fleet(fleet, targets, now);
        self.accounts.borrow_mut().expire(now);
        self.deliver_decisions();
    }

    /// Whether any meter is known.
    pub(crate) fn knows_meters(&self) -> bool {
        self.accounts.borrow().knows_meters()
    }

    /// Charges a call to its customer's limit, and waits for the customer's meter if that must answer first. A call
    /// whose caller leaves during the wait is not charged.
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

    /// Charges a request to its target's advertised limit. If the target's meter must answer first, it waits until
    /// the future is dropped.
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

    /// Pause after a refusal by a limit that admits requests again after `retry_after`.
    pub(crate) fn refusal_pause(&self, tag: LimitTag, retry_after: Duration) -> Duration {
        self.accounts.borrow().refusal_pause(tag, retry_after)
    }

    /// Reports targets' limits to the meters immediately.
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
        // The sender is not dropped before it is used: the account decides each waiting call within a bounded time.
        decision.unwrap_or(SpendDecision::Refused { retry_after: None })
    }

    /// Refunds the units of a call that did not run.
    pub(crate) fn refund(&self, charge: UsageCharge) {
        let UsageCharge { tag, cost, spent } = charge;
        self.accounts.borrow_mut().refund(tag, cost, spent, clock::now());
    }

    /// Applies a meter's answer.
    pub(crate) fn take_grant(&self, grant: &UsageGrant, now: Timestamp) {
        self.accounts.borrow_mut().take_grant(grant, now);
        self.deliver_decisions();
    }

    /// Reports that are due, each with the target whose loader is the meter.
    ///
    /// Each report carries `limit_updates` of targets' limits.
    pub(crate) fn take_reports(
        &self,
        limit_updates: &[LimitUpdate],
        now: Timestamp,
    ) -> Vec<(InstanceId, UsageReport)> {
        self.accounts.borrow_mut().take_reports(limit_updates, now)
    }

    /// Updates the metrics of customers' use.
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

    /// Known use of a customer's limit; `None` if it has no account here.
    pub(crate) fn view(&self, customer: &CustomerRule, now: Timestamp) -> Option<AccountView> {
        self.view_tag(customer.tag(), now)
    }

    /// Known use of a limit; `None` if it has no account here.
    pub(crate) fn view_tag(&self, tag: LimitTag, now: Timestamp) -> Option<AccountView> {
        self.accounts.borrow().view(tag, now)
    }

    fn deliver_decisions(&self) {
        let decided = self.accounts.borrow_mut().take_decided();
        let mut waiting = self.waiting.borrow_mut();
        for (ticket, decision) in decided {
            if let Some(sender) = waiting.remove(&ticket) {
                // The caller may have just left; its call stays charged.
                let _ = sender.send(decision);
            }
        }
    }
}

/// Cancels a call's wait for a meter if dropped before the decision.
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
