//! Which routers are alive, as loaders tell them.
//!
//! Pattern: routers of an availability zone share one watch of the platform's store, and all routers of the
//! fleet share one budget of repeats, so each must know the others of its zone and the number of all. While
//! every loader told every router, that traffic grew with routers times loaders. Instead the routers of a zone
//! register at two loaders, which all of them choose alike without a message and come by at in turn; while no
//! loader is known, as after a start of everything, they register at the routers that their settings name. Of
//! each other zone a router only learns the number, which it asks where that zone's routers register.

use super::{
    membership::InstanceId,
    sharing::order::{RelayOrder, relay_rank},
    target_limit::LimitUpdate,
};
use crate::{
    crashes::REPORT_TTL,
    ids::{Timestamp, ZoneName},
    rendezvous::weight,
};
use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Loaders at which the routers of a zone register. One may be gone or cut off without anybody losing sight
/// of the others.
const REGISTRY_LOADERS: usize = 2;
/// Time for which a loader counts a router as alive. A router comes by each second, at the loaders of its
/// zone in turn, so that one of its datagrams may be lost.
const PRESENCE_TTL: Duration = Duration::from_secs(5);
/// Time for which a router that a loader named counts as alive: three answers.
const PEER_TTL: Duration = Duration::from_secs(3);
/// Time for which the number of a zone's routers is believed: two rounds of questions over ten zones. A zone
/// that parts from the others leaves its number behind for as long: the shares of a common budget then stay
/// too small, never too large.
const COUNT_TTL: Duration = Duration::from_secs(20);
/// Turns after its start in which a router asks for the numbers of all zones. Where all have just started,
/// the first answers count only those that were there first, and shares of a budget would be too large
/// until each zone's turn comes round again. With half of all answers lost, four turns left one router of
/// forty with a number of 27 for twenty seconds; eight leave none below 30.
const EARLY_TURNS: usize = 8;
/// Routers of its own zone that a router is told at least, if there are so many: those first in line to pass
/// on what the store tells.
const SAME_ZONE_FLOOR: usize = 8;
/// Routers of other zones that a router is told, to be asked while its own zone cannot reach the store.
const OTHER_ZONES_LIMIT: usize = 4;
/// Routers that a loader remembers; bounds its memory at about 100 kB.
const MEMBER_LIMIT: usize = 2_048;

/// Shortest pause between calls of a router that ask whether the store is back, where others tell it.
const PROBE_PAUSE: Duration = Duration::from_millis(1_500);
/// Part of such a pause for each router that asks before it.
const POSITION_PAUSE: Duration = Duration::from_millis(250);

/// Routers of the largest fleet.
const LARGEST_FLEET: usize = 1_024;
/// Time from a router's start to its having the names of those that started with it.
const NAMING_TIME: Duration = Duration::from_secs(3);

/// What a router sends a loader at which routers register, to learn of the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouterPresence {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where other routers can ask it for the configuration and the list.
    pub address: SocketAddr,
    /// Whether it is here that the routers of its zone register.
    #[serde(rename = "meets_here")]
    pub registers_here: bool,
    /// What it knows of targets' limits.
    #[serde(rename = "news")]
    pub limit_updates: Vec<LimitUpdate>,
}

/// What a router is told of the others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouterDirectory {
    /// Routers of the asker's zone, those first that are first in line to follow the store.
    #[serde(rename = "near")]
    pub same_zone: Vec<SocketAddr>,
    /// Some routers of other zones.
    #[serde(rename = "far")]
    pub other_zones: Vec<SocketAddr>,
    /// Number of routers of the zones whose routers register at this loader.
    pub counts: Vec<(ZoneName, u16)>,
    /// Limits of targets that the router knows otherwise.
    #[serde(rename = "news")]
    pub limit_updates: Vec<LimitUpdate>,
}

/// The loaders at which the routers of a zone register, chosen alike by all routers: loaders of the zone
/// itself if there are any.
pub fn registry_targets<'a>(
    zone: &str,
    engines: impl Iterator<Item = (&'a InstanceId, &'a ZoneName)>,
) -> Vec<InstanceId> {
    let key = xxh3_64(zone.as_bytes());
    let mut ranked: Vec<(bool, u64, &InstanceId)> =
        engines.map(|(id, at)| (**at == *zone, weight(key, id), id)).collect();
    ranked.sort_unstable_by_key(|(is_same_zone, weight, _)| Reverse((*is_same_zone, *weight)));
    ranked.into_iter().take(REGISTRY_LOADERS).map(|(_, _, id)| id.clone()).collect()
}

