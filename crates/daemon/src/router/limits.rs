//! Counts customers' calls against their limits, and lets those wait whose meter must be asked.

use crate::clock;
use metrics::{counter, gauge};
use plantain_core::{
    direct::{
        config::RouteConfig,
        customers::CustomerRule,
        limits::{
            LimitTag,
            account::{AccountBook, AccountView, CallTicket, Spend, SpendVerdict},
            messages::{UsageGrant, UsageReport},
            terms::{LimitTerms, UsageCost, UsageLimit},
        },
        membership::InstanceId,
        messages::BootId,
    },
    ids::Timestamp,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    sync::Arc,
};
use tokio::sync::{Notify, oneshot};

/// Use that was counted for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageCharge {
    customer: LimitTag,
    pub(crate) cost: UsageCost,
    spent: Timestamp,
}

/// What customers use at this router.
pub(crate) struct LimitKeeper {
    book: RefCell<AccountBook>,
    waiting: RefCell<HashMap<CallTicket, oneshot::Sender<SpendVerdict>>>,
    /// Wakes the link to the meters.
    pub(crate) wake: Notify,
}

impl LimitKeeper {
    /// Starts with nothing used.
    pub(crate) fn new(boot: BootId, terms: LimitTerms) -> Self {
        Self {
            book: RefCell::new(AccountBook::new(boot, terms, clock::now())),
            waiting: RefCell::default(),
            wake: Notify::new(),
        }
    }

    /// Takes what limits are judged by.
    pub(crate) fn set_terms(&self, terms: LimitTerms) {
        self.book.borrow_mut().set_terms(terms);
    }

    /// Takes the limits of a configuration.
    pub(crate) fn set_limits(&self, config: &RouteConfig) {
        self.book.borrow_mut().set_limits(config.number, &config.customers.limits());
    }

    /// Takes the number of routers and the targets beside which meters stand.
    pub(crate) fn set_fleet(&self, routers: usize, targets: Vec<InstanceId>, now: Timestamp) {
        self.book.borrow_mut().set_fleet(routers, targets, now);
        self.book.borrow_mut().expire(now);
        self.settle();
    }

    /// Counts a call against its customer's limit, and waits for the customer's meter where that must
    /// be asked. A caller that goes away meanwhile is not counted.
    pub(crate) async fn charge(
        &self,
        customer: &CustomerRule,
        limit: &UsageLimit,
        cost: UsageCost,
    ) -> (SpendVerdict, UsageCharge) {
        let tag = customer.tag();
        let spend = self.book.borrow_mut().spend(tag, limit, cost, clock::now());
        if self.book.borrow().is_low(tag) {
            self.wake.notify_one();
        }
        let verdict = match spend {
            Spend::Decided(verdict) => verdict,
            Spend::Waiting(ticket) => self.wait(ticket).await,
        };
        let outcome = if verdict == SpendVerdict::Granted { "granted" } else { "refused" };
        counter!("plantain_customer_units_total", "customer" => customer.name.to_string(),
            "outcome" => outcome)
        .increment(u64::from(cost));
        (verdict, UsageCharge { customer: tag, cost, spent: clock::now() })
    }

    async fn wait(&self, ticket: CallTicket) -> SpendVerdict {
        let (sender, decided) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        self.wake.notify_one();
        let guard = WaitGuard { keeper: self, ticket, is_decided: Cell::new(false) };
        let verdict = decided.await;
        guard.is_decided.set(true);
        // Each call that waits is decided after a while at the latest.
        verdict.unwrap_or(SpendVerdict::Refused { room_in: None })
    }

    /// A call that was counted was not run.
    pub(crate) fn give_back(&self, charge: UsageCharge) {
        let UsageCharge { customer, cost, spent } = charge;
        self.book.borrow_mut().give_back(customer, cost, spent, clock::now());
    }

    /// Takes what a meter answers.
    pub(crate) fn take_grant(&self, grant: &UsageGrant, now: Timestamp) {
        self.book.borrow_mut().take_grant(grant, now);
        self.settle();
    }

    /// Reports that are due, each with the target beside which its meter stands.
    pub(crate) fn take_reports(&self, now: Timestamp) -> Vec<(InstanceId, UsageReport)> {
        self.book.borrow_mut().take_reports(now)
    }

    /// Shows on the metrics page what is known of customers' use.
    pub(crate) fn show(&self, customers: &[Arc<CustomerRule>], now: Timestamp) {
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
        self.book.borrow().view(customer.tag(), now)
    }

    fn settle(&self) {
        let decided = self.book.borrow_mut().take_decided();
        let mut waiting = self.waiting.borrow_mut();
        for (ticket, verdict) in decided {
            if let Some(sender) = waiting.remove(&ticket) {
                // A caller that has just gone does not hear it; its call is counted all the same.
                let _ = sender.send(verdict);
            }
        }
    }
}

/// A call that waits, for as long as this lives.
struct WaitGuard<'a> {
    keeper: &'a LimitKeeper,
    ticket: CallTicket,
    is_decided: Cell<bool>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.is_decided.get() {
            self.keeper.waiting.borrow_mut().remove(&self.ticket);
            self.keeper.book.borrow_mut().withdraw(self.ticket);
        }
    }
}
