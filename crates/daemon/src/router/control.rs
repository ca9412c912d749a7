//! The control thread: follows the store, and asks and answers other routers.

use super::{constants, crash_news, follow, peers, sharing};
use crate::{clock, options::site::RouterFile};
use plantain_core::{
    crashes::CrashReport,
    direct::{
        directory::PeerRouter,
        messages::BootId,
        sharing::{ChangeLog, SharedChange, zone_watcher},
        snapshot::FollowedState,
    },
    ids::Timestamp,
};
use plantain_platform::objects::{FollowedChange, FollowedKind};
use slog::{Logger, info};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc, watch},
    task::spawn_local,
};

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

/// How far one kind is followed.
#[derive(Debug, Default)]
pub(crate) struct KindProgress {
    /// Revision up to which it is known; none before it was read.
    pub(super) revision: Cell<Option<u64>>,
    /// Since when it cannot be followed.
    pub(super) failing_since: Cell<Option<Duration>>,
    /// Whether the next watch must be answered at once: a call of any kind failed, so that the store may
    /// be about to drop its history.
    pub(super) is_doubtful: Cell<bool>,
}

/// What the duties of the control thread share.
pub(crate) struct ControlLink {
    pub(super) logger: Logger,
    /// This process's start.
    pub(super) boot: BootId,
    pub(super) state: RefCell<FollowedState>,
    /// How far each kind is followed.
    progress: [KindProgress; FollowedKind::ALL.len()],
    /// Latest changes of each kind, for other routers of this zone.
    pub(super) logs: RefCell<[ChangeLog; FollowedKind::ALL.len()]>,
    /// Wakes those who wait for changes.
    pub(super) log_changed: Notify,
    /// When the store last answered this router.
    pub(super) heard_at: Cell<Timestamp>,
    /// Whether another router follows the store for this one.
    is_shared: watch::Sender<bool>,
    settings: watch::Receiver<Arc<RouterFile>>,
    peers: watch::Receiver<Vec<PeerRouter>>,
    events: mpsc::Sender<ControlEvent>,
    lost: Cell<u32>,
    is_config_lost: Cell<bool>,
    store_back: Notify,
}

impl ControlLink {
    /// Address of the store.
    pub(super) fn store(&self) -> SocketAddr {
        self.settings.borrow().store
    }

    /// Name of this router.
    pub(super) fn router_name(&self) -> Arc<str> {
        Arc::clone(&self.settings.borrow().name)
    }

    /// Time from a target's leaving to the last call that may reach it.
    pub(super) fn drain_time(&self) -> Duration {
        Duration::from_millis(self.settings.borrow().bounds.drain_ms)
    }

