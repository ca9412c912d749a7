//! The control thread: follows the store and exchanges state with other routers.

pub(super) mod context;

use self::context::{ContextInputs, ControlContext, ControlEvent};
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

/// Inputs of the control thread.
pub(crate) struct ControlInputs {
    /// Current settings; the file may be reloaded.
    pub(crate) settings: watch::Receiver<Arc<RouterFile>>,
    /// Other routers that are alive.
    pub(crate) peers: watch::Receiver<PeerView>,
    /// Id of this start of the process.
    pub(crate) boot: BootId,
    /// This router's own crash report.
    pub(crate) crashes: watch::Receiver<Arc<CrashReport>>,
    /// Queue to the serving thread.
    pub(crate) events: mpsc::Sender<ControlEvent>,
    /// Listener for requests of other routers.
    pub(crate) listener: std::net::TcpListener,
    /// Logger of this thread.
    pub(crate) logger: Logger,
}

/// Adds this router's own crash report to the state that peers can read while the store is unreachable.
async fn include_own_crashes(
    context: Rc<ControlContext>,
    mut own: watch::Receiver<Arc<CrashReport>>,
) {
    while own.changed().await.is_ok() {
        let report = Arc::clone(&own.borrow_and_update());
        context.state.borrow_mut().take_crashes(&report, clock::now());
    }
}

/// Capacity of the event queue to the serving thread.
pub(crate) const QUEUE_CAPACITY: usize = constants::CONTROL_QUEUE;

/// Runs the control thread's tasks until the process ends.
pub(crate) async fn run(inputs: ControlInputs) {
    let ControlInputs { settings, peers, boot, crashes, events, listener, logger } = inputs;
    let context =
        Rc::new(ControlContext::new(ContextInputs { settings, peers, boot, events, logger }));
    for kind in FollowedKind::ALL {
        spawn_local(follow::run(kind, Rc::clone(&context)));
    }
    spawn_local(sharing::run(Rc::clone(&context)));
    spawn_local(include_own_crashes(Rc::clone(&context), crashes.clone()));
    spawn_local(crash_updates::publish(Rc::clone(&context), crashes));
    spawn_local(crash_updates::clean(Rc::clone(&context)));
    let listener = TcpListener::from_std(listener).expect("a bound, non-blocking listener");
    spawn_local(peers::serve(listener, Rc::clone(&context)));
    peers::fetch_snapshots(context).await;
}
