//! The targets duty of an agent: sends requests and orders to the target and forwards its answers.

use super::{
    crashes::{self, CrashRecorder},
    decisions::{AgentCommand, CommandSender},
    engine,
    streams::ReplySender,
};
use crate::{entry::crashes::request_fingerprint, options::AgentSettings};
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure, eyre};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HOST, RETRY_AFTER},
};
use plantain_core::{
    agent::events::{AgentEvent, WorkId},
    events::{EventScanner, check_answer},
    ids::AdapterKey,
    outcome::RunOutcome,
    protocol::{AgentFrame, OfferFrame, WorkItem},
    target::TargetKind,
};
use plantain_net::{
    body::is_delimited,
    client::{HttpClient, url},
    end_witness::EndWitness,
    platform::{EraTracker, PlatformClient},
};
use slog::{Logger, warn};
use std::{
    rc::Rc,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::spawn_local,
};

/// Largest answer, in bytes, that is buffered to check its model.
const ANSWER_LIMIT: usize = 16 << 20;
/// Hop-by-hop headers of a target's answer, and its length; they are not forwarded.
const DROPPED_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "trailer",
    "upgrade",
    "proxy-authenticate",
];

/// A job at the target, sent by the duty that decides to the duty that calls the target.
#[derive(Debug)]
pub enum TargetJob {
    /// Run a request.
    Run(RunJob),
    /// Load an adapter.
    Load(AdapterKey),
    /// Evict an adapter.
    Evict(AdapterKey),
}

