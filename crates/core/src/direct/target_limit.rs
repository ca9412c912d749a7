//! Rate limits that targets advertise in their answers: requests a second, from all routers together.
//!
//! Meters enforce them like customers' limits. Routers and loaders exchange what targets have advertised, so that a
//! router knows a limit before its first request to the target, and learns of the limit's end without sending a
//! request itself.

use super::limits::{
    LimitTag,
    terms::{LimitRule, LimitTerms, UsageLimit, UsageUnit},
};
use crate::ids::Timestamp;
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Requests a second.
pub type RequestRate = f64;

/// Tolerance of targets' limits: in any window, 1.5 times the rate plus five requests.
const TARGET_TERMS: LimitTerms =
    LimitTerms { window: Duration::from_secs(4), overage: 0.5, slack: 5.0 };
/// Lowest rate of requests to a limited target, also where it advertises a lower one: only its answers show when
/// the limit ends.
const PROBE_RATE: RequestRate = 0.1;
/// Time for which the end of a limit is sent to other processes.
const END_TTL: Duration = Duration::from_mins(1);
/// Time after which a loader no longer passes on a limit that routers have stopped sending.
const UPDATE_TTL: Duration = Duration::from_mins(1);
/// Most limits in one message, about 1.5 kB; the newest ones are sent.
const UPDATE_LIMIT: usize = 64;
/// Most limits that a loader stores.
const TABLE_LIMIT: usize = 4_096;

/// Rule under which the routers enforce a limit that a target advertises.
pub fn target_rule(rate: RequestRate) -> LimitRule {
    LimitRule {
        limit: UsageLimit { unit: UsageUnit::Calls, rate: enforced_rate(rate), burst: 0.0 },
        terms: TARGET_TERMS,
        is_used_before: true,
    }
}

fn enforced_rate(rate: RequestRate) -> RequestRate {
    rate.max(PROBE_RATE)
}

/// Limit of a target as one answer advertises it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// The answer states no limit.
    #[default]
    Unlimited,
    /// Requests a second from all routers together.
    Limited(RequestRate),
    /// The answer states a limit that cannot be parsed.
    Unreadable,
}

/// What a process knows about one target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLimit {
    /// The rate; `None` if there is no limit.
    pub rate: Option<RequestRate>,
    /// Time at which the rate was advertised.
    pub as_of: Timestamp,
    /// When the last limit ended; `None` if none has.
    pub ended: Option<Timestamp>,
}

impl KnownLimit {
    /// Records an answer to a request that was sent at `sent`; returns whether the limit has changed.
    ///
    /// An answer without a limit may have been in transit when the limit was advertised, so it ends only limits that
    /// were advertised before its request was sent.
    pub fn record(&mut self, advertised: AdvertisedLimit, sent: Timestamp, now: Timestamp) -> bool {
        match advertised {
            AdvertisedLimit::Unlimited => self.merge(Self { rate: None, as_of: sent, ended: None }),
            AdvertisedLimit::Limited(rate) => {
                self.merge(Self { rate: Some(rate), as_of: now, ended: None })
            }
            AdvertisedLimit::Unreadable => false,
        }
    }

    /// Applies another process's update if it is newer; returns whether the limit has changed.
    ///
    /// An update with the known rate does not refresh `as_of`. Each hop makes an update seem slightly newer; if
    /// echoes refreshed the limit, an end that the target has advertised meanwhile would seem older than the limit.
    pub fn apply_update(&mut self, update: &LimitUpdate, now: Timestamp) -> bool {
        update.rate != self.rate && self.merge(update.known(now))
    }

    fn merge(&mut self, other: Self) -> bool {
        if other.as_of < self.as_of {
            return false;
        }
        if self.rate.is_some() && other.rate.is_none() {
            self.ended = Some(other.as_of);
        }
        self.as_of = other.as_of;
        std::mem::replace(&mut self.rate, other.rate) != other.rate
    }

