//! What the duties of the control thread share: how far the store is followed, and what is known of it.

use crate::{clock, options::site::RouterFile};
use plantain_core::{
    direct::{
        directory::PeerView,
        membership::{ListChange, TargetEntry},
        sharing::{ChangeLog, LoggedChange, SharedChange, source::StoreSource},
        snapshot::{FollowedState, PeerSnapshot},
    },
    ids::{BootId, Timestamp},
};
use plantain_platform::objects::{FollowedChange, FollowedKind};
use slog::{Logger, info};
use std::{
    cell::{Cell, RefCell},
    future::pending,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{Notify, mpsc, watch},
    time::{sleep, timeout},
};

/// Time from a router's start in which others of its zone may still be named to it.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(400);
/// Time from its start for which a router waits for what others have read, while the one that it asks answers.
const BOOTSTRAP_TIME: Duration = Duration::from_secs(2);
/// Pause between looks at both.
const START_POLL_PAUSE: Duration = Duration::from_millis(10);

/// What the control thread tells the serving thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// All objects of a kind.
    Listed(FollowedKind, Vec<FollowedChange>),
    /// Changes of objects.
    Changed(Vec<FollowedChange>),
    /// The store cannot be reached for a kind.
    Lost(FollowedKind),
    /// The store answers again for a kind.
    Regained(FollowedKind),
}

/// Whether the store answers a router that has just turned to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::router) enum StoreCheck {
    /// It does.
    Answers,
    /// It does not.
    Silent,
}

/// Whether a router can tell one that starts what it needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::router) enum SnapshotReadiness {
    /// It can.
    Ready,
    /// It is reading.
    NotYet,
    /// It cannot read the store.
    Denied,
}

/// How far one kind is followed.
#[derive(Debug, Default)]
pub(crate) struct KindProgress {
    /// Revision up to which it is known; none before it was read.
    pub(in crate::router) revision: Cell<Option<u64>>,
    /// Since when it cannot be followed.
    pub(in crate::router) failing_since: Cell<Option<Duration>>,
    /// Whether the next watch must be answered at once: a call of any kind failed, so that the store may
    /// be about to drop its history.
    pub(in crate::router) must_probe: Cell<bool>,
}

/// What the duties of the control thread share.
pub(crate) struct ControlLink {
    pub(in crate::router) logger: Logger,
    /// This process's start.
    pub(in crate::router) boot: BootId,
    started: Timestamp,
    pub(in crate::router) state: RefCell<FollowedState>,
    /// How far each kind is followed.
    progress: [KindProgress; FollowedKind::ALL.len()],
    /// Latest changes of each kind, for other routers of this zone.
    pub(in crate::router) logs: RefCell<[ChangeLog; FollowedKind::ALL.len()]>,
    /// Wakes those who wait for changes.
    pub(in crate::router) log_changed: Notify,
    /// Up to when all changes are known: when the store last answered this router, or the one that watches for it.
    pub(in crate::router) confirmed_at: Cell<Timestamp>,
    /// When the list of targets could be read again, after an outage.
    pub(in crate::router) regained_at: Cell<Option<Timestamp>>,
    source: watch::Sender<StoreSource>,
    /// Whether the configuration's follower has yet to find out if the store answers this router.
    is_checking_store: Cell<bool>,
    store_checked: Notify,
    /// Whether the router that was to tell this one what it needs at its start does not.
    is_bootstrap_silent: Cell<bool>,
    settings: watch::Receiver<Arc<RouterFile>>,
    peers: watch::Receiver<PeerView>,
    events: mpsc::Sender<ControlEvent>,
    lost_kinds: Cell<u32>,
    is_config_lost: Cell<bool>,
    store_regained: Notify,
}

/// What a link is started with.
pub(super) struct LinkStart {
    /// Settings, which may change.
    pub(super) settings: watch::Receiver<Arc<RouterFile>>,
    /// Other routers that are alive.
    pub(super) peers: watch::Receiver<PeerView>,
    /// This process's start.
    pub(super) boot: BootId,
    /// Where events go.
    pub(super) events: mpsc::Sender<ControlEvent>,
    /// Logs.
    pub(super) logger: Logger,
}