/// Routers of a zone of `routers` that pass on what the store tells. With as many relays as each has
/// routers behind it, the busiest answers the fewest.
fn same_zone_limit(routers: usize) -> usize {
    SAME_ZONE_FLOOR.max(routers.isqrt() + 1)
}

/// A router that came by.
#[derive(Debug)]
struct Member {
    zone: ZoneName,
    /// Its [`relay_rank`].
    rank: u64,
    seen: Timestamp,
    /// When it last came by as one whose zone's routers register here.
    met: Option<Timestamp>,
}

/// The routers that come by at one loader.
#[derive(Debug, Default)]
pub struct PresenceRegistry {
    members: HashMap<SocketAddr, Member>,
}

impl PresenceRegistry {
    /// A router came by; what it is told in answer.
    pub fn take(&mut self, presence: &RouterPresence, now: Timestamp) -> RouterDirectory {
        self.members.retain(|_, member| now.saturating_sub(member.seen) < PRESENCE_TTL);
        if self.members.len() < MEMBER_LIMIT || self.members.contains_key(&presence.address) {
            let member = self.members.entry(presence.address).or_insert_with(|| Member {
                zone: presence.zone.clone(),
                rank: relay_rank(&presence.address),
                seen: now,
                met: None,
            });
            member.zone.clone_from(&presence.zone);
            member.seen = now;
            if presence.registers_here {
                member.met = Some(now);
            }
        }
        self.directory(&presence.zone, now)
    }

    fn directory(&self, zone: &ZoneName, now: Timestamp) -> RouterDirectory {
        let (mut same_zone, mut other_zones): (Vec<_>, Vec<_>) =
            self.members.iter().partition(|(_, member)| member.zone == *zone);
        same_zone.sort_unstable_by_key(|(_, member)| Reverse(member.rank));
        other_zones.sort_unstable_by_key(|(_, member)| Reverse(member.seen));
        let first = |members: Vec<(&SocketAddr, &Member)>, limit: usize| {
            members.into_iter().take(limit).map(|(address, _)| *address).collect()
        };
        let relays = same_zone_limit(same_zone.len());
        RouterDirectory {
            same_zone: first(same_zone, relays),
            other_zones: first(other_zones, OTHER_ZONES_LIMIT),
            counts: self.counts(now).into_iter().collect(),
            limit_updates: Vec::new(),
        }
    }

    fn counts(&self, now: Timestamp) -> BTreeMap<ZoneName, u16> {
        let mut counts = BTreeMap::new();
        let is_here =
            |member: &&Member| member.met.is_some_and(|met| now.saturating_sub(met) < PRESENCE_TTL);
        for member in self.members.values().filter(is_here) {
            let count: &mut u16 = counts.entry(member.zone.clone()).or_default();
            *count = count.saturating_add(1);
        }
        counts
    }
}

/// Another router.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PeerRouter {
    /// Where it answers other routers.
    pub address: SocketAddr,
    /// Whether it stands in this router's availability zone.
    pub is_same_zone: bool,
}

/// The routers that one may ask for what the store tells.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerView {
    /// The first routers of its availability zone, itself counted.
    pub same_zone: RelayOrder,
    /// Some routers of other zones.
    pub other_zones: Vec<SocketAddr>,
    /// Number of routers of its zone.
    pub zone_routers: usize,
}

impl PeerView {
    /// Shortest pause between calls of the router at `own` that ask whether the store is back. One that others tell
    /// goes on asking only in case that the store serves it and not them, and does so the more rarely, the more
    /// ask before it: the calls of a zone in an outage do not grow with its routers.
    pub fn probe_pause(&self, own: SocketAddr) -> Duration {
        if self.same_zone.upstream(own, |_| true).is_none() {
            return Duration::ZERO;
        }
        let position = self.same_zone.position(own).unwrap_or(self.zone_routers);
        PROBE_PAUSE.max(POSITION_PAUSE.saturating_mul(u32::try_from(position).unwrap_or(u32::MAX)))
    }
}

/// What one router knows of the others.
#[derive(Debug, Default)]
pub struct RouterTable {
    seen: BTreeMap<PeerRouter, Timestamp>,
    counts: HashMap<ZoneName, (usize, Timestamp)>,
    /// Routers whose reports are in the store, and when each was last read.
    named: HashMap<Arc<str>, Timestamp>,
    /// Whether all reports were read once.
    is_listed: bool,
    /// Whether reports cannot be read now.
    is_lost: bool,
}

