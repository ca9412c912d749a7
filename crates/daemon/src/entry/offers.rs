//! The peers duty of an entry: keeps connections to agents and sends each offer on its own stream.

use crate::{
    link::{self, PEER_NAME, frames, heartbeat},
    options::{EntrySettings, constants},
};
use eyre::{Result, WrapErr, ensure, eyre};
use plantain_core::{
    ids::RequestId,
    protocol::{AgentFrame, EntryFrame, OfferFrame},
};
use plantain_net::count::CountGuard;
use quinn::{Connection, ConnectionError, Endpoint, RecvStream, SendStream, VarInt};
use slog::{Logger, debug, error};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};
use tokio::{
    sync::{Mutex, mpsc, oneshot},
    task::spawn_local,
    time::timeout,
};

/// Longest wait for a connection to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest number of times that an offer is sent to one address. It is sent a second time only if a
/// restarted agent reset the connection.
const OFFER_ATTEMPTS: usize = 2;
/// Capacity of the channel with an offer's events.
const EVENT_CAPACITY: usize = 32;
/// QUIC error code of a stream that the entry cancels.
const DROPPED_CODE: VarInt = VarInt::from_u32(2);

/// Sends offers to the peers duty.
pub type OfferSender = mpsc::Sender<OfferJob>;

/// Progress of an offer.
#[derive(Debug)]
pub enum OfferEvent {
    /// The agent could not be reached, so the offer was never sent.
    Unsent(String),
    /// A frame from the agent.
    Frame(AgentFrame),
    /// The stream failed after the offer was sent.
    Lost(String),
}

/// An offer to send to an agent.
#[derive(Debug)]
pub struct OfferJob {
    peer: SocketAddr,
    offer: OfferFrame,
    events: mpsc::Sender<OfferEvent>,
    release: oneshot::Receiver<()>,
}

/// Handle of an offer in flight. Dropping it cancels the offer.
#[derive(Debug)]
pub struct OfferHandle {
    /// The offer's events, ending with the last frame or a failure.
    pub events: mpsc::Receiver<OfferEvent>,
    /// Makes the agent run a reserved request; `None` once used.
    pub release: Option<oneshot::Sender<()>>,
}

impl OfferJob {
    /// Creates an offer to the agent at `peer`, and its handle.
    pub fn new(peer: SocketAddr, offer: OfferFrame) -> (Self, OfferHandle) {
        let (events, receiver) = mpsc::channel(EVENT_CAPACITY);
        let (sender, release) = oneshot::channel();
        let handle = OfferHandle { events: receiver, release: Some(sender) };
        (Self { peer, offer, events, release }, handle)
    }
}

struct PeerConnection {
    connection: Connection,
    in_flight: Arc<AtomicUsize>,
}

type PeerSlot = Rc<Mutex<Option<PeerConnection>>>;

struct OfferDuty {
    endpoint: Endpoint,
    peers: RefCell<HashMap<SocketAddr, PeerSlot>>,
    logger: Logger,
}

/// Sends offers until all senders are dropped.
pub async fn run(settings: Arc<EntrySettings>, mut jobs: mpsc::Receiver<OfferJob>, log: Logger) {
    let endpoint = match link::client_endpoint(settings.listen.ip(), &settings.common.keys) {
        Ok(endpoint) => endpoint,
        Err(error) => {
            error!(log, "cannot open an endpoint for agents"; "step" => "bind",
                "error" => format!("{error:#}"));
            return;
        }
    };
    let duty = Rc::new(OfferDuty { endpoint, peers: RefCell::default(), logger: log });
    while let Some(job) = jobs.recv().await {
        spawn_local(make_offer(Rc::clone(&duty), job));
    }
}