    /// Whether updates of the limit are sent to other processes: it applies, or it ended less than `END_TTL` ago.
    pub fn is_reported(&self, now: Timestamp) -> bool {
        let is_recent = |ended: Timestamp| now.saturating_sub(ended) < END_TTL;
        self.rate.is_some() || self.ended.is_some_and(is_recent)
    }
}

/// A target's limit as one process reports it to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitUpdate {
    /// Stable hash of the target's incarnation.
    pub tag: LimitTag,
    /// The rate; `None` if the limit has ended.
    pub rate: Option<RequestRate>,
    /// Time in ms since the rate was advertised.
    pub age_ms: u32,
}

impl LimitUpdate {
    fn new(tag: LimitTag, known: &KnownLimit, now: Timestamp) -> Self {
        let age = now.saturating_sub(known.as_of).as_millis();
        Self { tag, rate: known.rate, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
    }

    fn known(&self, now: Timestamp) -> KnownLimit {
        let age = Duration::from_millis(self.age_ms.into());
        KnownLimit { rate: self.rate, as_of: now.saturating_sub(age), ended: None }
    }
}

/// Updates to send about these limits, the newest first.
pub fn limit_updates<'a>(
    known: impl Iterator<Item = (LimitTag, &'a KnownLimit)>,
    now: Timestamp,
) -> Vec<LimitUpdate> {
    let mut known: Vec<_> = known.filter(|(_, limit)| limit.is_reported(now)).collect();
    known.sort_unstable_by_key(|(tag, limit)| (Reverse(limit.as_of), *tag));
    known.truncate(UPDATE_LIMIT);
    known.into_iter().map(|(tag, limit)| LimitUpdate::new(tag, limit, now)).collect()
}

#[derive(Debug)]
struct ReceivedLimit {
    known: KnownLimit,
    /// When a router last sent an update of the limit.
    received: Timestamp,
}

/// Limits of targets that a loader has received from routers.
#[derive(Debug, Default)]
pub struct LimitTable {
    limits: HashMap<LimitTag, ReceivedLimit>,
}

impl LimitTable {
    /// Applies updates of a router.
    pub fn take(&mut self, updates: &[LimitUpdate], now: Timestamp) {
        for update in updates {
            if let Some(entry) = self.limits.get_mut(&update.tag) {
                entry.known.apply_update(update, now);
                entry.received = now;
                continue;
            }
            if self.limits.len() >= TABLE_LIMIT {
                self.limits.retain(|_, entry| now.saturating_sub(entry.received) < UPDATE_TTL);
            }
            if self.limits.len() < TABLE_LIMIT {
                let mut known = update.known(now);
                known.ended = known.rate.is_none().then_some(known.as_of);
                self.limits.insert(update.tag, ReceivedLimit { known, received: now });
            }
        }
    }

    /// Updates for a router that has sent `theirs`: the limits that these lack or state differently.
    pub fn answer(&self, theirs: &[LimitUpdate], now: Timestamp) -> Vec<LimitUpdate> {
        let is_known = |tag: LimitTag, limit: &KnownLimit| {
            theirs.iter().any(|update| update.tag == tag && update.rate == limit.rate)
        };
        let fresh =
            self.limits.iter().filter(|(_, entry)| now.saturating_sub(entry.received) < UPDATE_TTL);
        let unknown = fresh.filter(|(tag, entry)| !is_known(**tag, &entry.known));
        limit_updates(unknown.map(|(tag, entry)| (*tag, &entry.known)), now)
    }

    /// Whether a router that enforces a limit at `rate` has its newest state; `None` if no target's limit has this
    /// tag.
    pub fn is_newest(&self, tag: LimitTag, rate: f32) -> Option<bool> {
        let newest = self.limits.get(&tag)?.known.rate.map(enforced_rate);
        Some(newest.is_some_and(|newest| (newest as f32).to_bits() == rate.to_bits()))
    }
}
