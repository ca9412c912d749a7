//! Rate limits that targets advertise in their answers: requests a second, from all routers together.
//!
//! Meters keep them like customers' limits. Routers and loaders tell each other what targets have advertised, so
//! that a router knows of a limit before its first request there, and of its end without a further one.

use super::limits::{
    LimitTag,
    terms::{LimitRule, LimitTerms, UsageLimit, UsageUnit},
};
use crate::ids::Timestamp;
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Requests a second.
pub type RequestRate = f64;

/// By what a target's limit is judged: in any window, one and a half times its rate and five requests.
const TARGET_TERMS: LimitTerms =
    LimitTerms { window: Duration::from_secs(4), overage: 0.5, slack: 5.0 };
/// Lowest rate of requests to a limited target, also where it advertises a lower one: only its answers show when
/// the limit ends.
const PROBE_RATE: RequestRate = 0.1;
/// Time for which the end of a limit is told onward.
const END_TTL: Duration = Duration::from_mins(1);
/// Time after which a loader forgets a limit that no router tells it any more.
const UPDATE_TTL: Duration = Duration::from_mins(1);
/// Limits in one message, the newest ones: some 1.5 kB.
const UPDATE_LIMIT: usize = 64;
/// Limits that a loader remembers.
const TABLE_LIMIT: usize = 4_096;

/// How the routers keep a limit that a target advertises.
pub fn target_rule(rate: RequestRate) -> LimitRule {
    LimitRule {
        limit: UsageLimit { unit: UsageUnit::Calls, rate: kept_rate(rate), burst: 0.0 },
        terms: TARGET_TERMS,
        is_used_before: true,
    }
}

fn kept_rate(rate: RequestRate) -> RequestRate {
    rate.max(PROBE_RATE)
}

/// What one answer advertises as its target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// None.
    #[default]
    Unlimited,
    /// Requests a second from all routers together.
    Limited(RequestRate),
    /// A limit that cannot be read.
    Unreadable,
}

/// The limit of one target, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLimit {
    /// The rate; `None` if there is no limit.
    pub rate: Option<RequestRate>,
    /// The time of which that is known.
    pub as_of: Timestamp,
    /// When the last limit ended.
    pub ended: Option<Timestamp>,
}

impl KnownLimit {
    /// Takes what an answer says to a request that was sent at `sent`; returns whether the limit has changed.
    ///
    /// An answer without a limit may have been under way when the limit was advertised, so it ends only limits that
    /// were advertised before its request was sent.
    pub fn record(&mut self, stated: AdvertisedLimit, sent: Timestamp, now: Timestamp) -> bool {
        match stated {
            AdvertisedLimit::Unlimited => self.merge(Self { rate: None, as_of: sent, ended: None }),
            AdvertisedLimit::Limited(rate) => {
                self.merge(Self { rate: Some(rate), as_of: now, ended: None })
            }
            AdvertisedLimit::Unreadable => false,
        }
    }

    /// Applies what another process knows if it is newer; returns whether the limit has changed.
    ///
    /// What is known already is not taken for newer when it comes back: each hop adds a little to its time, and an
    /// end that a target has advertised meanwhile would seem to be older.
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

    /// Whether others are sent an update: there is a limit, or one has ended lately.
    pub fn is_reported(&self, now: Timestamp) -> bool {
        let is_recent = |ended: Timestamp| now.saturating_sub(ended) < END_TTL;
        self.rate.is_some() || self.ended.is_some_and(is_recent)
    }
}

/// What one process knows of a target's limit, as it sends it to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitUpdate {
    /// The target's incarnation.
    pub tag: LimitTag,
    /// The rate; `None` if the limit has ended.
    pub rate: Option<RequestRate>,
    /// Age of that knowledge in ms.
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

/// Updates to send of these limits, the newest first.
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
    told: Timestamp,
}

/// Limits of targets that a loader has received from routers.
#[derive(Debug, Default)]
pub struct LimitTable {
    told: HashMap<LimitTag, ReceivedLimit>,
}

impl LimitTable {
    /// Applies updates of a router.
    pub fn take(&mut self, updates: &[LimitUpdate], now: Timestamp) {
        for update in updates {
            if let Some(told) = self.told.get_mut(&update.tag) {
                told.known.apply_update(update, now);
                told.told = now;
                continue;
            }
            if self.told.len() >= TABLE_LIMIT {
                self.told.retain(|_, told| now.saturating_sub(told.told) < UPDATE_TTL);
            }
            if self.told.len() < TABLE_LIMIT {
                let mut known = update.known(now);
                known.ended = known.rate.is_none().then_some(known.as_of);
                self.told.insert(update.tag, ReceivedLimit { known, told: now });
            }
        }
    }

    /// Updates for a router that has sent `theirs`: all that it does not know so.
    pub fn answer(&self, theirs: &[LimitUpdate], now: Timestamp) -> Vec<LimitUpdate> {
        let is_known = |tag: LimitTag, limit: &KnownLimit| {
            theirs.iter().any(|update| update.tag == tag && update.rate == limit.rate)
        };
        let fresh = self.told.iter().filter(|(_, told)| now.saturating_sub(told.told) < UPDATE_TTL);
        let unknown = fresh.filter(|(tag, told)| !is_known(**tag, &told.known));
        limit_updates(unknown.map(|(tag, told)| (*tag, &told.known)), now)
    }

    /// Whether a router that keeps a limit at `rate` has the newest word of it; `None` where no target's limit is
    /// known by this tag.
    pub fn is_newest(&self, tag: LimitTag, rate: f32) -> Option<bool> {
        let newest = self.told.get(&tag)?.known.rate.map(kept_rate);
        Some(newest.is_some_and(|newest| (newest as f32).to_bits() == rate.to_bits()))
    }
}