async fn make_offer(duty: Rc<OfferDuty>, job: OfferJob) {
    let OfferJob { peer, offer, events, mut release } = job;
    for attempt in 0..OFFER_ATTEMPTS {
        let opened = tokio::select! {
            opened = duty.open(peer) => opened,
            () = events.closed() => return,
        };
        let opened = match opened {
            Ok(opened) => opened,
            Err(error) => {
                let text = format!("connect to agent {peer}: {error:#}");
                debug!(duty.logger, "offer not sent"; "step" => "connect", "peer" => %peer,
                    "request" => offer.request, "error" => &text);
                let _ = events.send(OfferEvent::Unsent(text)).await;
                return;
            }
        };
        let OpenStream { connection, send, receive, in_flight } = opened;
        let _guard = CountGuard::new(&in_flight);
        let is_answered = Cell::new(false);
        let result = run_offer(send, receive, &offer, &events, &mut release, &is_answered).await;
        let Err(error) = result else { return };
        // An agent that has restarted resets the connection to its predecessor. If the predecessor
        // sent no answer, it at most reserved the request, so the new process may be offered it.
        let is_reset = connection.close_reason() == Some(ConnectionError::Reset);
        if is_reset && !is_answered.get() && attempt + 1 < OFFER_ATTEMPTS {
            continue;
        }
        let text = format!("agent {peer}: {error:#}");
        let _ = events.send(OfferEvent::Lost(text)).await;
        return;
    }
}

/// A stream to an agent, its connection, and the number of requests in flight on that connection.
struct OpenStream {
    connection: Connection,
    send: SendStream,
    receive: RecvStream,
    in_flight: Arc<AtomicUsize>,
}

async fn run_offer(
    mut send: SendStream,
    mut receive: RecvStream,
    offer: &OfferFrame,
    events: &mpsc::Sender<OfferEvent>,
    release: &mut oneshot::Receiver<()>,
    is_answered: &Cell<bool>,
) -> Result<()> {
    let request = offer.request;
    frames::write(&mut send, &EntryFrame::Offer(Box::new(offer.clone()))).await?;
    let reading = read_frames(&mut receive, request, events, is_answered);
    let releasing = async {
        if release.await.is_ok() {
            frames::write(&mut send, &EntryFrame::Run { request }).await?;
        }
        // Keeps the stream open: the agent would take its end for a cancellation.
        std::future::pending::<Result<()>>().await
    };
    let result = tokio::select! {
        result = reading => result,
        result = releasing => result,
        () = events.closed() => {
            let _ = send.reset(DROPPED_CODE);
            let _ = receive.stop(DROPPED_CODE);
            return Ok(());
        }
    };
    if result.is_ok() {
        let _ = send.finish();
    }
    result
}

async fn read_frames(
    receive: &mut RecvStream,
    request: RequestId,
    events: &mpsc::Sender<OfferEvent>,
    is_answered: &Cell<bool>,
) -> Result<()> {
    // A suspended agent answers no offer although its connection may still look alive.
    let first = timeout(constants::OFFER_TIMEOUT, frames::read::<AgentFrame>(receive)).await;
    let mut next = first.wrap_err("no answer to the offer")??;
    is_answered.set(true);
    loop {
        let frame = next.ok_or_else(|| eyre!("the stream ended before the answer"))?;
        // A frame of another request must never reach this caller.
        ensure!(frame.request() == request, "frame of another request, {}", frame.request());
        let is_last = frame.is_last();
        if events.send(OfferEvent::Frame(frame)).await.is_err() || is_last {
            return Ok(());
        }
        next = frames::read(receive).await?;
    }
}

impl OfferDuty {
    async fn open(&self, peer: SocketAddr) -> Result<OpenStream> {
        let (connection, in_flight) = self.connection(peer).await?;
        let (send, receive) = connection.open_bi().await.wrap_err("open stream")?;
        Ok(OpenStream { connection, send, receive, in_flight })
    }

    async fn connection(&self, peer: SocketAddr) -> Result<(Connection, Arc<AtomicUsize>)> {
        let slot = Rc::clone(self.peers.borrow_mut().entry(peer).or_default());
        let mut slot = slot.lock().await;
        if let Some(known) = &*slot
            && known.connection.close_reason().is_none()
        {
            return Ok((known.connection.clone(), Arc::clone(&known.in_flight)));
        }
        let connecting = self.endpoint.connect(peer, PEER_NAME).wrap_err("start to connect")?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .wrap_err("no answer")?
            .wrap_err("handshake")?;
        let in_flight = Arc::new(AtomicUsize::new(0));
        let (connected, count) = (connection.clone(), Arc::clone(&in_flight));
        spawn_local(async move { heartbeat::send_heartbeats(&connected, &count).await });
        *slot =
            Some(PeerConnection { connection: connection.clone(), in_flight: in_flight.clone() });
        Ok((connection, in_flight))
    }
}
