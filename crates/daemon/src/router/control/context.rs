//! State shared by the tasks of the control thread: followed objects, and the progress of following the store.

mod positions;

use crate::{clock, options::site::RouterFile};
use plantain_core::{
    direct::{
        directory::PeerView,
        membership::{ListChange, TargetEntry},
        sharing::{
            ChangeLog, LoggedChange, SharedChange, StoreEra, StorePosition, source::StoreSource,
        },
        snapshot::FollowedState,
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

/// Time after a router's start in which it may still learn of other routers in its zone.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(400);
/// Time after its start for which a router waits for a peer's snapshot instead of reading the store, as long as that
/// peer answers.
const BOOTSTRAP_TIME: Duration = Duration::from_secs(2);
/// Interval at which a starting router checks whether it has found a peer, and whether that peer has sent a snapshot.
const START_POLL_PAUSE: Duration = Duration::from_millis(10);

/// Event from the control thread to the serving thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A full list of a kind's objects, which replaces the previous one.
    Listed(FollowedKind, Vec<FollowedChange>),
    /// Changes of objects.
    Changed(Vec<FollowedChange>),
    /// The store has returned from an older copy; lists of the new history follow.
    Returned,
    /// The store cannot be reached for a kind.
    Lost(FollowedKind),
    /// The store answers again for a kind.
    Regained(FollowedKind),
}

/// Result of the first calls to the store after a router switched to following it directly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::router) enum StoreCheck {
    /// The store answers.
    Answers,
    /// The store does not answer.
    Silent,
}

/// Whether this router can serve a full snapshot to a starting router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::router) enum SnapshotReadiness {
    /// All kinds are known.
    Ready,
    /// This router is still reading the store.
    NotYet,
    /// This router cannot read the store.
    Denied,
}

/// Progress of following one kind of objects.
#[derive(Debug, Default)]
pub(crate) struct KindProgress {
    /// Position up to which changes are known; `None` before the first read.
    pub(in crate::router) position: Cell<Option<StorePosition>>,
    /// Time of the first failure since the last contact; `None` while it is followed.
    pub(in crate::router) failing_since: Cell<Option<Duration>>,
    /// Whether the next watch must return immediately: a call to the store failed, for this kind or another, so the
    /// store may be about to drop its history.
    pub(in crate::router) must_probe: Cell<bool>,
    /// Whether a follower was started.
    pub(in crate::router) has_follower: Cell<bool>,
}

/// Settings, followed state and progress, shared by the control thread's tasks.
pub(crate) struct ControlContext {
    pub(in crate::router) logger: Logger,
    /// Id of this start of the process.
    pub(in crate::router) boot: BootId,
    started: Timestamp,
    pub(in crate::router) state: RefCell<FollowedState>,
    /// Progress per kind.
    progress: [KindProgress; FollowedKind::ALL.len()],
    /// Recent changes per kind, served to other routers of this zone.
    pub(in crate::router) logs: RefCell<[ChangeLog; FollowedKind::ALL.len()]>,
    /// Notified when a log or the list changes.
    pub(in crate::router) log_changed: Notify,
    /// Time up to which all changes are known: the last answer of the store to this router or to its upstream.
    pub(in crate::router) confirmed_at: Cell<Timestamp>,
    /// Time at which the list of targets became readable again after an outage.
    pub(in crate::router) regained_at: Cell<Option<Timestamp>>,
    /// Latest known era of the store's history; 0 before the first answer.
    era: watch::Sender<StoreEra>,
    source: watch::Sender<StoreSource>,
    /// Whether the configuration's follower is still finding out if the store answers this router.
    is_checking_store: Cell<bool>,
    store_checked: Notify,
    /// Whether the bootstrap upstream failed to answer.
    is_bootstrap_silent: Cell<bool>,
    settings: watch::Receiver<Arc<RouterFile>>,
    peers: watch::Receiver<PeerView>,
    events: mpsc::Sender<ControlEvent>,
    lost_kinds: Cell<u32>,
    is_config_lost: Cell<bool>,
    store_regained: Notify,
}

/// Inputs of a [`ControlContext`].
pub(super) struct ContextInputs {
    /// Current settings; the file may be reloaded.
    pub(super) settings: watch::Receiver<Arc<RouterFile>>,
    /// Other routers that are alive.
    pub(super) peers: watch::Receiver<PeerView>,
    /// Id of this start of the process.
    pub(super) boot: BootId,
    /// Queue to the serving thread.
    pub(super) events: mpsc::Sender<ControlEvent>,
    /// Logger of the control thread.
    pub(super) logger: Logger,
}

