//! The urgency with which engines admit a call: its priority, and its customer's use beside its fair share.
//!
//! A customer's limit bounds what it may use over time, and leaves room for bursts. While it uses much more than its fair
//! share, its calls queue behind those of other customers of the same priority instead of delaying them.

use super::{
    customers::CustomerRule,
    limits::{
        LimitTag,
        terms::{UsageLimit, UsageUnit},
    },
};
use crate::ids::{ServiceName, Timestamp};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Lowest urgency that engines accept; 0 is the highest.
pub const LOWEST_URGENCY: u8 = 9;
/// Urgencies for each priority: one for calls within the fair share, and one for each step.
const URGENCIES_PER_PRIORITY: u8 = 3;
/// Priority from which all lower ones count alike where customers contend: its last step is just within
/// [`LOWEST_URGENCY`].
const LOWEST_PRIORITY: u8 = 2;
/// Multiple of the fair share above which calls come one step later. Up to it, a customer may use what others leave.
const FIRST_STEP: f64 = 1.5;
/// Multiple of the fair share above which calls come two steps later.
const SECOND_STEP: f64 = 3.0;
/// Length of a bucket of the window over which use is counted.
const BUCKET: Duration = Duration::from_millis(250);
/// Buckets of the window. They cover 2 s: several runs, so that one long prompt counts as what it is, while a customer
/// whose burst ends is back in its place soon.
const BUCKETS: usize = 8;
/// Maximum of customers counted for each service; further ones get no steps. Bounds memory at about 150 bytes each.
const CUSTOMER_LIMIT: usize = 1_024;
/// Maximum of services for which use is counted.
const SERVICE_LIMIT: usize = 64;

/// Urgency of a call; `steps` is `None` where no customers contend.
pub fn call_urgency(priority: u8, steps: Option<u8>) -> u8 {
    match steps {
        None => priority.min(LOWEST_URGENCY),
        Some(steps) => {
            let steps = steps.min(URGENCIES_PER_PRIORITY - 1);
            URGENCIES_PER_PRIORITY * priority.min(LOWEST_PRIORITY) + steps
        }
    }
}

/// A customer's use of a service beside that of all customers with calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UseShare {
    /// Tokens that the customer used in the window.
    pub used: u64,
    /// Tokens that all customers used.
    pub total: u64,
    /// Fair share of the customer, from 0 to 1.
    pub fair: f64,
}

impl UseShare {
    /// Steps by which the customer's calls come after the others of their priority.
    pub fn steps(&self) -> u8 {
        let fair_tokens = self.fair * self.total as f64;
        let used = self.used as f64;
        u8::from(used > FIRST_STEP * fair_tokens) + u8::from(used > SECOND_STEP * fair_tokens)
    }
}

/// Tokens used in the last 2 s.
#[derive(Clone, Copy, Debug, Default)]
struct TokenWindow {
    buckets: [u64; BUCKETS],
    /// Number of the newest bucket, counted from time 0.
    newest: u64,
}

impl TokenWindow {
    fn add(&mut self, tokens: u64, now: Timestamp) {
        let current = bucket_number(now).max(self.newest);
        let passed = (current - self.newest).min(BUCKETS as u64);
        for number in (current + 1 - passed)..=current {
            self.buckets[bucket_index(number)] = 0;
        }
        self.newest = current;
        self.buckets[bucket_index(current)] += tokens;
    }

    fn sum(&self, now: Timestamp) -> u64 {
        let current = bucket_number(now).max(self.newest);
        let oldest = (current + 1).saturating_sub(BUCKETS as u64);
        (oldest..=self.newest).map(|number| self.buckets[bucket_index(number)]).sum()
    }

    fn is_active(&self, now: Timestamp) -> bool {
        bucket_number(now) < self.newest + BUCKETS as u64
    }
}

fn bucket_number(now: Timestamp) -> u64 {
    (now.as_millis() / BUCKET.as_millis()) as u64
}

fn bucket_index(number: u64) -> usize {
    (number % BUCKETS as u64) as usize
}

/// One customer's use of a service.
#[derive(Debug)]
struct CustomerUse {
    window: TokenWindow,
    limit: Option<UsageLimit>,
}

/// Use of a service by all customers.
#[derive(Debug, Default)]
struct ServiceUse {
    total: TokenWindow,
    customers: HashMap<LimitTag, CustomerUse>,
}

impl ServiceUse {
    fn active(&self, now: Timestamp) -> impl Iterator<Item = &CustomerUse> {
        self.customers.values().filter(move |customer| customer.window.is_active(now))
    }

    /// Fair share of a customer with this limit; `None` if fewer than two customers have calls.
    fn fair_share(&self, limit: Option<UsageLimit>, now: Timestamp) -> Option<f64> {
        let count = self.active(now).count();
        if count < 2 {
            return None;
        }
        let equal_share = 1.0 / count as f64;
        let Some(own) = limit else { return Some(equal_share) };
        // Rates in different units cannot be compared.
        let rates = self.active(now).map(|customer| {
            let other = customer.limit.filter(|other| is_same_unit(other.unit, own.unit))?;
            Some(other.rate)
        });
        let sum: Option<f64> = rates.sum();
        Some(sum.filter(|sum| *sum > 0.0).map_or(equal_share, |sum| own.rate / sum))
    }
}

fn is_same_unit(one: UsageUnit, other: UsageUnit) -> bool {
    matches!(
        (one, other),
        (UsageUnit::Calls, UsageUnit::Calls) | (UsageUnit::Tokens { .. }, UsageUnit::Tokens { .. })
    )
}

/// Use of all services by customers, counted by one router for its own calls.
#[derive(Debug, Default)]
pub struct CustomerUseTable {
    services: HashMap<ServiceName, ServiceUse>,
}

impl CustomerUseTable {
    /// Records that a customer's call of this many tokens is sent to a target of the service.
    pub fn record(
        &mut self,
        service: &ServiceName,
        customer: &CustomerRule,
        tokens: u32,
        now: Timestamp,
    ) {
        if !self.services.contains_key(service) && self.services.len() >= SERVICE_LIMIT {
            self.services.retain(|_, service| service.total.is_active(now));
            if self.services.len() >= SERVICE_LIMIT {
                return;
            }
        }
        let service = self.services.entry(Arc::clone(service)).or_default();
        let tag = customer.tag();
        if !service.customers.contains_key(&tag) && service.customers.len() >= CUSTOMER_LIMIT {
            service.customers.retain(|_, customer| customer.window.is_active(now));
            if service.customers.len() >= CUSTOMER_LIMIT {
                return;
            }
        }
        let customer_use = service
            .customers
            .entry(tag)
            .or_insert(CustomerUse { window: TokenWindow::default(), limit: None });
        customer_use.limit = customer.limit;
        customer_use.window.add(tokens.into(), now);
        service.total.add(tokens.into(), now);
    }

    /// The customer's use of a service; `None` if fewer than two customers have calls of it.
    pub fn share(
        &self,
        service: &ServiceName,
        customer: &CustomerRule,
        now: Timestamp,
    ) -> Option<UseShare> {
        let service = self.services.get(service)?;
        let own = service.customers.get(&customer.tag())?;
        let fair = service.fair_share(own.limit, now)?;
        Some(UseShare { used: own.window.sum(now), total: service.total.sum(now), fair })
    }
}
