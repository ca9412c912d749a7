//! Customers: who calls, known by keys, and how much of the fleet each may use.
//!
//! A key is a secret. It is replaced by its digest where it enters the process, so that no log line, error,
//! snapshot or message between routers can hold it.

pub mod keys;

use super::limits::{LimitTag, terms::UsageLimit};
use crate::ids::CustomerName;
use keys::{KeyDigest, PresentedKey};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, fmt, sync::Arc};
use xxhash_rust::xxh3::xxh3_64;

/// One customer, as configured.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerRule {
    /// Its name, which targets are told.
    pub name: CustomerName,
    /// Digests of the keys by which its calls are known.
    pub keys: Vec<KeyDigest>,
    /// Rank of its calls, in place of their routes'; 0 is the highest.
    pub priority: Option<u8>,
    /// What it may use; nothing where it has no limit.
    pub limit: Option<UsageLimit>,
}

impl CustomerRule {
    /// Hash of its name.
    pub fn tag(&self) -> LimitTag {
        xxh3_64(self.name.as_bytes())
    }
}

/// Why customers cannot be told apart, or not be counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CustomerFault {
    /// Two customers hold the same key.
    SharedKey(CustomerName, CustomerName),
    /// Two customers have the same name.
    SameName(CustomerName),
    /// Two names have the same hash, so that their use would be counted together.
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

/// Whose call it is.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// A customer's.
    Customer(Arc<CustomerRule>),
    /// Nobody's: there are no customers, or the route is open to all.
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

/// All customers, found by the digests of their keys.
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

    /// All customers.
    pub fn rules(&self) -> &[Arc<CustomerRule>] {
        &self.rules
    }

    /// The limits of those that have one.
    pub fn limits(&self) -> HashMap<LimitTag, UsageLimit> {
        self.rules.iter().filter_map(|rule| Some((rule.tag(), rule.limit?))).collect()
    }

    /// Whether callers are told apart at all.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Whose call it is; `None` if it must be turned away.
    ///
    /// On an open route the key decides nothing, but a call that bears one is its holder's all the same.
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
