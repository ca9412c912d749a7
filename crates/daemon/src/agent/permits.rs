//! Load permits for an agent: asked of the broker, or of its own small share without one.

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
/// Entries that are asked for one permit.
const BROKER_ATTEMPTS: usize = 4;
/// Time for which an entry that could not be reached is passed over.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Pause between looks at the own share.
const SHARE_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a broker's grant before the own share is asked too. A frozen broker must not
/// stop all loads; a busy one is overrun by at most the shares.
const GRANT_TIMEOUT: Duration = Duration::from_secs(8);

/// Entries that may grant permits.
pub type EntryList = watch::Receiver<Vec<EntryRecord>>;

/// What the decisions ask of this duty.
#[derive(Debug)]
pub enum PermitJob {
    /// Get a permit.
    Ask(AdapterKey, LoadUrgency),
    /// Give it back, or stop asking.
    End(AdapterKey),
}

struct PermitDuty {
    settings: Arc<AgentSettings>,
    endpoint: Endpoint,
    entries: EntryList,
    commands: CommandSender,
    connection: RefCell<Option<(SocketAddr, Connection)>>,
    avoided: RefCell<HashMap<SocketAddr, Instant>>,
    share: RefCell<PermitPool>,
    requests: Arc<AtomicUsize>,
    started: Instant,
    logger: Logger,
}

/// Runs until all senders are gone.
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
            slog::error!(logger, "no link to brokers"; "step" => "bind",
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
        share: RefCell::new(PermitPool::new(limits, Duration::ZERO)),
        requests: Arc::default(),
        started: Instant::now(),
        logger,
    });
    let mut open: HashMap<AdapterKey, OpenRequest> = HashMap::new();
    while let Some(job) = jobs.recv().await {
        match job {
            PermitJob::Ask(key, urgency) => {
                if let Some(request) = open.get(&key) {
                    request.urgency.send_replace(urgency);
                    continue;
                }
                let (end, ended) = oneshot::channel();
                let (sender, receiver) = watch::channel(urgency);
                open.insert(key.clone(), OpenRequest { urgency: sender, _end: end });
                spawn_local(Rc::clone(&duty).follow(key, receiver, ended));
            }
            PermitJob::End(key) => drop(open.remove(&key)),
        }
    }
}

/// A request under way. Dropping it ends the request.
struct OpenRequest {
    urgency: watch::Sender<LoadUrgency>,
    _end: oneshot::Sender<()>,
}

impl PermitDuty {
    /// Gets one permit and holds it until it is given back.
    async fn follow(
        self: Rc<Self>,
        key: AdapterKey,
        mut urgency: watch::Receiver<LoadUrgency>,
        ended: oneshot::Receiver<()>,
    ) {
        let request = PermitRequest { target: self.settings.common.name.clone(), key: key.clone() };
        let getting = async {
            let asked = timeout(GRANT_TIMEOUT, self.ask_brokers(&request, &mut urgency)).await;
            if let Ok(Some(permit)) = asked {
                return Some(permit);
            }
            let last = *urgency.borrow();
            self.ask_share(&request, last).await;
            None
        };
        tokio::pin!(ended);
        let permit = tokio::select! {
            permit = getting => permit,
            _ = &mut ended => {
                self.share.borrow_mut().end(&request);
                return;
            }
        };
        let event = AgentEvent::LoadPermitted(key);
        let _ = self.commands.send(AgentCommand::Event(event)).await;
        let _ = ended.await;
        self.share.borrow_mut().end(&request);
        // Ends the broker's stream, which gives the permit back.
        drop(permit);
    }

    /// Asks one entry after another: a broker that dies is found out by its silence, and the next in
    /// the order takes its place.
    async fn ask_brokers(
        &self,
        request: &PermitRequest,
        urgency: &mut watch::Receiver<LoadUrgency>,
    ) -> Option<quinn::SendStream> {
        let _count = CountGuard::new(&self.requests);
        for _ in 0..BROKER_ATTEMPTS {
            match self.ask_broker(request, urgency).await {
                Ok(permit) => return Some(permit),
                Err(failure) => {
                    debug!(self.logger, "no permit"; "step" => "permit",
                        "error" => format!("{failure:#}"));
                }
            }
        }
        None
    }

    /// Asks the first entry in rendezvous order that can be reached, and returns the stream that
    /// holds the permit.
    async fn ask_broker(
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
            let ask = PeerFrame::Ask { request: request.clone(), urgency: urgency_now };
            frames::write(&mut send, &ask).await?;
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
            let known = self.connection.borrow().clone();
            if let Some((address, connection)) = known
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
        let connected = timeout(CONNECT_TIMEOUT, connecting).await.wrap_err("broker is silent")?;
        connected.wrap_err("connect to broker")
    }

    /// Entries in rendezvous order for the weight store, without those that just failed. Every
    /// agent gets the same order with no message.
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

    /// Without a broker, each agent loads at its own small share of the store's rate.
    async fn ask_share(&self, request: &PermitRequest, urgency: LoadUrgency) {
        self.share.borrow_mut().enqueue(request.clone(), urgency, self.started.elapsed());
        loop {
            // A grant to another follower shows when that one looks.
            self.share.borrow_mut().grant(self.started.elapsed());
            if self.share.borrow().holds(request) {
                return;
            }
            sleep(SHARE_PAUSE).await;
        }
    }
}
