//! Which routers are alive, by their presence messages to loaders.
//!
//! Routers of an availability zone share one watch of the platform's store, and all routers of the fleet share one
//! retry budget, so each needs the addresses of its zone's routers and the number of all routers. When every loader
//! sent this to every router, the traffic grew with routers times loaders. Instead the routers of a zone register at
//! two loaders, which all compute alike without exchanging messages and contact alternately. While no loader is
//! known, as after a start of the whole fleet, they register at the routers named in their settings. Of other zones a
//! router only learns the number of routers, from the loaders where those register.

use super::{
    membership::InstanceId,
    sharing::order::{RelayOrder, relay_rank},
    streams::messages::RouteClaim,
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

/// Loaders at which the routers of a zone register. One may fail or be cut off without routers losing the
/// addresses of the others.
pub const REGISTRY_LOADERS: usize = 2;
/// Time for which a loader counts a router as alive. A router sends its presence each second, to the loaders of
/// its zone alternately, so that one of its datagrams may be lost.
const PRESENCE_TTL: Duration = Duration::from_secs(5);
/// Time for which a router listed by a loader counts as alive: a loader answers each second, so three answers.
const PEER_TTL: Duration = Duration::from_secs(3);
/// TTL of the number of a zone's routers: two rounds of queries over ten zones. A zone that is cut off still
/// counts for as long: shares of a common budget are then too small, never too large.
const COUNT_TTL: Duration = Duration::from_secs(20);
/// Rounds after its start in which a router queries the numbers of all zones. If all routers have just started,
/// the first answers count only those that registered first, and shares of a budget would be too large until
/// each zone is queried again. With half of all answers lost, four rounds left one router of forty with a
/// count of 27 for twenty seconds. Eight rounds at one loader of each zone left one router of forty below 28 in 3 of
/// 80 runs; see [`FULL_ROUNDS`].
const EARLY_ROUNDS: usize = 8;
/// Rounds after its start in which a router sends its presence to all loaders of each zone's registry. More rounds would
/// double the load of these loaders while a large fleet starts.
const FULL_ROUNDS: usize = 2;
/// Minimum of routers of its own zone that a router is sent, if there are as many: those of the highest rank
/// among the relays of store changes.
const SAME_ZONE_FLOOR: usize = 8;
/// Routers of other zones that a router is sent, to query while its own zone cannot reach the store.
const OTHER_ZONES_LIMIT: usize = 4;
/// Maximum of routers that a loader keeps; bounds its memory at about 100 kB.
const MEMBER_LIMIT: usize = 2_048;

/// Minimum pause between a router's probes of a lost store, if other routers would send it the changes.
const PROBE_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause between a router's probes of a lost store for each router of a higher rank, if the product is above
/// [`PROBE_PAUSE`]; few routers of a zone then probe the store.
const PROBE_PAUSE_PER_POSITION: Duration = Duration::from_millis(250);

/// Number of routers in the largest expected fleet.
const LARGEST_FLEET: usize = 1_024;
/// Time from a router's start until it has read the reports of routers that started with it.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// A router's heartbeat to a loader at which routers register; the loader replies with a directory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouterPresence {
    /// Availability zone of the router.
    pub zone: ZoneName,
    /// Address at which other routers can query it for the configuration and the list of targets.
    pub address: SocketAddr,
    /// Whether the routers of its zone register at this loader.
    #[serde(rename = "meets_here")]
    pub registers_here: bool,
    /// Updates of targets' limits.
    #[serde(rename = "news")]
    pub limit_updates: Vec<LimitUpdate>,
    /// Routes whose streams all began at one version, and those of which that is not so.
    pub claims: Vec<RouteClaim>,
}

/// The reply to a presence: which other routers are alive.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouterDirectory {
    /// Routers of the sender's zone by rank, the watcher of the store first.
    #[serde(rename = "near")]
    pub same_zone: Vec<SocketAddr>,
    /// Some routers of other zones.
    #[serde(rename = "far")]
    pub other_zones: Vec<SocketAddr>,
    /// Number of routers of the zones whose routers register at this loader.
    pub counts: Vec<(ZoneName, u16)>,
    /// Updates that the router did not send itself, or sent with another rate.
    #[serde(rename = "news")]
    pub limit_updates: Vec<LimitUpdate>,
    /// Routes of which other routers claimed that their streams all began at one version.
    pub claims: Vec<RouteClaim>,
}

