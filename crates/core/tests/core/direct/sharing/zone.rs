//! The routers of one availability zone and the store, in simulated time. The real state machines select the
//! upstream, and log and pass on the changes.

use super::super::support::{ENGINES, ms, target};
use plantain_core::{
    direct::{
        directory::{PeerView, PresenceRegistry, RouterPresence, RouterTable},
        membership::{BaseHolding, ListChange, TargetEntry},
        sharing::{
            ChangeImportance, ChangeLog, LoggedChange, SharedChange, SharedDelta, StoreEra,
            StorePosition,
            source::{SourceSelector, SourceView, StoreSource, UpstreamReply},
        },
    },
    ids::ZoneName,
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Step of the simulation in ms.
const STEP: u64 = 50;
/// Time in ms from the start of a target's draining to the last call that may reach it.
pub const DRAIN: u64 = 4_000;
/// Time in ms for which a query waits for changes.
const QUERY_WAIT: u64 = 300;
/// Timeout in ms of a query.
const QUERY_TIMEOUT: u64 = 500;
/// Pause in ms after a denial.
const RETRY_PAUSE: u64 = 250;
/// Time in ms for which a watcher batches changes, and timeout of its watch.
const WATCH_ROUND: u64 = DRAIN * 65 / 100;
/// Pause in ms of a router that cannot read the store.
const FAILED_PAUSE: u64 = 500;
/// Pause in ms between a router's presence messages.
const PRESENCE_PAUSE: u64 = 500;
/// Interval in ms at which an engine's adapters change.
const CHANGE_PAUSE: u64 = 2_600;
const ADAPTERS: usize = 9;

/// Fault of a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouterFault {
    None,
    /// The router does nothing and answers no queries.
    Frozen,
    /// The store refuses the router's calls.
    Refused,
}

#[derive(Clone, Copy)]
struct PendingQuery {
    upstream: usize,
    sent: u64,
}

struct Router {
    selector: SourceSelector,
    peer_table: RouterTable,
    view: PeerView,
    log: ChangeLog,
    position: Option<StorePosition>,
    synced_at: u64,
    pending: Option<PendingQuery>,
    next_query: u64,
    next_watch: u64,
    fault: RouterFault,
}

/// Counts since the last reset.
#[derive(Clone, Debug, Default)]
pub struct ZoneCounts {
    /// Watch calls to the store, which cost the full price.
    pub store_calls: usize,
    /// List calls that allow a stale answer.
    pub recent_lists: usize,
    /// List calls after a return of the store.
    pub lists: usize,
    /// Bytes that each router sent to others.
    pub sent_bytes: Vec<usize>,
    /// For each upstream, the routers whose last answer came from it.
    pub clients: BTreeMap<usize, Vec<usize>>,
}

impl ZoneCounts {
    /// Number of routers that query the busiest upstream.
    pub fn max_clients(&self) -> usize {
        self.clients.values().map(Vec::len).max().unwrap_or(0)
    }
}

/// The simulated zone.
pub struct Zone {
    now: u64,
    routers: Vec<Router>,
    registry: PresenceRegistry,
    /// Changes in the store, one per revision.
    changes: Vec<LoggedChange>,
    era: StoreEra,
    engines: usize,
    is_outage: bool,
    pub counts: ZoneCounts,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 9_000).into()
}

fn router_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("routers of this zone have IPv4 addresses"),
    }
}

fn zone_name() -> ZoneName {
    "a".into()
}

fn entry(index: usize, round: u64) -> TargetEntry {
    let entry = target(&format!("engine-{index:04}"), ENGINES, "a", 1);
    let adapters = (0..ADAPTERS).map(|slot| (format!("a{}", round * 7 + slot as u64).into(), 1));
    let holding = BaseHolding { base: "m0".into(), version: 1, adapters: adapters.collect() };
    TargetEntry { holdings: vec![holding], generation: index as u64, ..entry }
}

impl Zone {
    /// A zone with `engines` engines whose routers all start now.
    pub fn new(routers: usize, engines: usize) -> Self {
        let mut zone = Self {
            now: 0,
            routers: Vec::new(),
            registry: PresenceRegistry::default(),
            changes: Vec::new(),
            era: 1,
            engines,
            is_outage: false,
            counts: ZoneCounts::default(),
        };
        for index in 0..engines {
            zone.put(entry(index, 0), ChangeImportance::Required);
        }
        zone.routers = (0..routers).map(|index| new_router(index, 0)).collect();
        zone.reset_counts();
        zone
    }

