//! The broker duty of an entry: grants load permits to agents.
//!
//! Agents choose the entry by rendezvous hashing, so in a stable fleet one pool grants all loads
//! from a weight store. The pool is neither persisted nor replicated: while two entries both act as
//! broker, the store may get more loads at once, which only slows them down.

use super::{
    decisions::{DecisionCommand, DecisionSender},
    join,
};
use crate::{
    link::{frames, heartbeat, server_endpoint},
    options::EntrySettings,
    telemetry::names,
};
use eyre::{Result, eyre};
use metrics::{counter, gauge};
use plantain_core::{
    config::ConfigSnapshot,
    permits::PermitPool,
    protocol::{GrantFrame, PeerFrame, PermitRequest},
};
use quinn::{Connection, RecvStream, SendStream};
use slog::{Logger, debug, error};
use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::{Arc, atomic::AtomicUsize},
    time::{Duration, Instant},
};
use tokio::{
    sync::{Notify, oneshot, watch},
    task::spawn_local,
    time::timeout,
};

/// Longest pause between two checks of the pool of load permits.
const MAX_CHECK_PAUSE: Duration = Duration::from_secs(1);

struct BrokerState {
    pool: PermitPool,
    waiting: HashMap<PermitRequest, oneshot::Sender<()>>,
}

struct BrokerDuty {
    config: watch::Receiver<Arc<ConfigSnapshot>>,
    decisions: DecisionSender,
    state: RefCell<BrokerState>,
    changed: Notify,
    started: Instant,
    logger: Logger,
}

/// Serves agents and starting entries until the process ends.
pub async fn run(
    settings: Arc<EntrySettings>,
    config: watch::Receiver<Arc<ConfigSnapshot>>,
    decisions: DecisionSender,
    logger: Logger,
) {
    let endpoint = match server_endpoint(settings.peer_listen, &settings.common.keys) {
        Ok(endpoint) => endpoint,
        Err(failure) => {
            error!(logger, "cannot listen for agents and entries"; "step" => "bind",
                "error" => format!("{failure:#}"));
            return;
        }
    };
    let pool = PermitPool::new(settings.permits, Duration::ZERO);
    let duty = Rc::new(BrokerDuty {
        config,
        decisions,
        state: RefCell::new(BrokerState { pool, waiting: HashMap::new() }),
        changed: Notify::new(),
        started: Instant::now(),
        logger,
    });
    spawn_local(grant_permits(Rc::clone(&duty)));
    while let Some(incoming) = endpoint.accept().await {
        let duty = Rc::clone(&duty);
        spawn_local(async move {
            if let Ok(connection) = incoming.await {
                accept_streams(duty, connection).await;
            }
        });
    }
}

async fn accept_streams(duty: Rc<BrokerDuty>, connection: Connection) {
    // The agent sends heartbeats to detect that this broker is dead. The count of requests in flight
    // is always zero here, so the broker never closes a connection because heartbeats are missing:
    // the permits of an agent that stops answering expire on their own.
    let connected = connection.clone();
    spawn_local(
        async move { heartbeat::answer_heartbeats(&connected, &AtomicUsize::new(0)).await },
    );
    while let Ok((send, receive)) = connection.accept_bi().await {
        let duty = Rc::clone(&duty);
        spawn_local(async move {
            if let Err(failure) = serve_request(&duty, send, receive).await {
                debug!(duty.logger, "permit ended early"; "step" => "permit",
                    "error" => format!("{failure:#}"));
            }
        });
    }
}

/// Serves one permit request from its first frame to the end of its stream, which returns the
/// permit.
async fn serve_request(
    duty: &BrokerDuty,
    mut send: SendStream,
    mut receive: RecvStream,
) -> Result<()> {
    let (request, urgency) = match frames::read(&mut receive).await? {
        Some(PeerFrame::Ask { request, urgency }) => (request, urgency),
        Some(PeerFrame::Join) => return duty.serve_join(send).await,
        None => return Err(eyre!("the stream ended before a request")),
    };
    let (granted, mut grant) = oneshot::channel();
    {
        let mut state = duty.state.borrow_mut();
        state.pool.enqueue(request.clone(), urgency, duty.started.elapsed());
        state.waiting.insert(request.clone(), granted);
    }
    duty.changed.notify_one();
    let mut is_granted = false;
    let result = loop {
        tokio::select! {
            Ok(()) = &mut grant, if !is_granted => {
                is_granted = true;
                let frame = GrantFrame { request: request.clone() };
                if let Err(failure) = frames::write(&mut send, &frame).await {
                    break Err(failure);
                }
            }
            frame = frames::read::<PeerFrame>(&mut receive) => match frame {
                // An update that crosses the grant must not queue the request again.
                Ok(Some(_)) if is_granted => {}
                Ok(Some(PeerFrame::Ask { urgency, .. })) => {
                    let now = duty.started.elapsed();
                    duty.state.borrow_mut().pool.enqueue(request.clone(), urgency, now);
                }
                Ok(Some(PeerFrame::Join)) => break Err(eyre!("join request on a permit stream")),
                Ok(None) => break Ok(()),
                Err(failure) => break Err(failure),
            },
        }
    };
    let mut state = duty.state.borrow_mut();
    state.pool.end(&request);
    state.waiting.remove(&request);
    drop(state);
    duty.changed.notify_one();
    result
}

impl BrokerDuty {
    /// Sends a starting entry the configuration and the targets, so that it can serve during a
    /// platform outage.
    async fn serve_join(&self, mut send: SendStream) -> Result<()> {
        let (sender, targets) = oneshot::channel();
        let _ = self.decisions.send(DecisionCommand::ListTargets(sender)).await;
        let targets = targets.await.unwrap_or_default();
        let config = Arc::clone(&self.config.borrow());
        frames::write(&mut send, &join::build_join_frame(&config, targets)?).await?;
        let _ = send.finish();
        let _ = send.stopped().await;
        Ok(())
    }
}

async fn grant_permits(duty: Rc<BrokerDuty>) {
    loop {
        let now = duty.started.elapsed();
        let next = {
            let mut state = duty.state.borrow_mut();
            for request in state.pool.grant(now) {
                counter!(names::PERMITS).increment(1);
                if let Some(granted) = state.waiting.remove(&request) {
                    let _ = granted.send(());
                }
            }
            gauge!(names::PERMITS_WAITING).set(state.pool.waiting() as f64);
            state.pool.next_grant(now)
        };
        let pause = next.unwrap_or(MAX_CHECK_PAUSE).min(MAX_CHECK_PAUSE);
        let _ = timeout(pause, duty.changed.notified()).await;
    }
}