/// The targets at whose loaders the routers of a zone register, by rendezvous hashing: all routers compute the
/// same. Targets of the zone itself come first.
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

/// The loaders of a zone's registry to which a router sends its presence in round `round`: all in the first
/// [`FULL_ROUNDS`], so that the loss of one answer leaves the other; later the one that `turn` selects. The cost does
/// not depend on the number of routers.
pub fn loaders_to_query<T>(registry: &[T], round: usize, turn: usize) -> &[T] {
    if round < FULL_ROUNDS || registry.is_empty() {
        return registry;
    }
    let index = turn % registry.len();
    &registry[index..=index]
}

/// Number of relays, the watcher included, in a zone of `routers`. The busiest router's load is lowest if a relay
/// serves as many routers as there are relays.
fn same_zone_limit(routers: usize) -> usize {
    SAME_ZONE_FLOOR.max(routers.isqrt() + 1)
}

/// A router that sent its presence.
#[derive(Debug)]
struct Member {
    zone: ZoneName,
    /// Its [`relay_rank`].
    rank: u64,
    seen: Timestamp,
    /// When it last registered here; `None` if its zone's routers register elsewhere.
    registered: Option<Timestamp>,
}

/// The routers that send their presence to one loader.
#[derive(Debug, Default)]
pub struct PresenceRegistry {
    members: HashMap<SocketAddr, Member>,
}

impl PresenceRegistry {
    /// Records a router's presence and returns the reply.
    pub fn take(&mut self, presence: &RouterPresence, now: Timestamp) -> RouterDirectory {
        self.members.retain(|_, member| now.saturating_sub(member.seen) < PRESENCE_TTL);
        if self.members.len() < MEMBER_LIMIT || self.members.contains_key(&presence.address) {
            let member = self.members.entry(presence.address).or_insert_with(|| Member {
                zone: presence.zone.clone(),
                rank: relay_rank(&presence.address),
                seen: now,
                registered: None,
            });
            member.zone.clone_from(&presence.zone);
            member.seen = now;
            if presence.registers_here {
                member.registered = Some(now);
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
            claims: Vec::new(),
        }
    }

    fn counts(&self, now: Timestamp) -> BTreeMap<ZoneName, u16> {
        let mut counts = BTreeMap::new();
        let is_here = |member: &&Member| {
            member
                .registered
                .is_some_and(|registered| now.saturating_sub(registered) < PRESENCE_TTL)
        };
        for member in self.members.values().filter(is_here) {
            let count: &mut u16 = counts.entry(member.zone.clone()).or_default();
            *count = count.saturating_add(1);
        }
        counts
    }
}

/// Another router of the fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PeerRouter {
    /// Address at which it answers other routers.
    pub address: SocketAddr,
    /// Whether it is in this router's availability zone.
    pub is_same_zone: bool,
}

/// The routers that a router may query for changes of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerView {
    /// The first routers of its availability zone by rank, itself included.
    pub same_zone: RelayOrder,
    /// Some routers of other zones.
    pub other_zones: Vec<SocketAddr>,
    /// Number of routers of its zone.
    pub zone_routers: usize,
}

impl PeerView {
    /// Minimum pause between probes of a lost store by the router at `own`. A router with an upstream probes only
    /// because the store may answer it and not the upstream. The lower its rank, the longer the pause, so that a
    /// zone's calls in an outage do not grow with its routers.
    pub fn probe_pause(&self, own: SocketAddr) -> Duration {
        if self.same_zone.upstream(own, |_| true).is_none() {
            return Duration::ZERO;
        }
        let position = self.same_zone.position(own).unwrap_or(self.zone_routers);
        PROBE_PAUSE.max(
            PROBE_PAUSE_PER_POSITION.saturating_mul(u32::try_from(position).unwrap_or(u32::MAX)),
        )
    }
}