impl ControlLink {
    /// Starts knowing nothing of the store.
    pub(super) fn new(start: LinkStart) -> Self {
        let LinkStart { settings, peers, boot, events, logger } = start;
        Self {
            logger,
            boot,
            started: clock::now(),
            state: RefCell::default(),
            progress: Default::default(),
            logs: RefCell::default(),
            log_changed: Notify::new(),
            confirmed_at: Cell::default(),
            regained_at: Cell::new(None),
            source: watch::channel(StoreSource::Undecided).0,
            is_checking_store: Cell::new(false),
            store_checked: Notify::new(),
            is_bootstrap_silent: Cell::new(false),
            settings,
            peers,
            events,
            lost_kinds: Cell::new(0),
            is_config_lost: Cell::new(false),
            store_regained: Notify::new(),
        }
    }

    /// Address of the store.
    pub(in crate::router) fn store(&self) -> SocketAddr {
        self.settings.borrow().store
    }

    /// Name of this router.
    pub(in crate::router) fn router_name(&self) -> Arc<str> {
        Arc::clone(&self.settings.borrow().name)
    }

    /// Time from a target's leaving to the last call that may reach it.
    pub(in crate::router) fn drain_time(&self) -> Duration {
        Duration::from_millis(self.settings.borrow().bounds.drain_ms)
    }

