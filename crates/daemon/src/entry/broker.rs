//! The broker duty of an entry: grants load permits to the agents that ask here.
//!
//! Agents ask the entry that rendezvous hashing picks, so in a quiet fleet one pool sees all loads
//! of a weight store. Nothing is kept or agreed on: two brokers for a moment only slow loads down.

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

/// Longest sleep between looks at the pool.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

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

/// Runs for as long as the process lives.
pub async fn run(
    settings: Arc<EntrySettings>,
    config: watch::Receiver<Arc<ConfigSnapshot>>,
    decisions: DecisionSender,
    logger: Logger,
) {
    let endpoint = match server_endpoint(settings.peer_listen, &settings.common.keys) {
        Ok(endpoint) => endpoint,
        Err(failure) => {
            error!(logger, "no broker"; "step" => "bind", "error" => format!("{failure:#}"));
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
    // The agent's heartbeats tell it that this broker lives. A silent agent holds no place here: its
    // permits lapse by themselves.
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

/// Follows one request from the first question to the end of its stream, which gives it back.
async fn serve_request(
    duty: &BrokerDuty,
    mut send: SendStream,
    mut receive: RecvStream,
) -> Result<()> {
    let (request, urgency) = match frames::read(&mut receive).await? {
        Some(PeerFrame::Ask { request, urgency }) => (request, urgency),
        Some(PeerFrame::Join) => return duty.tell_joiner(send).await,
        None => return Err(eyre!("the stream ended before its question")),
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
                // News of a request that was granted meanwhile must not make it wait again.
                Ok(Some(_)) if is_granted => {}
                Ok(Some(PeerFrame::Ask { urgency, .. })) => {
                    let now = duty.started.elapsed();
                    duty.state.borrow_mut().pool.enqueue(request.clone(), urgency, now);
                }
                Ok(Some(PeerFrame::Join)) => break Err(eyre!("a second question on one stream")),
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
    /// Tells a starting entry what this one knows, so that it can serve in an outage.
    async fn tell_joiner(&self, mut send: SendStream) -> Result<()> {
        let (sender, targets) = oneshot::channel();
        let _ = self.decisions.send(DecisionCommand::ListTargets(sender)).await;
        let targets = targets.await.unwrap_or_default();
        let config = Arc::clone(&self.config.borrow());
        frames::write(&mut send, &join::describe(&config, targets)?).await?;
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
        let pause = next.unwrap_or(LOOK_PAUSE).min(LOOK_PAUSE);
        let _ = timeout(pause, duty.changed.notified()).await;
    }
}
