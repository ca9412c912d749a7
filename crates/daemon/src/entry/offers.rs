//! The peers duty of an entry: connections to agents, one stream for each offer.

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
/// Times that an offer is sent to one address: again only if a restarted agent reset the connection.
const OFFER_ATTEMPTS: usize = 2;
/// Events of an offer that wait for the caller.
const EVENT_DEPTH: usize = 32;
/// Code with which an entry gives up a stream.
const DROPPED_CODE: VarInt = VarInt::from_u32(2);

/// Sends offers to the peers duty.
pub type OfferSender = mpsc::Sender<OfferJob>;

/// What becomes of an offer.
#[derive(Debug)]
pub enum OfferEvent {
    /// The agent could not be reached: the offer was never sent.
    Unsent(String),
    /// A frame from the agent.
    Frame(AgentFrame),
    /// The stream broke off after the offer was sent.
    Lost(String),
}

/// An offer to make.
#[derive(Debug)]
pub struct OfferJob {
    peer: SocketAddr,
    offer: OfferFrame,
    events: mpsc::Sender<OfferEvent>,
    release: oneshot::Receiver<()>,
}

/// The caller's end of an offer. Dropping it cancels the offer.
#[derive(Debug)]
pub struct OfferHandle {
    /// What becomes of it.
    pub events: mpsc::Receiver<OfferEvent>,
    /// Releases a reserved request to the target.
    pub release: Option<oneshot::Sender<()>>,
}

impl OfferJob {
    /// An offer to the agent at `peer`, and the handle to follow it.
    pub fn new(peer: SocketAddr, offer: OfferFrame) -> (Self, OfferHandle) {
        let (events, receiver) = mpsc::channel(EVENT_DEPTH);
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

/// Runs until all senders are gone.
pub async fn run(settings: Arc<EntrySettings>, mut jobs: mpsc::Receiver<OfferJob>, log: Logger) {
    let endpoint = match link::client_endpoint(settings.listen.ip(), &settings.common.keys) {
        Ok(endpoint) => endpoint,
        Err(error) => {
            error!(log, "no link to agents"; "step" => "bind", "error" => format!("{error:#}"));
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
        let heard = Cell::new(false);
        let carried = carry(send, receive, &offer, &events, &mut release, &heard).await;
        let Err(error) = carried else { return };
        // The agent was restarted since the connection was made, and resets it. Without a word from
        // the one before, the offer was at most reserved, so the new process may have it.
        let is_reset = connection.close_reason() == Some(ConnectionError::Reset);
        if is_reset && !heard.get() && attempt + 1 < OFFER_ATTEMPTS {
            continue;
        }
        let text = format!("agent {peer}: {error:#}");
        let _ = events.send(OfferEvent::Lost(text)).await;
        return;
    }
}

/// A stream to an agent.
struct OpenStream {
    connection: Connection,
    send: SendStream,
    receive: RecvStream,
    in_flight: Arc<AtomicUsize>,
}

async fn carry(
    mut send: SendStream,
    mut receive: RecvStream,
    offer: &OfferFrame,
    events: &mpsc::Sender<OfferEvent>,
    release: &mut oneshot::Receiver<()>,
    heard: &Cell<bool>,
) -> Result<()> {
    let request = offer.request;
    frames::write(&mut send, &EntryFrame::Offer(Box::new(offer.clone()))).await?;
    let reading = read_frames(&mut receive, request, events, heard);
    let releasing = async {
        if release.await.is_ok() {
            frames::write(&mut send, &EntryFrame::Run { request }).await?;
        }
        // Nothing more to say, but the stream stays open: closing it would read as a cancellation.
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
    heard: &Cell<bool>,
) -> Result<()> {
    // A frozen agent answers no offer, and its connection may still look alive.
    let first = timeout(constants::OFFER_TIMEOUT, frames::read::<AgentFrame>(receive)).await;
    let mut next = first.wrap_err("no answer to the offer")??;
    heard.set(true);
    loop {
        let frame = next.ok_or_else(|| eyre!("answer broke off"))?;
        // A frame of another request must never reach this caller.
        ensure!(frame.request() == request, "frame of request {}", frame.request());
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
        let connecting = self.endpoint.connect(peer, PEER_NAME).wrap_err("begin to connect")?;
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
