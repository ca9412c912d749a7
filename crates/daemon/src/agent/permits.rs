//! Requests load permits for an agent: from the broker, or from the agent's own pool if no broker grants one.

use super::decisions::{AgentCommand, CommandSender};
use crate::{
    link::{self, PEER_NAME, frames, heartbeat},
    options::AgentSettings,
};
use eyre::{Result, WrapErr, eyre};
use plantain_core::{
    agent::events::AgentEvent,
    ids::AdapterKey,
    permits::{PermitLimits, PermitOrder, PermitPool},
    priority::LoadUrgency,
    protocol::{GrantFrame, PeerFrame, PermitRequest},
    rendezvous,
};
use plantain_net::{count::CountGuard, platform::records::EntryRecord};
use quinn::{Connection, Endpoint};
use slog::{Logger, debug, info};
use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::AtomicUsize},
    time::{Duration, Instant},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::spawn_local,
    time::{sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64;

/// Longest wait for a connection to a broker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Broker attempts for one permit before the agent's own pool is used.
const BROKER_ATTEMPTS: usize = 4;
/// Time for which an entry that could not be reached is skipped.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Pause between checks of the agent's own pool.
const LOCAL_POLL_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a broker's grant before the agent's own pool is used. A frozen broker must not stop
/// all loads; a busy broker's rate is exceeded at most by the sum of the agents' own rates.
const GRANT_TIMEOUT: Duration = Duration::from_secs(8);

/// Current entries, each of which may be the broker that grants permits.
pub type EntryList = watch::Receiver<Vec<EntryRecord>>;

/// Jobs that the decisions duty sends to this duty.
#[derive(Debug)]
pub enum PermitJob {
    /// Get a permit for a load; sent again to change the urgency of a request that waits.
    Request(AdapterKey, LoadUrgency),
    /// Return the permit, or cancel the request for it.
    Release(AdapterKey),
}

struct PermitDuty {
    settings: Arc<AgentSettings>,
    endpoint: Endpoint,
    entries: EntryList,
    commands: CommandSender,
    connection: RefCell<Option<(SocketAddr, Connection)>>,
    avoided: RefCell<HashMap<SocketAddr, Instant>>,
    local_pool: RefCell<PermitPool>,
    requests: Arc<AtomicUsize>,
    started: Instant,
    logger: Logger,
}

/// Handles jobs until all senders are dropped.
pub async fn run(
    settings: Arc<AgentSettings>,
    mut jobs: mpsc::Receiver<PermitJob>,
    entries: EntryList,
    commands: CommandSender,
    logger: Logger,
) {
    let endpoint = match link::client_endpoint(settings.listen.ip(), &settings.common.keys) {
        Ok(endpoint) => endpoint,
        Err(failure) => {
            slog::error!(logger, "cannot open an endpoint for brokers"; "step" => "bind",
                "error" => format!("{failure:#}"));
            return;
        }
    };
    let limits = PermitLimits {
        rate: settings.load_rate,
        active: settings.load_limit,
        order: PermitOrder::Urgency,
    };
    let duty = Rc::new(PermitDuty {
        settings,
        endpoint,
        entries,
        commands,
        connection: RefCell::new(None),
        avoided: RefCell::new(HashMap::new()),
        local_pool: RefCell::new(PermitPool::new(limits, Duration::ZERO)),
        requests: Arc::default(),
        started: Instant::now(),
        logger,
    });
    let mut open_requests: HashMap<AdapterKey, OpenRequest> = HashMap::new();
    while let Some(job) = jobs.recv().await {
        match job {
            PermitJob::Request(key, urgency) => {
                if let Some(request) = open_requests.get(&key) {
                    request.urgency.send_replace(urgency);
                    continue;
                }
                let (end, ended) = oneshot::channel();
                let (sender, receiver) = watch::channel(urgency);
                open_requests.insert(key.clone(), OpenRequest { urgency: sender, _end: end });
                spawn_local(Rc::clone(&duty).hold_permit(key, receiver, ended));
            }
            PermitJob::Release(key) => drop(open_requests.remove(&key)),
        }
    }
}

/// A permit that is requested or held. Dropping it cancels the request or returns the permit.
struct OpenRequest {
    urgency: watch::Sender<LoadUrgency>,
    _end: oneshot::Sender<()>,
}

impl PermitDuty {
    /// Gets one permit and holds it until `ended` resolves.
    async fn hold_permit(
        self: Rc<Self>,
        key: AdapterKey,
        mut urgency: watch::Receiver<LoadUrgency>,
        ended: oneshot::Receiver<()>,
    ) {
        let request = PermitRequest { target: self.settings.common.name.clone(), key: key.clone() };
        let acquiring = async {
            let granted =
                timeout(GRANT_TIMEOUT, self.request_from_brokers(&request, &mut urgency)).await;
            if let Ok(Some(permit)) = granted {
                return Some(permit);
            }
            let latest_urgency = *urgency.borrow();
            self.wait_for_local_permit(&request, latest_urgency).await;
            None
        };
        tokio::pin!(ended);
        let permit = tokio::select! {
            permit = acquiring => permit,
            _ = &mut ended => {
                self.local_pool.borrow_mut().end(&request);
                return;
            }
        };
        let event = AgentEvent::LoadPermitted(key);
        let _ = self.commands.send(AgentCommand::Event(event)).await;
        let _ = ended.await;
        self.local_pool.borrow_mut().end(&request);
        // Closes the stream to the broker, which returns the permit.
        drop(permit);
    }

    /// Requests a permit from one entry after another. A dead broker's connection times out, and the next
    /// entry in rendezvous order becomes the broker.
    async fn request_from_brokers(
        &self,
        request: &PermitRequest,
        urgency: &mut watch::Receiver<LoadUrgency>,
    ) -> Option<quinn::SendStream> {
        let _count = CountGuard::new(&self.requests);
        for _ in 0..BROKER_ATTEMPTS {
            match self.request_from_broker(request, urgency).await {
                Ok(permit) => return Some(permit),
                Err(failure) => {
                    debug!(self.logger, "permit request failed"; "step" => "permit",
                        "error" => format!("{failure:#}"));
                }
            }
        }
        None
    }

    /// Requests a load permit from the first reachable entry in rendezvous order. The agent holds the
    /// permit as long as the returned stream is open.
    async fn request_from_broker(
        &self,
        request: &PermitRequest,
        urgency: &mut watch::Receiver<LoadUrgency>,
    ) -> Result<quinn::SendStream> {
        let connection = self.broker().await?;
        let (mut send, mut receive) = connection.open_bi().await.wrap_err("open permit stream")?;
        let grant = frames::read::<GrantFrame>(&mut receive);
        tokio::pin!(grant);
        loop {
            let urgency_now = *urgency.borrow_and_update();
            let frame = PeerFrame::Ask { request: request.clone(), urgency: urgency_now };
            frames::write(&mut send, &frame).await?;
            tokio::select! {
                granted = &mut grant => return match granted? {
                    Some(grant) if grant.request == *request => Ok(send),
                    _ => Err(eyre!("the broker ended without a grant")),
                },
                Ok(()) = urgency.changed() => {}
            }
        }
    }

    async fn broker(&self) -> Result<Connection> {
        for peer in self.brokers() {
            let current = self.connection.borrow().clone();
            if let Some((address, connection)) = current
                && address == peer
                && connection.close_reason().is_none()
            {
                return Ok(connection);
            }
            if let Ok(connection) = self.connect(peer).await {
                info!(self.logger, "broker found"; "step" => "permit", "peer" => %peer);
                let (connected, requests) = (connection.clone(), Arc::clone(&self.requests));
                spawn_local(async move { heartbeat::send_heartbeats(&connected, &requests).await });
                *self.connection.borrow_mut() = Some((peer, connection.clone()));
                return Ok(connection);
            }
            self.avoided.borrow_mut().insert(peer, Instant::now());
        }
        Err(eyre!("no entry can be reached for permits"))
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Connection> {
        let connecting = self.endpoint.connect(peer, PEER_NAME).wrap_err("connect to broker")?;
        let connected =
            timeout(CONNECT_TIMEOUT, connecting).await.wrap_err("broker did not answer in time")?;
        connected.wrap_err("connect to broker")
    }

    /// Entries in rendezvous order for the weight store, without those that failed recently. All agents
    /// compute the same order without messages.
    fn brokers(&self) -> Vec<SocketAddr> {
        let store = self.settings.weight_store.map(|store| store.to_string()).unwrap_or_default();
        let entries = self.entries.borrow();
        let nodes = entries.iter().map(|entry| entry.name.as_str()).enumerate();
        let order = rendezvous::first_choices(xxh3_64(store.as_bytes()), nodes, entries.len());
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, since| since.elapsed() < AVOID_TIME);
        let peers = order.into_iter().map(|index| entries[index].peer);
        peers.filter(|peer| !avoided.contains_key(peer)).collect()
    }

    /// Waits for a permit from the agent's own pool, whose rate is a small share of the store's rate.
    async fn wait_for_local_permit(&self, request: &PermitRequest, urgency: LoadUrgency) {
        self.local_pool.borrow_mut().enqueue(request.clone(), urgency, self.started.elapsed());
        loop {
            // This may grant another waiter's request, which finds it at its next check.
            self.local_pool.borrow_mut().grant(self.started.elapsed());
            if self.local_pool.borrow().holds(request) {
                return;
            }
            sleep(LOCAL_POLL_PAUSE).await;
        }
    }
}
