//! The control thread: follows the store and exchanges state with other routers.

pub(super) mod context;

use self::context::{ContextInputs, ControlContext, ControlEvent};
use super::{constants, crash_updates, follow, peers, sharing};
use crate::{clock, duty::supervisor::DutySupervisor, options::site::RouterFile};
use plantain_core::{crashes::CrashReport, direct::directory::PeerView, ids::BootId};
use plantain_platform::objects::FollowedKind;
use slog::Logger;
use std::{future::pending, rc::Rc, sync::Arc};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
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
    /// Watches over the process's duties.
    pub(crate) supervisor: DutySupervisor,
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
    let ControlInputs { settings, peers, boot, crashes, events, listener, logger, supervisor } =
        inputs;
    let context =
        Rc::new(ControlContext::new(ContextInputs { settings, peers, boot, events, logger }));
    for kind in FollowedKind::ALL {
        let own = Rc::clone(&context);
        supervisor.spawn(kind.name(), move || follow::run(kind, Rc::clone(&own)));
    }
    let own = Rc::clone(&context);
    supervisor.spawn("sharing", move || sharing::run(Rc::clone(&own)));
    let (own, reports) = (Rc::clone(&context), crashes.clone());
    supervisor.spawn("own crashes", move || include_own_crashes(Rc::clone(&own), reports.clone()));
    let own = Rc::clone(&context);
    supervisor
        .spawn("crash report", move || crash_updates::publish(Rc::clone(&own), crashes.clone()));
    let own = Rc::clone(&context);
    supervisor.spawn("old crashes", move || crash_updates::clean(Rc::clone(&own)));
    let own = Rc::clone(&context);
    let listener =
        Rc::new(TcpListener::from_std(listener).expect("a bound, non-blocking listener"));
    supervisor.spawn("peers", move || peers::serve(Rc::clone(&listener), Rc::clone(&own)));
    supervisor.spawn("snapshots", move || peers::fetch_snapshots(Rc::clone(&context)));
    pending::<()>().await;
}
