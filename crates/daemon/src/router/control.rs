//! The control thread: follows the store, and asks and answers other routers.

use super::{constants, follow, peers};
use crate::options::site::RouterFile;
use plantain_core::direct::snapshot::FollowedState;
use plantain_platform::objects::{FollowedChange, FollowedKind};
use slog::Logger;
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

/// What the duties of the control thread share.
pub(crate) struct ControlLink {
    pub(super) logger: Logger,
    pub(super) state: RefCell<FollowedState>,
    settings: watch::Receiver<Arc<RouterFile>>,
    peers: watch::Receiver<Vec<SocketAddr>>,
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

    /// Time from a target's leaving to the last call that may reach it.
    pub(super) fn drain_time(&self) -> Duration {
        Duration::from_millis(self.settings.borrow().bounds.drain_ms)
    }

    /// Routers that may be asked: those alive as far as is known, and those of the settings.
    pub(super) fn peers(&self) -> Vec<SocketAddr> {
        let settings = self.settings.borrow();
        let mut peers = self.peers.borrow().clone();
        peers.extend(&settings.peers);
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != settings.peer_listen);
        peers
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
    pub(crate) peers: watch::Receiver<Vec<SocketAddr>>,
    /// Where events go.
    pub(crate) events: mpsc::Sender<ControlEvent>,
    /// Listener for other routers.
    pub(crate) listener: std::net::TcpListener,
    /// Logs.
    pub(crate) logger: Logger,
}

/// Depth of the ring to the serving thread.
pub(crate) const RING_DEPTH: usize = constants::CONTROL_RING;

/// Runs the control thread's duties for as long as the process lives.
pub(crate) async fn run(start: ControlStart) {
    let link = Rc::new(ControlLink {
        logger: start.logger,
        state: RefCell::default(),
        settings: start.settings,
        peers: start.peers,
        events: start.events,
        lost: Cell::new(0),
        is_config_lost: Cell::new(false),
        store_back: Notify::new(),
    });
    for kind in [FollowedKind::Config, FollowedKind::Targets, FollowedKind::Releases] {
        spawn_local(follow::run(kind, Rc::clone(&link)));
    }
    let listener = TcpListener::from_std(start.listener).expect("a bound, non-blocking listener");
    spawn_local(peers::serve(listener, Rc::clone(&link)));
    peers::ask(link).await;
}