/// A request to run.
#[derive(Debug)]
pub struct RunJob {
    /// Number of the request at this agent.
    pub work: WorkId,
    /// The entry's offer, with the head and body to send.
    pub offer: Arc<OfferFrame>,
    /// Channel to the entry's stream, for the answer.
    pub replies: ReplySender,
    /// Time for which the request waited for its adapter.
    pub load_stall: Duration,
    /// Resolves when the request is to be cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How a request at the target ended.
enum RunEnd {
    /// The complete answer was forwarded; the `End` frame is still to be sent.
    Answered,
    /// No connection could be opened, so the request was not run.
    Unsent,
    /// The engine does not hold the adapter, so the request was not run.
    AdapterMissing,
    /// The request failed after it may have started.
    Failed(String),
    /// The entry gave up the request or disconnected.
    Cancelled,
}

/// State shared by all jobs.
#[derive(Clone)]
pub(super) struct TargetContext {
    pub(super) settings: Arc<AgentSettings>,
    pub(super) commands: CommandSender,
    pub(super) epoch: watch::Receiver<u64>,
    pub(super) http: HttpClient,
    /// Incremented when an order is sent, and again when it is answered.
    pub(super) orders: Arc<AtomicU64>,
    pub(super) crashes: Rc<CrashRecorder>,
    pub(super) logger: Logger,
}

/// Channels of the duty.
pub struct TargetChannels {
    /// Jobs at the target.
    pub jobs: mpsc::Receiver<TargetJob>,
    /// Commands to the duty that decides.
    pub commands: CommandSender,
}

/// Handles jobs until all senders are dropped.
pub async fn run(
    settings: Arc<AgentSettings>,
    channels: TargetChannels,
    epoch: watch::Receiver<u64>,
    eras: EraTracker,
    logger: Logger,
) {
    let TargetChannels { mut jobs, commands } = channels;
    let http = HttpClient::new();
    let crashes = CrashRecorder::new(&settings.common.name, settings.target, logger.clone());
    let platform = PlatformClient::new(settings.common.platform, HttpClient::new()).with_eras(eras);
    spawn_local(crashes::publish(platform, crashes.subscribe(), logger.clone()));
    spawn_local(Rc::clone(&crashes).expire_crashes());
    let orders = Arc::default();
    let context = TargetContext { settings, commands, epoch, http, orders, crashes, logger };
    let watcher = context.clone();
    match context.settings.kind {
        TargetKind::Engine(_) => spawn_local(async move { engine::watch(watcher).await }),
        TargetKind::Service(_) => spawn_local(async move { watch_service(watcher).await }),
    };
    while let Some(job) = jobs.recv().await {
        let context = context.clone();
        match job {
            TargetJob::Run(job) => spawn_local(async move { run_request(context, job).await }),
            TargetJob::Load(key) => spawn_local(async move { engine::load(context, key).await }),
            TargetJob::Evict(key) => spawn_local(async move { engine::evict(context, key).await }),
        };
    }
}

/// Checks a plain service by opening connections: services have no health call in common.
async fn watch_service(context: TargetContext) {
    let mut up = false;
    loop {
        let connected = tokio::net::TcpStream::connect(context.settings.target).await.is_ok();
        if connected != up {
            up = connected;
            let event = AgentEvent::TargetUp(up);
            let _ = context.commands.send(AgentCommand::Event(event)).await;
        }
        tokio::time::sleep(crate::options::constants::POLL_PAUSE).await;
    }
}

async fn run_request(context: TargetContext, job: RunJob) {
    let RunJob { work, offer, replies, load_stall, cancelled } = job;
    let request = offer.request;
    let started = Instant::now();
    let forwarder =
        AnswerForwarder { context: &context, offer: &offer, replies: &replies, load_stall };
    let end = tokio::select! {
        end = forwarder.forward() => end,
        Ok(()) = cancelled => RunEnd::Cancelled,
    };
    let call = request_fingerprint(&offer.work, &offer.head, &offer.body);
    match &end {
        RunEnd::Answered => context.crashes.note_survival(call),
        RunEnd::Failed(_) => context.crashes.note_unresolved_run(call, started.elapsed(), true),
        RunEnd::Cancelled => context.crashes.note_unresolved_run(call, started.elapsed(), false),
        RunEnd::Unsent | RunEnd::AdapterMissing => {}
    }
    match end {
        RunEnd::Unsent => return drop(context.commands.send(AgentCommand::Unsent(work)).await),
        RunEnd::AdapterMissing => {
            let event = AgentEvent::AdapterMissing(work);
            return drop(context.commands.send(AgentCommand::Event(event)).await);
        }
        _ => {}
    }
    let (sender, report) = oneshot::channel();
    let service_time = started.elapsed();
    let ended = AgentCommand::Ended { work, service_time, report: sender };
    let _ = context.commands.send(ended).await;
    let frame = match end {
        RunEnd::Answered => match report.await {
            Ok(report) => AgentFrame::End { request, report },
            Err(_) => return,
        },
        RunEnd::Failed(message) => {
            warn!(context.logger, "request failed"; "step" => "run", "peer" => %context.settings.target,
                "request" => request, "error" => &message);
            AgentFrame::Failed { request, outcome: RunOutcome::Unknown, message }
        }
        _ => return,
    };
    let _ = replies.send(frame).await;
}

/// Forwards the answer to one request.
struct AnswerForwarder<'a> {
    context: &'a TargetContext,
    offer: &'a OfferFrame,
    replies: &'a ReplySender,
    load_stall: Duration,
}

