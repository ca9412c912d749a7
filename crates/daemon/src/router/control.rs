//! The control thread: follows the store, and asks and answers other routers.

pub(super) mod link;

use self::link::{ControlEvent, ControlLink, LinkStart};
use super::{constants, crash_updates, follow, peers, sharing};
use crate::{clock, options::site::RouterFile};
use plantain_core::{crashes::CrashReport, direct::directory::PeerView, ids::BootId};
use plantain_platform::objects::FollowedKind;
use slog::Logger;
use std::{rc::Rc, sync::Arc};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::spawn_local,
};

/// What the control thread is started with.
pub(crate) struct ControlStart {
    /// Settings, which may change.
    pub(crate) settings: watch::Receiver<Arc<RouterFile>>,
    /// Other routers that are alive.
    pub(crate) peers: watch::Receiver<PeerView>,
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
async fn include_own_crashes(link: Rc<ControlLink>, mut own: watch::Receiver<Arc<CrashReport>>) {
    while own.changed().await.is_ok() {
        let report = Arc::clone(&own.borrow_and_update());
        link.state.borrow_mut().take_crashes(&report, clock::now());
    }
}

/// Depth of the ring to the serving thread.
pub(crate) const RING_DEPTH: usize = constants::CONTROL_RING;

/// Runs the control thread's duties for as long as the process lives.
pub(crate) async fn run(start: ControlStart) {
    let ControlStart { settings, peers, boot, crashes, events, listener, logger } = start;
    let link = Rc::new(ControlLink::new(LinkStart { settings, peers, boot, events, logger }));
    for kind in FollowedKind::ALL {
        spawn_local(follow::run(kind, Rc::clone(&link)));
    }
    spawn_local(sharing::run(Rc::clone(&link)));
    spawn_local(include_own_crashes(Rc::clone(&link), crashes.clone()));
    spawn_local(crash_updates::publish(Rc::clone(&link), crashes));
    spawn_local(crash_updates::clean(Rc::clone(&link)));
    let listener = TcpListener::from_std(listener).expect("a bound, non-blocking listener");
    spawn_local(peers::serve(listener, Rc::clone(&link)));
    peers::fetch_snapshots(link).await;
}