impl ControlContext {
    /// Starts with no followed state.
    pub(super) fn new(inputs: ContextInputs) -> Self {
        let ContextInputs { settings, peers, boot, events, logger } = inputs;
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
            era: watch::channel(0).0,
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

    /// Time after a target starts to drain in which calls may still reach it.
    pub(in crate::router) fn drain_time(&self) -> Duration {
        Duration::from_millis(self.settings.borrow().bounds.drain_ms)
    }

    /// Routers that can be queried: those reported alive and those of the settings, without this one.
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

    /// Progress of one kind.
    pub(in crate::router) fn progress(&self, kind: FollowedKind) -> &KindProgress {
        &self.progress[kind as usize]
    }

    /// Whether the configuration and the list of targets are known, from the store or from another router.
    pub(in crate::router) fn is_listed(&self) -> bool {
        let is_complete = self.state.borrow().is_complete();
        is_complete || (self.has_read(FollowedKind::Config) && self.has_read(FollowedKind::Targets))
    }

    /// Whether a kind is known, from the store or from another router.
    pub(in crate::router) fn has_read(&self, kind: FollowedKind) -> bool {
        self.progress(kind).position.get().is_some()
    }

    /// The router from which this one fetches its first snapshot, so that routers which start together do not all
    /// read the whole store; `None` if this router reads the store itself.
    pub(in crate::router) fn bootstrap_upstream(&self) -> Option<SocketAddr> {
        let is_new = self.age() < BOOTSTRAP_TIME && self.source() == StoreSource::Undecided;
        if !is_new || self.is_bootstrap_silent.get() || self.state.borrow().is_complete() {
            return None;
        }
        self.peers.borrow().same_zone.bootstrap_upstream(self.own_address())
    }

    /// Gives up on the bootstrap upstream, which did not answer; this router reads the store itself.
    pub(in crate::router) fn abandon_bootstrap_upstream(&self) {
        self.is_bootstrap_silent.set(true);
    }

    /// Whether a starting router can get all state that it needs, with the revisions from which to continue.
    fn has_full_snapshot(&self) -> bool {
        let mut kinds = FollowedKind::ALL.into_iter();
        let is_read = |kind| kind == FollowedKind::Crashes || self.has_read(kind);
        self.state.borrow().is_complete() && kinds.all(is_read)
    }

    /// Waits at most `limit` until this router can serve a full snapshot, or cannot read the store.
    pub(in crate::router) async fn snapshot_readiness(&self, limit: Duration) -> SnapshotReadiness {
        let is_failing = || self.progress.iter().any(|kind| kind.failing_since.get().is_some());
        let decided = async {
            loop {
                // Enabled before the check, so that a change between the two is not missed.
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

    /// Waits until this router must read the store itself, or already has what it needs.
    pub(in crate::router) async fn wait_for_direct_read(&self) {
        loop {
            let has_peers = !self.peers.borrow().same_zone.is_empty();
            let may_find_peers = !has_peers && self.age() < PEER_DISCOVERY_TIME;
            if self.is_listed() || !(may_find_peers || self.bootstrap_upstream().is_some()) {
                return;
            }
            sleep(START_POLL_PAUSE).await;
        }
    }

    /// Waits until [`Self::bootstrap_upstream`] is known. If none appears within [`BOOTSTRAP_TIME`], the future stays
    /// pending forever, so it is only awaited beside a timeout.
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

    /// Makes the next watch of each kind return immediately.
    pub(in crate::router) fn request_probes(&self) {
        for progress in &self.progress {
            progress.must_probe.set(true);
        }
    }

    /// Where this router gets the store's changes from.
    pub(in crate::router) fn source(&self) -> StoreSource {
        *self.source.borrow()
    }

    /// Waits until this router follows the store through another router (`true`), or no longer does (`false`).
    pub(in crate::router) async fn wait_for_shared(&self, is_shared: bool) {
        let is_wanted = |source: &StoreSource| (*source == StoreSource::Router) == is_shared;
        let _ = self.source.subscribe().wait_for(is_wanted).await;
    }

    /// Waits until this router follows the store directly.
    pub(in crate::router) async fn wait_for_direct(&self) {
        let _ = self.source.subscribe().wait_for(|source| *source == StoreSource::Store).await;
    }

    /// Sets where this router gets the store's changes from; returns whether that differs from before.
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

    /// Ends the check of whether the store answers this router.
    pub(in crate::router) fn finish_store_check(&self) {
        if self.is_checking_store.take() {
            self.store_checked.notify_waiters();
        }
    }

    /// Whether other routers may query this one: its source is decided, and if that is the store, it was checked.
    pub(in crate::router) fn is_decided(&self) -> bool {
        self.source() != StoreSource::Undecided && !self.is_checking_store.get()
    }

    /// Waits for a running check of the store and returns its result; `None` if none is running.
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

    /// The other routers that loaders report.
    pub(in crate::router) fn peer_view(&self) -> PeerView {
        self.peers.borrow().clone()
    }

    /// Whether this zone has other routers, which may follow the store through this one.
    pub(in crate::router) fn has_zone_peers(&self) -> bool {
        self.peers.borrow().zone_routers > 1
    }

    /// How much longer the state of this router is fresh enough for other routers.
    pub(in crate::router) fn fresh_for(&self) -> Duration {
        let limit = self.source().max_staleness(self.drain_time());
        limit.saturating_sub(clock::now().saturating_sub(self.confirmed_at.get()))
    }

    /// Changes the log of a kind and wakes the tasks that wait for changes.
    pub(in crate::router) fn change_log(
        &self,
        kind: FollowedKind,
        change: impl FnOnce(&mut ChangeLog),
    ) {
        change(&mut self.logs.borrow_mut()[kind as usize]);
        self.log_changed.notify_waiters();
    }

    /// Whether a change names an incarnation of a target that is not known yet.
    pub(in crate::router) fn is_new_target(&self, change: &FollowedChange) -> bool {
        let FollowedChange::Target(ListChange::Put(entry)) = change else { return false };
        !self.state.borrow().knows_target(&entry.incarnation)
    }

    /// The changes from the known state to a snapshot, classified for the log.
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

    /// Classifies changes for the log; call before the changes are applied.
    pub(in crate::router) fn classify_changes(
        &self,
        changes: impl Iterator<Item = SharedChange>,
    ) -> Vec<LoggedChange> {
        let state = self.state.borrow();
        changes.map(|change| state.classify_change(change)).collect()
    }

    /// Records that the store, or a router that follows it, answered for a kind.
    pub(in crate::router) async fn note_contact(&self, kind: FollowedKind) {
        let Some(since) = self.progress(kind).failing_since.take() else { return };
        let outage = clock::now().saturating_sub(since);
        info!(self.logger, "store regained"; "step" => "follow", "kind" => kind.name(),
            "out_ms" => outage.as_millis() as u64);
        if kind == FollowedKind::Targets {
            self.regained_at.set(Some(clock::now()));
        }
        self.send(ControlEvent::Regained(kind)).await;
    }

    /// Whether the configuration cannot be followed now.
    pub(in crate::router) fn is_config_lost(&self) -> bool {
        self.is_config_lost.get()
    }

    /// Notified when the configuration can be followed again.
    pub(in crate::router) fn store_regained(&self) -> &Notify {
        &self.store_regained
    }

    /// Whether the state is complete and the objects of all kinds in the store are followed.
    pub(in crate::router) fn is_current(&self) -> bool {
        self.lost_kinds.get() == 0 && self.state.borrow().is_complete()
    }

    /// Whether the state is incomplete, or the objects of at least one kind in the store cannot be followed now.
    pub(in crate::router) fn is_lost(&self) -> bool {
        self.lost_kinds.get() > 0 || !self.state.borrow().is_complete()
    }

    /// Applies an event to the state that peers can read, and sends it to the serving thread.
    pub(in crate::router) async fn send(&self, event: ControlEvent) {
        self.apply(&event);
        // The serving thread ends only with the process.
        let _ = self.events.send(event).await;
    }

    /// Snapshot of all objects of a kind, encoded as one change per object.
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
                if matches!(event, ControlEvent::Listed(FollowedKind::Crashes, _)) {
                    state.clear_stored_crashes();
                }
                for change in changes {
                    match change {
                        FollowedChange::Config(config) => state.take_config(config),
                        FollowedChange::Target(change) => state.take_change(change),
                        FollowedChange::Release(release) => state.take_release(release),
                        FollowedChange::Crashes(report) => {
                            state.take_stored_crashes(report, clock::now());
                        }
                    }
                }
            }
            ControlEvent::Returned => {}
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

/// The target entries of a full list.
pub(in crate::router) fn listed_targets(changes: &[FollowedChange]) -> Vec<Arc<TargetEntry>> {
    let entries = changes.iter().filter_map(|change| match change {
        FollowedChange::Target(ListChange::Put(entry)) => Some(Arc::clone(entry)),
        _ => None,
    });
    entries.collect()
}
