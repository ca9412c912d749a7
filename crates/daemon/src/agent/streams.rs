//! Accepts entries' connections to an agent; each offer has a stream of its own.

use super::decisions::{AgentCommand, CommandSender};
use crate::link::{frames, heartbeat};
use eyre::{Result, WrapErr, ensure, eyre};
use plantain_core::{
    agent::events::WorkId,
    ids::RequestId,
    protocol::{AgentFrame, EntryFrame, OfferFrame},
};
use plantain_net::count::CountGuard;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream, VarInt};
use slog::{Logger, debug, warn};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::{sleep, timeout},
};

/// Capacity, in frames, of the channel from an answer to its stream.
pub const REPLY_CAPACITY: usize = 32;
/// Longest wait for the offer after an entry has opened a stream.
const OFFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of open connections.
const CONNECTION_LIMIT: usize = 2_048;
/// Reset code of a stream that the agent aborts.
const FAILED_CODE: VarInt = VarInt::from_u32(3);

/// Sends an answer's frames to the entry's stream.
pub type ReplySender = mpsc::Sender<AgentFrame>;

/// Accepts entries' connections and serves their streams.
#[derive(Clone)]
pub struct StreamServer {
    endpoint: Endpoint,
    commands: CommandSender,
    logger: Logger,
    open_streams: Arc<AtomicUsize>,
}

impl StreamServer {
    /// Creates a server on a bound endpoint; `run` accepts the connections.
    pub fn new(endpoint: Endpoint, commands: CommandSender, logger: Logger) -> Self {
        Self { endpoint, commands, logger, open_streams: Arc::default() }
    }

    /// Accepts connections until the endpoint is closed.
    pub async fn run(&self) {
        while let Some(incoming) = self.endpoint.accept().await {
            if self.endpoint.open_connections() >= CONNECTION_LIMIT {
                incoming.refuse();
                continue;
            }
            let server = self.clone();
            spawn_local(async move { server.accept_connection(incoming).await });
        }
    }

    /// Waits until no stream is open, and closes the endpoint.
    pub async fn wait_idle(&self) {
        while self.open_streams.load(Ordering::Acquire) > 0 {
            sleep(Duration::from_millis(5)).await;
        }
        // Waits until the last acknowledgements are sent.
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        self.endpoint.wait_idle().await;
    }

    async fn accept_connection(&self, incoming: Incoming) {
        let peer = incoming.remote_address();
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(error) => {
                warn!(self.logger, "peer refused"; "step" => "handshake", "peer" => %peer,
                    "error" => %error);
                return;
            }
        };
        let in_flight = Arc::new(AtomicUsize::new(0));
        let (connected, count) = (connection.clone(), Arc::clone(&in_flight));
        spawn_local(async move { heartbeat::answer_heartbeats(&connected, &count).await });
        self.accept_streams(&connection, &in_flight, peer).await;
    }

    async fn accept_streams(
        &self,
        connection: &Connection,
        in_flight: &Arc<AtomicUsize>,
        peer: SocketAddr,
    ) {
        while let Ok((send, receive)) = connection.accept_bi().await {
            let counts = [CountGuard::new(in_flight), CountGuard::new(&self.open_streams)];
            let server = self.clone();
            spawn_local(async move {
                let _counts = counts;
                if let Err(error) = server.serve_stream(send, receive).await {
                    debug!(server.logger, "offer ended early"; "step" => "stream",
                        "peer" => %peer, "error" => format!("{error:#}"));
                }
            });
        }
    }

    async fn serve_stream(&self, mut send: SendStream, mut receive: RecvStream) -> Result<()> {
        let first = timeout(OFFER_TIMEOUT, frames::read::<EntryFrame>(&mut receive)).await??;
        let Some(EntryFrame::Offer(offer)) = first else {
            let _ = send.reset(FAILED_CODE);
            return Err(eyre!("the stream does not begin with an offer"));
        };
        let request = offer.request;
        let (replies, mut frames_to_send) = mpsc::channel(REPLY_CAPACITY);
        let work = self.submit(*offer, replies).await?;
        let sending = send_frames(&mut send, &mut frames_to_send);
        let reading = self.read_releases(&mut receive, request, work);
        let result = tokio::select! {
            result = sending => result,
            result = reading => result,
        };
        if result.is_err() {
            let _ = self.commands.send(AgentCommand::Cancel(work)).await;
            let _ = send.reset(FAILED_CODE);
        } else {
            let _ = send.finish();
            // Keeps the stream open until the entry has received all of it.
            let _ = send.stopped().await;
        }
        result
    }

    async fn submit(&self, offer: OfferFrame, replies: ReplySender) -> Result<WorkId> {
        let (sender, receiver) = oneshot::channel();
        let command = AgentCommand::Offer { offer: Arc::new(offer), replies, work: sender };
        self.commands.send(command).await.map_err(|_| eyre!("the decisions duty ended"))?;
        receiver.await.map_err(|_| eyre!("the decisions duty ended"))
    }

    /// Handles the frames that follow an offer. Returns only with an error: the entry keeps its side open
    /// until it has the answer, so an end of the stream means that it gave up.
    async fn read_releases(
        &self,
        receive: &mut RecvStream,
        request: RequestId,
        work: WorkId,
    ) -> Result<()> {
        while let Some(frame) = frames::read::<EntryFrame>(receive).await? {
            let EntryFrame::Run { request: released } = frame else {
                return Err(eyre!("a second offer on one stream"));
            };
            ensure!(released == request, "release of request {released}");
            let _ = self.commands.send(AgentCommand::Release(work)).await;
        }
        Err(eyre!("the entry gave up"))
    }
}

async fn send_frames(
    send: &mut SendStream,
    replies: &mut mpsc::Receiver<AgentFrame>,
) -> Result<()> {
    let mut batch = Vec::with_capacity(REPLY_CAPACITY);
    // All waiting frames are written at once, because a packet costs far more than a frame.
    while replies.recv_many(&mut batch, REPLY_CAPACITY).await > 0 {
        let mut bytes = Vec::new();
        for frame in &batch {
            frames::append(&mut bytes, frame)?;
        }
        send.write_all(&bytes).await.wrap_err("write frames")?;
        if batch.iter().any(AgentFrame::is_last) {
            return Ok(());
        }
        batch.clear();
    }
    Err(eyre!("the answer broke off"))
}