/// What one router knows of the others: addresses, numbers per zone, and reports in the store.
#[derive(Debug, Default)]
pub struct RouterTable {
    seen: BTreeMap<PeerRouter, Timestamp>,
    counts: HashMap<ZoneName, (usize, Timestamp)>,
    /// Routers with a report in the store, and when each was last read.
    reports: HashMap<Arc<str>, Timestamp>,
    /// Whether all reports were read at least once.
    is_listed: bool,
    /// Whether reports cannot be read now.
    is_lost: bool,
}

impl RouterTable {
    /// Applies a loader's directory.
    pub fn note(&mut self, directory: &RouterDirectory, now: Timestamp) {
        let same_zone = directory.same_zone.iter().map(|address| (*address, true));
        let other_zones = directory.other_zones.iter().map(|address| (*address, false));
        let listed = same_zone
            .chain(other_zones)
            .map(|(address, is_same_zone)| PeerRouter { address, is_same_zone });
        self.seen.extend(listed.map(|peer| (peer, now)));
        self.seen.retain(|_, seen| now.saturating_sub(*seen) < PEER_TTL);
        for (zone, count) in &directory.counts {
            // Loaders learn of a change at different times. The highest count applies: with too low a count
            // each router would take too much of a shared budget.
            let known = self.counts.entry(zone.clone()).or_insert((0, now));
            let count = usize::from(*count);
            if count >= known.0 || now.saturating_sub(known.1) >= PRESENCE_TTL {
                *known = (count, now);
            }
        }
    }

    /// Records that another router's report was read from the store.
    pub fn note_report(&mut self, name: &Arc<str>, now: Timestamp) {
        self.reports.insert(Arc::clone(name), now);
    }

    /// Number of other routers whose reports were read.
    pub fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// Records that all routers' reports were read.
    pub fn note_listed(&mut self) {
        self.is_listed = true;
    }

    /// Whether all routers' reports were read.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Sets whether the store is lost. Reports do not age while it is: no router can renew its report.
    pub fn set_lost(&mut self, is_lost: bool, now: Timestamp) {
        if self.is_lost && !is_lost {
            self.reports.values_mut().for_each(|read| *read = now);
        }
        self.is_lost = is_lost;
    }

    /// Drops routers that have not renewed their reports.
    pub fn expire(&mut self, now: Timestamp) {
        if !self.is_lost {
            self.reports.retain(|_, read| now.saturating_sub(*read) < REPORT_TTL);
        }
    }

    /// Upper bound of the number of routers; `counted` is the number known from loaders, `started` the start of
    /// this router.
    ///
    /// Other routers may run although no loader has listed them. They have reports in the store; until the reports are
    /// read, the bound is the largest fleet.
    pub fn max_routers(&self, counted: usize, started: Timestamp, now: Timestamp) -> usize {
        let is_new = now.saturating_sub(started) < DISCOVERY_TIME;
        if is_new || !self.is_listed { LARGEST_FLEET } else { counted.max(self.report_count() + 1) }
    }

    /// Zones of `all` whose number of routers is to be queried in round `round`: all in the first rounds, later those
    /// without a known number and one of the others.
    pub fn zones_to_query<'a>(
        &self,
        all: &'a [ZoneName],
        round: usize,
        now: Timestamp,
    ) -> Vec<&'a ZoneName> {
        let next = all.get(round % all.len().max(1));
        let due = all.iter().filter(|zone| {
            round < EARLY_ROUNDS || Some(*zone) == next || self.counted(zone, now) == 0
        });
        due.collect()
    }

    /// The routers that the router at `own` in `zone` may query for changes of the store.
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

    /// All live routers but the one at `own`, sorted.
    pub fn peers(&self, own: SocketAddr, now: Timestamp) -> Vec<PeerRouter> {
        let alive = self
            .seen
            .iter()
            .filter(|(peer, seen)| peer.address != own && now.saturating_sub(**seen) < PEER_TTL);
        alive.map(|(peer, _)| *peer).collect()
    }

    /// Number of all routers, including the one at `own` in `zone`.
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