    /// Routers that may be asked: those alive as far as is known, and those of the settings.
    pub(super) fn peers(&self) -> Vec<SocketAddr> {
        let settings = self.settings.borrow();
        let alive = self.peers.borrow();
        let mut peers: Vec<SocketAddr> = alive.iter().map(|peer| peer.address).collect();
        peers.extend(&settings.peers);
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != settings.peer_listen);
        peers
    }

    /// How far a kind is followed.
    pub(super) fn progress(&self, kind: FollowedKind) -> &KindProgress {
        &self.progress[kind as usize]
    }

    /// Revisions of all kinds; none before all of them were read.
    pub(super) fn revisions(&self) -> Option<Vec<u64>> {
        self.progress.iter().map(|progress| progress.revision.get()).collect()
    }

    /// Has the next watch of each kind answered at once.
    pub(super) fn set_doubtful(&self) {
        for progress in &self.progress {
            progress.is_doubtful.set(true);
        }
    }

    /// Whether another router follows the store for this one.
    pub(super) fn is_shared(&self) -> bool {
        *self.is_shared.borrow()
    }

    /// Waits until another router follows the store for this one, or does so no longer.
    pub(super) async fn shared_becomes(&self, is_shared: bool) {
        let _ = self.is_shared.subscribe().wait_for(|shared| *shared == is_shared).await;
    }

    /// Has another router follow the store for this one, or no longer; whether that is a change.
    pub(super) fn set_shared(&self, is_shared: bool) -> bool {
        if !is_shared && self.is_shared() {
            self.set_doubtful();
        }
        if is_shared {
            for log in self.logs.borrow_mut().iter_mut() {
                log.stop();
            }
            self.log_changed.notify_waiters();
        }
        self.is_shared.send_replace(is_shared) != is_shared
    }

    /// Whether other routers of this zone may rely on this one.
    pub(super) fn has_near_peers(&self) -> bool {
        let own = self.settings.borrow().peer_listen;
        self.peers.borrow().iter().any(|peer| peer.is_near && peer.address != own)
    }

    /// How much longer others may rely on this router if the store stays silent.
    pub(super) fn fresh_for(&self) -> Duration {
        let limit = self.drain_time().mul_f64(follow::FRESH_SHARE);
        limit.saturating_sub(clock::now().saturating_sub(self.heard_at.get()))
    }

    /// The router of this zone that follows the store, if it is another one.
    pub(super) fn zone_watcher(&self) -> Option<SocketAddr> {
        let own = self.settings.borrow().peer_listen;
        let peers = self.peers.borrow();
        let near = peers.iter().filter(|peer| peer.is_near).map(|peer| peer.address);
        let watcher = zone_watcher(own, near);
        (watcher != own).then_some(watcher)
    }

    /// Changes the log of a kind, and wakes those who wait for it.
    pub(super) fn change_log(&self, kind: FollowedKind, change: impl FnOnce(&mut ChangeLog)) {
        change(&mut self.logs.borrow_mut()[kind as usize]);
        self.log_changed.notify_waiters();
    }

    /// The store, or a router that follows it, has told of a kind.
    pub(super) async fn note_contact(&self, kind: FollowedKind) {
        let Some(since) = self.progress(kind).failing_since.take() else { return };
        let out_for = clock::now().saturating_sub(since);
        info!(self.logger, "store regained"; "step" => "follow", "kind" => kind.name(),
            "out_ms" => out_for.as_millis() as u64);
        self.send(ControlEvent::Regained(kind)).await;
    }

    /// Whether the configuration is not followed now.
    pub(super) fn is_config_lost(&self) -> bool {
        self.is_config_lost.get()
    }

    /// Wakes those who wait for the store.
    pub(super) fn store_back(&self) -> &Notify {
        &self.store_back
    }

    /// Whether all kinds are followed without interruption.
    pub(super) fn is_current(&self) -> bool {
        self.lost.get() == 0 && self.state.borrow().is_complete()
    }

    /// Whether any kind is not followed now.
    pub(super) fn is_lost(&self) -> bool {
        self.lost.get() > 0 || !self.state.borrow().is_complete()
    }

    /// Keeps what an event tells, for peers, and hands it to the serving thread.
    pub(super) async fn send(&self, event: ControlEvent) {
        self.keep(&event);
        // The serving thread ends only with the process.
        let _ = self.events.send(event).await;
    }

    /// All that is known of a kind, as changes.
    pub(super) fn whole(&self, kind: FollowedKind) -> Vec<SharedChange> {
        let state = self.state.borrow();
        match kind {
            FollowedKind::Config => state.whole_config(),
            FollowedKind::Targets => state.whole_targets(),
            FollowedKind::Releases => state.whole_releases(),
            FollowedKind::Crashes => state.whole_crashes(),
        }
    }

    fn keep(&self, event: &ControlEvent) {
        let mut state = self.state.borrow_mut();
        match event {
            ControlEvent::Listed(FollowedKind::Targets, changes) => {
                state.take_list(&follow::listed_targets(changes));
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
                self.lost.set(self.lost.get() + 1);
                self.is_config_lost.set(self.is_config_lost() || *kind == FollowedKind::Config);
            }
            ControlEvent::Regained(kind) => {
                self.lost.set(self.lost.get().saturating_sub(1));
                if *kind == FollowedKind::Config {
                    self.is_config_lost.set(false);
                    self.store_back.notify_waiters();
                }
            }
        }
    }
}

/// What the control thread is started with.
pub(crate) struct ControlStart {
    /// Settings, which may change.
    pub(crate) settings: watch::Receiver<Arc<RouterFile>>,
    /// Other routers that are alive.
    pub(crate) peers: watch::Receiver<Vec<PeerRouter>>,
    /// This process's start.
    pub(crate) boot: BootId,
    /// What this router tells of crashes.
    pub(crate) crashes: watch::Receiver<Arc<CrashReport>>,
    /// Where events go.
    pub(crate) events: mpsc::Sender<ControlEvent>,
    /// Listener for other routers.
    pub(crate) listener: std::net::TcpListener,
    /// Logs.
    pub(crate) logger: Logger,
}

/// Keeps this router's own report of crashes among those that it tells to peers while the store is out.
async fn keep_own_crashes(link: Rc<ControlLink>, mut own: watch::Receiver<Arc<CrashReport>>) {
    while own.changed().await.is_ok() {
        let report = Arc::clone(&own.borrow_and_update());
        link.state.borrow_mut().take_crashes(&report, clock::now());
    }
}

/// Depth of the ring to the serving thread.
pub(crate) const RING_DEPTH: usize = constants::CONTROL_RING;

/// Runs the control thread's duties for as long as the process lives.
pub(crate) async fn run(start: ControlStart) {
    let link = Rc::new(ControlLink {
        logger: start.logger,
        boot: start.boot,
        state: RefCell::default(),
        progress: Default::default(),
        logs: RefCell::default(),
        log_changed: Notify::new(),
        heard_at: Cell::default(),
        is_shared: watch::channel(false).0,
        settings: start.settings,
        peers: start.peers,
        events: start.events,
        lost: Cell::new(0),
        is_config_lost: Cell::new(false),
        store_back: Notify::new(),
    });
    for kind in FollowedKind::ALL {
        spawn_local(follow::run(kind, Rc::clone(&link)));
    }
    spawn_local(sharing::run(Rc::clone(&link)));
    spawn_local(keep_own_crashes(Rc::clone(&link), start.crashes.clone()));
    spawn_local(crash_news::publish(Rc::clone(&link), start.crashes));
    spawn_local(crash_news::clean(Rc::clone(&link)));
    let listener = TcpListener::from_std(start.listener).expect("a bound, non-blocking listener");
    spawn_local(peers::serve(listener, Rc::clone(&link)));
    peers::ask(link).await;
}
