//! Claims that all streams of a route began at one version, kept by loaders for routers that have just started.
//!
//! A router can claim that only of the time in which it followed the list. It takes over the claim of another router that
//! ends shortly before that time: a version that came and went in between has got no streams.

use super::{
    RouteTag, SoftwareTag,
    history::{SETTLE_TIME, SingleVersion},
    messages::RouteClaim,
    software_tag,
};
use crate::ids::Timestamp;
use std::{collections::HashMap, time::Duration};

/// Longest time between another router's last claim and the time from which a router follows the list itself.
pub const INHERIT_LIMIT: Duration = Duration::from_secs(2);
/// Routes of which a router makes claims.
pub const CLAIM_LIMIT: usize = 16;
/// Age after which a claim is dropped.
const CLAIM_TTL: Duration = SETTLE_TIME;
/// Time for which it is kept that a route had several versions: no stream lives as long.
const DENIAL_TTL: Duration = Duration::from_mins(5);

/// What routers have claimed of one route: that it had one version from `since` to `claimed`.
#[derive(Clone, Copy, Debug)]
struct KnownClaim {
    software: SoftwareTag,
    since: Timestamp,
    claimed: Timestamp,
}

/// Claims of all routers at one loader.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<RouteTag, KnownClaim>,
    /// When a router last had several versions of a route.
    denied: HashMap<RouteTag, Timestamp>,
}

impl ClaimTable {
    /// Applies a router's claims.
    pub fn take(&mut self, claims: &[RouteClaim], now: Timestamp) {
        for claim in claims {
            match claim.software() {
                Some(software) => self.note(claim, software, now),
                None => {
                    self.denied.insert(claim.route(), now);
                }
            }
        }
    }

    fn note(&mut self, claim: &RouteClaim, software: SoftwareTag, now: Timestamp) {
        let since = now.saturating_sub(millis(claim.single_ms));
        let new = KnownClaim { software, since, claimed: now };
        let known = self.claims.entry(claim.route()).or_insert(new);
        if known.software != software {
            // One of the two routers does not know the other's version.
            *known = new;
            self.denied.insert(claim.route(), now);
        } else if since <= known.claimed + INHERIT_LIMIT {
            known.since = known.since.min(since);
            known.claimed = now;
        } else {
            *known = new;
        }
        if claim.had_others {
            let denied = self.denied.entry(claim.route()).or_default();
            *denied = since.max(*denied);
        }
    }

    /// All claims, and drops those that are too old.
    pub fn list(&mut self, now: Timestamp) -> Vec<RouteClaim> {
        self.claims.retain(|_, claim| now.saturating_sub(claim.claimed) < CLAIM_TTL);
        self.denied.retain(|_, denied| now.saturating_sub(*denied) < DENIAL_TTL);
        let claims = self.claims.iter().map(|(route, claim)| {
            let denied = self.denied.get(route).copied();
            let single = now.saturating_sub(claim.since.max(denied.unwrap_or_default()));
            let age = now.saturating_sub(claim.claimed);
            RouteClaim::new(*route, Some(claim.software)).with_times(single, age)
        });
        claims.collect()
    }
}

/// What a router has taken over about one route.
#[derive(Clone, Copy, Debug)]
struct InheritedClaim {
    software: SoftwareTag,
    /// For how long this was the only version before the router followed the list. Clocks begin at the start of a process,
    /// so that this cannot be a time.
    before: Duration,
}

/// Claims of other routers that a router has taken over.
#[derive(Debug, Default)]
pub struct InheritedClaims {
    claims: HashMap<RouteTag, InheritedClaim>,
    /// Since when the router followed the list when it took them over.
    followed_since: Option<Timestamp>,
}

impl InheritedClaims {
    /// Takes over the claims that reach up to the time since which this router follows the list.
    pub fn take(
        &mut self,
        claims: &[RouteClaim],
        followed_since: Option<Timestamp>,
        now: Timestamp,
    ) {
        if self.followed_since != followed_since {
            self.claims.clear();
            self.followed_since = followed_since;
        }
        let Some(followed_since) = followed_since else { return };
        let followed = now.saturating_sub(followed_since);
        for claim in claims {
            let (age, single) = (millis(claim.age_ms), millis(claim.single_ms));
            let Some(software) = claim.software() else { continue };
            if age > followed + INHERIT_LIMIT {
                continue;
            }
            let before = (age + single).saturating_sub(followed);
            let new = InheritedClaim { software, before };
            let known = self.claims.entry(claim.route()).or_insert(new);
            if known.software == software {
                known.before = known.before.max(before);
            } else {
                *known = InheritedClaim { software, before: Duration::ZERO };
            }
        }
    }

    /// For how long all streams of a route began at one version, which its service has had without another one since
    /// `single.since`.
    pub fn single_time(
        &self,
        route: RouteTag,
        service: &str,
        single: &SingleVersion<'_>,
        followed_since: Option<Timestamp>,
        now: Timestamp,
    ) -> Duration {
        let is_undisturbed = Some(single.since) == followed_since;
        let inherited = self.claims.get(&route).filter(|claim| {
            is_undisturbed
                && self.followed_since == followed_since
                && claim.software == software_tag(service, single.software)
        });
        let before = inherited.map_or(Duration::ZERO, |claim| claim.before);
        now.saturating_sub(single.since) + before
    }
}

fn millis(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}