impl AnswerForwarder<'_> {
    async fn forward(&self) -> RunEnd {
        let request = match self.build() {
            Ok(request) => request,
            Err(error) => return RunEnd::Failed(format!("{error:#}")),
        };
        let reply = match self.context.http.send(request).await {
            Ok(reply) => reply,
            Err(error) if error.unsent => return RunEnd::Unsent,
            Err(error) => return RunEnd::Failed(error.message),
        };
        if let Some(backoff) = requested_backoff(&reply) {
            warn!(self.context.logger, "target wants no requests"; "step" => "run",
                "peer" => %self.context.settings.target,
                "for_ms" => u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX));
            let event = AgentEvent::TargetBacksOff(backoff);
            let _ = self.context.commands.send(AgentCommand::Event(event)).await;
        }
        let result = match &self.offer.work {
            WorkItem::Service { .. } => self.forward_body(reply, None).await,
            WorkItem::Completion { key, .. } => match reply.status() {
                StatusCode::NOT_FOUND => return RunEnd::AdapterMissing,
                status if !status.is_success() => self.forward_body(reply, None).await,
                _ if is_event_stream(&reply) => self.forward_events(reply, key).await,
                _ => self.forward_checked(reply, key).await,
            },
        };
        match result {
            Ok(()) => RunEnd::Answered,
            Err(error) => RunEnd::Failed(format!("{error:#}")),
        }
    }

    fn build(&self) -> Result<Request<Full<Bytes>>> {
        let head = &self.offer.head;
        let uri = url(self.context.settings.target, &head.path);
        let mut request = Request::builder().method(head.method.as_str()).uri(uri);
        for (name, value) in &head.headers {
            request = request.header(name.as_str(), value.as_ref());
        }
        let request = request.header(HOST, self.context.settings.target.to_string());
        request.body(Full::new(self.offer.body.clone())).wrap_err("build request")
    }

    /// Forwards an answer without a check, chunk by chunk.
    async fn forward_body(
        &self,
        reply: Response<Incoming>,
        ran_on: Option<&AdapterKey>,
    ) -> Result<()> {
        self.send_head(&reply, ran_on).await?;
        let witness =
            (!is_delimited(reply.headers())).then(|| EndWitness::new(self.context.settings.target));
        let mut body = reply.into_body();
        while let Some(data) = next_chunk(&mut body).await? {
            self.send_chunk(data).await?;
        }
        if let Some(witness) = witness {
            let has_ended = self.context.crashes.has_target_ended(witness).await;
            ensure!(!has_ended, "the target ended, and its answer with it");
        }
        Ok(())
    }

    /// Forwards an event stream. Only complete lines are sent, each after a check of its model.
    async fn forward_events(&self, reply: Response<Incoming>, key: &AdapterKey) -> Result<()> {
        let mut scanner = EventScanner::new(key.to_string());
        let (parts, mut body) = reply.into_parts();
        let reply = Response::from_parts(parts, ());
        let mut has_head = false;
        while let Some(data) = next_chunk(&mut body).await? {
            let lines = scanner.push(&data).wrap_err("check answer")?;
            if lines.is_empty() {
                continue;
            }
            if !has_head {
                self.send_head(&reply, Some(key)).await?;
                has_head = true;
            }
            self.send_chunk(lines).await?;
        }
        ensure!(scanner.has_ended(), "the engine's answer stopped before its end marker");
        Ok(())
    }

    /// Buffers an answer, checks its model and forwards it.
    async fn forward_checked(&self, reply: Response<Incoming>, key: &AdapterKey) -> Result<()> {
        let (parts, body) = reply.into_parts();
        let limited = http_body_util::Limited::new(body, ANSWER_LIMIT);
        let body = limited.collect().await.map_err(|error| eyre!("read answer: {error}"))?;
        let body = body.to_bytes();
        check_answer(&key.to_string(), &body).wrap_err("check answer")?;
        self.send_head(&Response::from_parts(parts, ()), Some(key)).await?;
        self.send_chunk(body).await
    }

    async fn send_head<B>(&self, reply: &Response<B>, ran_on: Option<&AdapterKey>) -> Result<()> {
        let kept = reply.headers().iter().filter(|(n, _)| !DROPPED_HEADERS.contains(&n.as_str()));
        let headers =
            kept.map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())));
        self.send(AgentFrame::Head {
            request: self.offer.request,
            status: reply.status().as_u16(),
            headers: headers.collect(),
            ran_on: ran_on.cloned(),
            load_stall: self.load_stall,
        })
        .await
    }

    async fn send_chunk(&self, data: Bytes) -> Result<()> {
        self.send(AgentFrame::Chunk { request: self.offer.request, data }).await
    }

    /// Sends a frame to the entry. A non-idempotent request goes on when its entry has disconnected, so
    /// that it takes effect completely; only its answer is lost.
    async fn send(&self, frame: AgentFrame) -> Result<()> {
        match self.replies.send(frame).await {
            Ok(()) => Ok(()),
            Err(_) if !self.offer.idempotent => Ok(()),
            Err(_) => Err(eyre!("the entry disconnected")),
        }
    }
}

/// The `Retry-After` time of a 503 answer, if it is given in seconds.
fn requested_backoff(reply: &Response<Incoming>) -> Option<Duration> {
    let is_unavailable = reply.status() == StatusCode::SERVICE_UNAVAILABLE;
    let header = reply.headers().get(RETRY_AFTER).filter(|_| is_unavailable)?;
    header.to_str().ok()?.trim().parse().ok().map(Duration::from_secs)
}

async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.wrap_err("read answer")?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

fn is_event_stream(reply: &Response<Incoming>) -> bool {
    let content_type = reply.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}
