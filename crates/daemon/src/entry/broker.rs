//! The broker duty of an entry: grants load permits to the agents that ask here.
//!
//! Agents ask the entry that rendezvous hashing picks, so in a quiet fleet one desk sees all loads
//! of a weight store. Nothing is kept or agreed on: two brokers for a moment only slow loads down.

use super::{
    decisions::{DecisionCommand, DecisionSender},
    join,
};
use crate::{
    link::{frames, pulse, server_endpoint},
    options::EntrySettings,
    telemetry::names,
};
use eyre::{Result, eyre};
use metrics::{counter, gauge};
use plantain_core::{
    config::ConfigSnapshot,
    permits::{PermitClaim, PermitDesk},
    protocol::{GrantFrame, PeerFrame},
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

/// Longest sleep between looks at the desk.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

struct BrokerState {
    desk: PermitDesk,
    waiting: HashMap<PermitClaim, oneshot::Sender<()>>,
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
    let desk = PermitDesk::new(settings.permits, Duration::ZERO);
    let duty = Rc::new(BrokerDuty {
        config,
        decisions,
        state: RefCell::new(BrokerState { desk, waiting: HashMap::new() }),
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
    // The agent's pulses tell it that this broker lives. A silent agent holds no place here: its
    // permits lapse by themselves.
    let pulsed = connection.clone();
    spawn_local(async move { pulse::answer_pulses(&pulsed, &AtomicUsize::new(0)).await });
    while let Ok((send, receive)) = connection.accept_bi().await {
        let duty = Rc::clone(&duty);
        spawn_local(async move {
            if let Err(failure) = serve_claim(&duty, send, receive).await {
                debug!(duty.logger, "permit ended early"; "step" => "permit",
                    "error" => format!("{failure:#}"));
            }
        });
    }
}

/// Follows one claim from the first question to the end of its stream, which gives it back.
async fn serve_claim(
    duty: &BrokerDuty,
    mut send: SendStream,
    mut receive: RecvStream,
) -> Result<()> {
    let (claim, urgency) = match frames::read(&mut receive).await? {
        Some(PeerFrame::Ask { claim, urgency }) => (claim, urgency),
        Some(PeerFrame::Join) => return duty.tell_joiner(send).await,
        None => return Err(eyre!("the stream ended before its question")),
    };
    let (granted, mut grant) = oneshot::channel();
    {
        let mut state = duty.state.borrow_mut();
        state.desk.ask(claim.clone(), urgency, duty.started.elapsed());
        state.waiting.insert(claim.clone(), granted);
    }
    duty.changed.notify_one();
    let mut is_granted = false;
    let result = loop {
        tokio::select! {
            Ok(()) = &mut grant, if !is_granted => {
                is_granted = true;
                let frame = GrantFrame { claim: claim.clone() };
                if let Err(failure) = frames::write(&mut send, &frame).await {
                    break Err(failure);
                }
            }
            frame = frames::read::<PeerFrame>(&mut receive) => match frame {
                // News of a claim that was granted meanwhile must not make it wait again.
                Ok(Some(_)) if is_granted => {}
                Ok(Some(PeerFrame::Ask { urgency, .. })) => {
                    let now = duty.started.elapsed();
                    duty.state.borrow_mut().desk.ask(claim.clone(), urgency, now);
                }
                Ok(Some(PeerFrame::Join)) => break Err(eyre!("a second question on one stream")),
                Ok(None) => break Ok(()),
                Err(failure) => break Err(failure),
            },
        }
    };
    let mut state = duty.state.borrow_mut();
    state.desk.end(&claim);
    state.waiting.remove(&claim);
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
            for claim in state.desk.grant(now) {
                counter!(names::PERMITS).increment(1);
                if let Some(granted) = state.waiting.remove(&claim) {
                    let _ = granted.send(());
                }
            }
            gauge!(names::PERMITS_WAITING).set(state.desk.waiting() as f64);
            state.desk.next_grant(now)
        };
        let pause = next.unwrap_or(LOOK_PAUSE).min(LOOK_PAUSE);
        let _ = timeout(pause, duty.changed.notified()).await;
    }
}