impl RouterTable {
    /// Takes what a loader tells.
    pub fn note(&mut self, directory: &RouterDirectory, now: Timestamp) {
        let same_zone = directory.same_zone.iter().map(|address| (*address, true));
        let other_zones = directory.other_zones.iter().map(|address| (*address, false));
        let named = same_zone
            .chain(other_zones)
            .map(|(address, is_same_zone)| PeerRouter { address, is_same_zone });
        self.seen.extend(named.map(|peer| (peer, now)));
        self.seen.retain(|_, seen| now.saturating_sub(*seen) < PEER_TTL);
        for (zone, count) in &directory.counts {
            // Loaders hear of a change at different times. The highest word counts: with too low a number
            // each router would take too much of what all share.
            let known = self.counts.entry(zone.clone()).or_insert((0, now));
            let count = usize::from(*count);
            if count >= known.0 || now.saturating_sub(known.1) >= PRESENCE_TTL {
                *known = (count, now);
            }
        }
    }

    /// Another router's report was read from the store.
    pub fn note_name(&mut self, name: &Arc<str>, now: Timestamp) {
        self.named.insert(Arc::clone(name), now);
    }

    /// Number of other routers whose reports were read.
    pub fn named(&self) -> usize {
        self.named.len()
    }

    /// All routers' reports were read.
    pub fn note_listed(&mut self) {
        self.is_listed = true;
    }

    /// Reports cannot be read any more, or can again. Names do not age meanwhile: nobody can renew a report.
    pub fn set_lost(&mut self, is_lost: bool, now: Timestamp) {
        if self.is_lost && !is_lost {
            self.named.values_mut().for_each(|read| *read = now);
        }
        self.is_lost = is_lost;
    }

    /// Drops the names of routers that have not renewed their reports.
    pub fn expire(&mut self, now: Timestamp) {
        if !self.is_lost {
            self.named.retain(|_, read| now.saturating_sub(*read) < REPORT_TTL);
        }
    }

    /// The most routers that there may be, where `counted` are known by loaders and this one lives since `started`.
    ///
    /// A router that no loader tells of others is not the only one for that. Their reports in the store name them;
    /// until those are read, the largest fleet is presumed.
    pub fn presumed(&self, counted: usize, started: Timestamp, now: Timestamp) -> usize {
        let is_new = now.saturating_sub(started) < NAMING_TIME;
        if is_new || !self.is_listed { LARGEST_FLEET } else { counted.max(self.named() + 1) }
    }

    /// Zones of `all` whose number is to be asked now, at this router's turn `turn`: all in its first turns,
    /// later those of which it does not know any, and one of the others.
    pub fn zones_to_ask<'a>(
        &self,
        all: &'a [ZoneName],
        turn: usize,
        now: Timestamp,
    ) -> Vec<&'a ZoneName> {
        let next = all.get(turn % all.len().max(1));
        let asked = all.iter().filter(|zone| {
            turn < EARLY_TURNS || Some(*zone) == next || self.counted(zone, now) == 0
        });
        asked.collect()
    }

    /// The other routers as the control thread sees them, for the router at `own` in `zone`.
    pub fn view(&self, zone: &ZoneName, own: SocketAddr, now: Timestamp) -> PeerView {
        let alive = self.seen.iter().filter(|(_, seen)| now.saturating_sub(**seen) < PEER_TTL);
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            alive.map(|(peer, _)| *peer).partition(|peer| peer.is_same_zone);
        let addresses = |peers: Vec<PeerRouter>| peers.into_iter().map(|peer| peer.address);
        let zone_routers = self.counted(zone, now).max(self.same_zone_count(own, now));
        PeerView {
            same_zone: RelayOrder::new(addresses(same_zone)),
            other_zones: addresses(other_zones).collect(),
            zone_routers,
        }
    }

    /// All but the router at `own`, in order.
    pub fn peers(&self, own: SocketAddr, now: Timestamp) -> Vec<PeerRouter> {
        let alive = self
            .seen
            .iter()
            .filter(|(peer, seen)| peer.address != own && now.saturating_sub(**seen) < PEER_TTL);
        alive.map(|(peer, _)| *peer).collect()
    }

    /// Routers in all, the one at `own` in `zone` counted.
    pub fn count(&self, zone: &ZoneName, own: SocketAddr, now: Timestamp) -> usize {
        let others = self.counts.keys().filter(|other| *other != zone);
        let elsewhere: usize = others.map(|other| self.counted(other, now)).sum();
        elsewhere + self.counted(zone, now).max(self.same_zone_count(own, now))
    }

    fn same_zone_count(&self, own: SocketAddr, now: Timestamp) -> usize {
        self.peers(own, now).iter().filter(|peer| peer.is_same_zone).count() + 1
    }

    fn counted(&self, zone: &ZoneName, now: Timestamp) -> usize {
        let counted = self.counts.get(zone);
        let fresh = counted.filter(|(_, at)| now.saturating_sub(*at) < COUNT_TTL);
        fresh.map_or(0, |(count, _)| *count)
    }
}