    pub fn reset_counts(&mut self) {
        let sent_bytes = vec![0; self.routers.len()];
        self.counts = ZoneCounts { sent_bytes, ..ZoneCounts::default() };
    }

    /// Begins or ends an outage of the store.
    pub fn set_outage(&mut self, is_outage: bool) {
        self.is_outage = is_outage;
    }

    /// Returns the store from a copy without the last `lost` changes.
    pub fn return_from_copy(&mut self, lost: usize) {
        self.changes.truncate(self.changes.len() - lost);
        self.era += 1;
    }

    /// Whether all routers are at the store's era.
    pub fn has_returned(&self) -> bool {
        let is_current = |router: &Router| router.position.is_some_and(|at| at.era == self.era);
        self.routers.iter().all(is_current)
    }

    pub fn set_fault(&mut self, router: usize, fault: RouterFault) {
        self.routers[router].fault = fault;
    }

    /// Routers that watch the store.
    pub fn watchers(&self) -> Vec<usize> {
        let is_watcher =
            |index: &usize| self.routers[*index].selector.source() == StoreSource::Store;
        (0..self.routers.len()).filter(is_watcher).collect()
    }

    /// Maximum age of the state of any router without a fault, in ms.
    pub fn max_age(&self) -> u64 {
        let sound = self.routers.iter().filter(|router| router.fault == RouterFault::None);
        sound.map(|router| self.now - router.synced_at).max().unwrap_or(0)
    }

    /// Simulates `time` ms; returns the maximum age that the state of a router without a fault had after the
    /// first `from` ms.
    pub fn simulate(&mut self, time: u64, from: u64) -> u64 {
        let (until, from) = (self.now + time, self.now + from);
        let mut max_age = 0;
        while self.now < until {
            self.now += STEP;
            self.change_engines();
            for index in 0..self.routers.len() {
                if self.routers[index].fault != RouterFault::Frozen {
                    self.step(index);
                }
            }
            if self.now >= from {
                max_age = max_age.max(self.max_age());
            }
        }
        max_age
    }

    fn put(&mut self, entry: TargetEntry, importance: ChangeImportance) {
        let change = SharedChange::Target(ListChange::Put(Arc::new(entry)));
        self.changes.push(LoggedChange { change, importance });
    }

    fn change_engines(&mut self) {
        for index in 0..self.engines {
            let phase = index as u64 * STEP % CHANGE_PAUSE;
            if self.now % CHANGE_PAUSE == phase {
                self.put(entry(index, self.now / CHANGE_PAUSE), ChangeImportance::Hint);
            }
        }
    }

    fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.changes.len() as u64)
    }

    fn step(&mut self, index: usize) {
        if self.now % PRESENCE_PAUSE == index as u64 * STEP % PRESENCE_PAUSE {
            let (zone, address) = (zone_name(), address(index));
            let limit_updates = Vec::new();
            let presence = RouterPresence {
                zone,
                address,
                registers_here: true,
                limit_updates,
                claims: Vec::new(),
            };
            let directory = self.registry.take(&presence, ms(self.now));
            let router = &mut self.routers[index];
            router.peer_table.note(&directory, ms(self.now));
            router.view = router.peer_table.view(&zone_name(), address, ms(self.now));
        }
        if self.routers[index].position.is_none() {
            self.list(index);
            return;
        }
        let now = ms(self.now);
        let router = &mut self.routers[index];
        let view = SourceView {
            order: &router.view.same_zone,
            is_listed: true,
            synced_at: ms(router.synced_at),
            drain_time: ms(DRAIN),
        };
        if router.selector.update(&view, now).is_some() {
            router.next_watch = self.now;
        }
        match router.pending {
            Some(pending) => self.advance_query(index, pending),
            None if self.now >= router.next_query => {
                let upstream = router.selector.upstream(&router.view.same_zone).map(router_index);
                router.pending = upstream.map(|upstream| PendingQuery { upstream, sent: self.now });
            }
            None => {}
        }
        if self.routers[index].selector.source() == StoreSource::Store {
            self.watch(index);
        }
    }

    fn list(&mut self, index: usize) {
        if self.era == 1 {
            self.counts.recent_lists += 1;
        } else {
            self.counts.lists += 1;
        }
        if self.is_outage || self.routers[index].fault == RouterFault::Refused {
            return;
        }
        let position = self.position();
        let router = &mut self.routers[index];
        router.position = Some(position);
        router.log.restart(position);
    }

    fn watch(&mut self, index: usize) {
        if self.now < self.routers[index].next_watch {
            return;
        }
        self.counts.store_calls += 1;
        let position = self.position();
        let router = &mut self.routers[index];
        if self.is_outage || router.fault == RouterFault::Refused {
            router.log.stop();
            let pause = router.view.probe_pause(address(index)).as_millis() as u64;
            router.next_watch = self.now + pause.max(FAILED_PAUSE);
            return;
        }
        let from = router.position.unwrap_or_default();
        if from.era != position.era {
            router.position = None;
            return;
        }
        router.log.append(from, position, self.changes[from.revision as usize..].to_vec());
        router.position = Some(position);
        router.synced_at = self.now;
        router.next_watch = self.now + WATCH_ROUND;
    }

    fn advance_query(&mut self, index: usize, pending: PendingQuery) {
        let waited = self.now - pending.sent;
        let known = self.routers[index].position.unwrap_or_default();
        let upstream = &self.routers[pending.upstream];
        let is_frozen = upstream.fault == RouterFault::Frozen;
        let has_changes = upstream.log.has_changes(known);
        let reply = if is_frozen {
            if waited < QUERY_TIMEOUT {
                return;
            }
            UpstreamReply::Silent
        } else if upstream.selector.source() == StoreSource::Undecided {
            UpstreamReply::Denied
        } else if !has_changes && waited < QUERY_WAIT {
            return;
        } else if self.is_too_stale(pending.upstream) {
            UpstreamReply::Stale
        } else if upstream.log.is_followed() {
            UpstreamReply::Changes
        } else {
            UpstreamReply::Denied
        };
        if reply == UpstreamReply::Changes {
            self.send_changes(pending.upstream, index);
        }
        let now = self.now;
        let router = &mut self.routers[index];
        router.pending = None;
        let is_dropped = router.selector.apply_reply(address(pending.upstream), reply, ms(now));
        if reply != UpstreamReply::Changes && !is_dropped {
            router.next_query = now + RETRY_PAUSE;
        }
    }

    fn is_too_stale(&self, index: usize) -> bool {
        let router = &self.routers[index];
        let max_staleness = router.selector.source().max_staleness(ms(DRAIN));
        ms(self.now - router.synced_at) >= max_staleness
    }

    fn send_changes(&mut self, sender: usize, client: usize) {
        let known = self.routers[client].position.unwrap_or_default();
        let upstream = &self.routers[sender];
        let (synced_at, logged) = (upstream.synced_at, upstream.log.position());
        let delta = upstream.log.since(known);
        let kinds: Vec<_> = delta.into_iter().collect();
        let changes: Vec<SharedChange> =
            kinds.iter().flat_map(|delta| delta.changes.iter().cloned()).collect();
        let answer = SharedDelta { age_ms: 0, regained_ms: None, kinds };
        let bytes = postcard::to_allocvec(&answer).expect("an answer").len();
        self.counts.sent_bytes[sender] += bytes;
        for clients in self.counts.clients.values_mut() {
            clients.retain(|known| *known != client);
        }
        self.counts.clients.entry(sender).or_default().push(client);
        let router = &mut self.routers[client];
        let importance = ChangeImportance::Hint;
        let hints = changes.into_iter().map(|change| LoggedChange { change, importance }).collect();
        router.log.append(known, logged.max(known), hints);
        router.position = Some(logged.max(known));
        router.synced_at = router.synced_at.max(synced_at);
    }
}

fn new_router(index: usize, now: u64) -> Router {
    Router {
        selector: SourceSelector::new(address(index)),
        peer_table: RouterTable::default(),
        view: PeerView::default(),
        log: ChangeLog::default(),
        position: None,
        synced_at: now,
        pending: None,
        next_query: now,
        next_watch: now,
        fault: RouterFault::None,
    }
}