    /// Routers that may be asked: those alive as far as is known, and those of the settings.
    pub(in crate::router) fn peers(&self) -> Vec<SocketAddr> {
        let settings = self.settings.borrow();
        let view = self.peers.borrow();
        let mut peers: Vec<SocketAddr> = view.same_zone.routers().collect();
        peers.extend(&view.other_zones);
        peers.extend(&settings.peers);
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != settings.peer_listen);
        peers
    }

    /// How far a kind is followed.
    pub(in crate::router) fn progress(&self, kind: FollowedKind) -> &KindProgress {
        &self.progress[kind as usize]
    }

    /// Whether the configuration and the list were read, or told by another router.
    pub(in crate::router) fn is_listed(&self) -> bool {
        let is_complete = self.state.borrow().is_complete();
        is_complete || (self.has_read(FollowedKind::Config) && self.has_read(FollowedKind::Targets))
    }

    /// Whether a kind was read, or told by another router.
    pub(in crate::router) fn has_read(&self, kind: FollowedKind) -> bool {
        self.progress(kind).revision.get().is_some()
    }

    /// The router that tells this one what it needs at its start, so that not all routers which start together read
    /// all of the store; `None` where this router reads for itself.
    pub(in crate::router) fn bootstrap_upstream(&self) -> Option<SocketAddr> {
        let is_new = self.age() < BOOTSTRAP_TIME && self.source() == StoreSource::Undecided;
        if !is_new || self.is_bootstrap_silent.get() || self.state.borrow().is_complete() {
            return None;
        }
        self.peers.borrow().same_zone.bootstrap_upstream(self.own_address())
    }

    /// The first teller does not tell: this router reads for itself.
    pub(in crate::router) fn abandon_bootstrap_upstream(&self) {
        self.is_bootstrap_silent.set(true);
    }

    /// Whether a router that starts can be told all that it needs, with the revisions from which it can go on.
    fn has_full_snapshot(&self) -> bool {
        let mut kinds = FollowedKind::ALL.into_iter();
        let is_read = |kind| kind == FollowedKind::Crashes || self.has_read(kind);
        self.state.borrow().is_complete() && kinds.all(is_read)
    }

    /// Waits for at most `limit` until this router has what a starting one needs.
    pub(in crate::router) async fn snapshot_readiness(&self, limit: Duration) -> SnapshotReadiness {
        let is_failing = || self.progress.iter().any(|kind| kind.failing_since.get().is_some());
        let decided = async {
            loop {
                // Enabled before the look, so that a change between the two is not missed.
                let mut woken = pin!(self.log_changed.notified());
                woken.as_mut().enable();
                if self.has_full_snapshot() {
                    return SnapshotReadiness::Ready;
                }
                if is_failing() {
                    return SnapshotReadiness::Denied;
                }
                woken.await;
            }
        };
        timeout(limit, decided).await.unwrap_or(SnapshotReadiness::NotYet)
    }

    /// Waits until it is known that this router has to read the store for itself, or until it has what it needs.
    pub(in crate::router) async fn wait_for_direct_read(&self) {
        loop {
            let is_named = !self.peers.borrow().same_zone.is_empty();
            let may_be_named = !is_named && self.age() < PEER_DISCOVERY_TIME;
            if self.is_listed() || !(may_be_named || self.bootstrap_upstream().is_some()) {
                return;
            }
            sleep(START_POLL_PAUSE).await;
        }
    }

    /// Waits until [`Self::bootstrap_upstream`] is known; for ever where there is none in time.
    pub(in crate::router) async fn wait_for_bootstrap_upstream(&self) {
        let mut peers = self.peers.clone();
        while self.bootstrap_upstream().is_none() {
            if self.age() >= BOOTSTRAP_TIME || peers.changed().await.is_err() {
                pending::<()>().await;
            }
        }
    }

    fn age(&self) -> Duration {
        clock::now().saturating_sub(self.started)
    }

    /// Takes the revisions of a snapshot that holds the configuration and the list, if it is the first.
    pub(in crate::router) fn take_revisions(&self, snapshot: &PeerSnapshot) {
        let is_first = !self.is_listed() && snapshot.config.is_some() && snapshot.targets.is_some();
        let kinds = FollowedKind::ALL.into_iter().zip(&snapshot.revisions);
        for (kind, revision) in kinds.filter(|(kind, _)| is_first && *kind != FollowedKind::Crashes)
        {
            self.progress(kind).revision.set(*revision);
        }
    }

    /// Revisions of all kinds, as far as they were read.
    pub(in crate::router) fn known_revisions(&self) -> Vec<Option<u64>> {
        self.progress.iter().map(|progress| progress.revision.get()).collect()
    }

    /// Revisions of all kinds; 0 for one that was not read yet.
    pub(in crate::router) fn revisions(&self) -> Vec<u64> {
        self.progress.iter().map(|progress| progress.revision.get().unwrap_or(0)).collect()
    }

    /// Has the next watch of each kind answered at once.
    pub(in crate::router) fn request_probes(&self) {
        for progress in &self.progress {
            progress.must_probe.set(true);
        }
    }

    /// Where this router hears what the store tells.
    pub(in crate::router) fn source(&self) -> StoreSource {
        *self.source.borrow()
    }

    /// Waits until this router hears from another one, or until it does so no longer.
    pub(in crate::router) async fn wait_for_shared(&self, is_shared: bool) {
        let is_wanted = |source: &StoreSource| (*source == StoreSource::Router) == is_shared;
        let _ = self.source.subscribe().wait_for(is_wanted).await;
    }

    /// Waits until this router asks the store.
    pub(in crate::router) async fn wait_for_direct(&self) {
        let _ = self.source.subscribe().wait_for(|source| *source == StoreSource::Store).await;
    }

    /// Changes where this router hears what the store tells; returns whether that is a change.
    pub(in crate::router) fn set_source(&self, source: StoreSource) -> bool {
        if self.source() == source {
            return false;
        }
        if source == StoreSource::Store {
            self.request_probes();
            self.is_checking_store.set(true);
        } else {
            self.finish_store_check();
        }
        self.source.send_replace(source);
        true
    }

    /// It is known now whether the store answers this router.
    pub(in crate::router) fn finish_store_check(&self) {
        if self.is_checking_store.take() {
            self.store_checked.notify_waiters();
        }
    }

    /// Whether others may ask this router: it has decided where it hears from, and the store answers if that is it.
    pub(in crate::router) fn is_decided(&self) -> bool {
        self.source() != StoreSource::Undecided && !self.is_checking_store.get()
    }

    /// Waits until the configuration's follower knows whether the store answers, if it is finding out.
    pub(in crate::router) async fn store_check(&self) -> Option<StoreCheck> {
        if !self.is_checking_store.get() {
            return None;
        }
        while self.is_checking_store.get() {
            self.store_checked.notified().await;
        }
        Some(if self.is_config_lost() { StoreCheck::Silent } else { StoreCheck::Answers })
    }

    /// This router's address for other routers.
    pub(in crate::router) fn own_address(&self) -> SocketAddr {
        self.settings.borrow().peer_listen
    }

    /// The other routers, as far as loaders have told.
    pub(in crate::router) fn peer_view(&self) -> PeerView {
        self.peers.borrow().clone()
    }

    /// Whether other routers of this zone may rely on this one.
    pub(in crate::router) fn has_zone_peers(&self) -> bool {
        self.peers.borrow().zone_routers > 1
    }

    /// How much longer others may rely on what is known here.
    pub(in crate::router) fn fresh_for(&self) -> Duration {
        let limit = self.source().max_staleness(self.drain_time());
        limit.saturating_sub(clock::now().saturating_sub(self.confirmed_at.get()))
    }

    /// Changes the log of a kind, and wakes those who wait for it.
    pub(in crate::router) fn change_log(
        &self,
        kind: FollowedKind,
        change: impl FnOnce(&mut ChangeLog),
    ) {
        change(&mut self.logs.borrow_mut()[kind as usize]);
        self.log_changed.notify_waiters();
    }

    /// Whether a change names a life of a target that is not known yet.
    pub(in crate::router) fn is_new_target(&self, change: &FollowedChange) -> bool {
        let FollowedChange::Target(ListChange::Put(entry)) = change else { return false };
        !self.state.borrow().knows_target(&entry.incarnation)
    }

    /// What a whole list that was told changes of what is known, as the log keeps it.
    pub(in crate::router) fn classify_snapshot(
        &self,
        kind: FollowedKind,
        snapshot: &[SharedChange],
    ) -> Vec<LoggedChange> {
        if kind == FollowedKind::Targets {
            let changes = self.state.borrow().changes_to(snapshot);
            return self.classify_changes(changes.into_iter());
        }
        self.classify_changes(snapshot.iter().cloned())
    }

    /// Changes as the log keeps them, before they are taken.
    pub(in crate::router) fn classify_changes(
        &self,
        changes: impl Iterator<Item = SharedChange>,
    ) -> Vec<LoggedChange> {
        let state = self.state.borrow();
        changes.map(|change| state.classify_change(change)).collect()
    }

    /// The store, or a router that follows it, has told of a kind.
    pub(in crate::router) async fn note_contact(&self, kind: FollowedKind) {
        let Some(since) = self.progress(kind).failing_since.take() else { return };
        let out_for = clock::now().saturating_sub(since);
        info!(self.logger, "store regained"; "step" => "follow", "kind" => kind.name(),
            "out_ms" => out_for.as_millis() as u64);
        if kind == FollowedKind::Targets {
            self.regained_at.set(Some(clock::now()));
        }
        self.send(ControlEvent::Regained(kind)).await;
    }

    /// Whether the configuration is not followed now.
    pub(in crate::router) fn is_config_lost(&self) -> bool {
        self.is_config_lost.get()
    }

    /// Wakes those who wait for the store.
    pub(in crate::router) fn store_regained(&self) -> &Notify {
        &self.store_regained
    }

    /// Whether all kinds are followed without interruption.
    pub(in crate::router) fn is_current(&self) -> bool {
        self.lost_kinds.get() == 0 && self.state.borrow().is_complete()
    }

    /// Whether any kind is not followed now.
    pub(in crate::router) fn is_lost(&self) -> bool {
        self.lost_kinds.get() > 0 || !self.state.borrow().is_complete()
    }

    /// Keeps what an event tells, for peers, and hands it to the serving thread.
    pub(in crate::router) async fn send(&self, event: ControlEvent) {
        self.apply(&event);
        // The serving thread ends only with the process.
        let _ = self.events.send(event).await;
    }

    /// All that is known of a kind, as changes.
    pub(in crate::router) fn kind_snapshot(&self, kind: FollowedKind) -> Vec<SharedChange> {
        let state = self.state.borrow();
        match kind {
            FollowedKind::Config => state.config_snapshot(),
            FollowedKind::Targets => state.target_snapshot(),
            FollowedKind::Releases => state.release_snapshot(),
            FollowedKind::Crashes => state.crash_snapshot(),
        }
    }

    fn apply(&self, event: &ControlEvent) {
        let mut state = self.state.borrow_mut();
        match event {
            ControlEvent::Listed(FollowedKind::Targets, changes) => {
                state.take_list(&listed_targets(changes));
            }
            ControlEvent::Listed(_, changes) | ControlEvent::Changed(changes) => {
                for change in changes {
                    match change {
                        FollowedChange::Config(config) => state.take_config(config),
                        FollowedChange::Target(change) => state.take_change(change),
                        FollowedChange::Release(release) => state.take_release(release),
                        FollowedChange::Crashes(report) => {
                            state.take_crashes(report, clock::now());
                        }
                    }
                }
            }
            ControlEvent::Lost(kind) => {
                self.lost_kinds.set(self.lost_kinds.get() + 1);
                self.is_config_lost.set(self.is_config_lost() || *kind == FollowedKind::Config);
            }
            ControlEvent::Regained(kind) => {
                self.lost_kinds.set(self.lost_kinds.get().saturating_sub(1));
                if *kind == FollowedKind::Config {
                    self.is_config_lost.set(false);
                    self.store_regained.notify_waiters();
                }
            }
        }
    }
}

/// The list that changes make up, for a kind whose whole list was read.
pub(in crate::router) fn listed_targets(changes: &[FollowedChange]) -> Vec<Arc<TargetEntry>> {
    let entries = changes.iter().filter_map(|change| match change {
        FollowedChange::Target(ListChange::Put(entry)) => Some(Arc::clone(entry)),
        _ => None,
    });
    entries.collect()
}
