//! Customers: identified by API keys, each with an optional rate limit.
//!
//! A key is a secret. It is replaced by its digest where it enters the process, so that no log line, error,
//! snapshot or message between routers can contain it.

pub mod keys;

use super::limits::{LimitTag, terms::UsageLimit};
use crate::ids::CustomerName;
use keys::{KeyDigest, PresentedKey};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, fmt, sync::Arc};
use xxhash_rust::xxh3::xxh3_64;

/// Configuration of one customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerRule {
    /// Unique name, which is sent to targets.
    pub name: CustomerName,
    /// Digests of the keys that identify its calls.
    pub keys: Vec<KeyDigest>,
    /// Priority of its calls, in place of their routes' priority; 0 is the highest.
    pub priority: Option<u8>,
    /// Rate limit over all routers; `None` if it has no limit.
    pub limit: Option<UsageLimit>,
}

impl CustomerRule {
    /// Tag of its limit: the hash of its name.
    pub fn tag(&self) -> LimitTag {
        xxh3_64(self.name.as_bytes())
    }
}

/// Why a list of customers is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CustomerFault {
    /// Two customers hold the same key.
    SharedKey(CustomerName, CustomerName),
    /// Two customers have the same name.
    SameName(CustomerName),
    /// Two names have the same hash, so that their usage would be counted together.
    SameTag(CustomerName, CustomerName),
}

impl fmt::Display for CustomerFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SharedKey(one, other) => {
                write!(formatter, "customers `{one}` and `{other}` hold the same key")
            }
            Self::SameName(name) => write!(formatter, "two customers are named `{name}`"),
            Self::SameTag(one, other) => {
                write!(formatter, "customers `{one}` and `{other}` have the same hash")
            }
        }
    }
}

impl std::error::Error for CustomerFault {}

/// Identity of a call's caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// A customer.
    Customer(Arc<CustomerRule>),
    /// No customer: none are configured, or the route is open to all.
    Anyone,
}

impl CallerIdentity {
    /// The customer, if there is one.
    pub fn customer(&self) -> Option<&Arc<CustomerRule>> {
        match self {
            Self::Customer(rule) => Some(rule),
            Self::Anyone => None,
        }
    }
}

/// All customers, indexed by the digests of their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerTable {
    rules: Vec<Arc<CustomerRule>>,
    by_key: HashMap<KeyDigest, Arc<CustomerRule>>,
}

impl CustomerTable {
    /// Indexes customers by their keys.
    pub fn new(rules: Vec<Arc<CustomerRule>>) -> Result<Self, CustomerFault> {
        let mut by_key: HashMap<KeyDigest, Arc<CustomerRule>> = HashMap::new();
        let mut by_tag: HashMap<LimitTag, &Arc<CustomerRule>> = HashMap::new();
        for rule in &rules {
            if let Some(other) = by_tag.insert(rule.tag(), rule) {
                let (one, other) = (Arc::clone(&other.name), Arc::clone(&rule.name));
                let is_same = one == other;
                return Err(if is_same {
                    CustomerFault::SameName(one)
                } else {
                    CustomerFault::SameTag(one, other)
                });
            }
            for key in &rule.keys {
                let holder = by_key.insert(*key, Arc::clone(rule));
                if let Some(holder) = holder.filter(|holder| holder.name != rule.name) {
                    let (one, other) = (Arc::clone(&holder.name), Arc::clone(&rule.name));
                    return Err(CustomerFault::SharedKey(one, other));
                }
            }
        }
        Ok(Self { rules, by_key })
    }

    /// Rules of all customers.
    pub fn rules(&self) -> &[Arc<CustomerRule>] {
        &self.rules
    }

    /// Limits of the customers that have one, by tag.
    pub fn limits(&self) -> HashMap<LimitTag, UsageLimit> {
        self.rules.iter().filter_map(|rule| Some((rule.tag(), rule.limit?))).collect()
    }

    /// Whether no customer is configured, so that keys are not checked.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Identifies the caller; `None` if the call must be rejected.
    ///
    /// An open route admits any call, but a call with a valid key is still attributed to its customer.
    pub fn identify(&self, key: &PresentedKey, is_open: bool) -> Option<CallerIdentity> {
        let holder = match key {
            PresentedKey::Digest(digest) => self.by_key.get(digest),
            PresentedKey::Missing | PresentedKey::Unusable(_) => None,
        };
        match holder {
            Some(rule) => Some(CallerIdentity::Customer(Arc::clone(rule))),
            None if is_open || self.is_empty() => Some(CallerIdentity::Anyone),
            None => None,
        }
    }
}
