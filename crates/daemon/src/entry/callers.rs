//! The callers duty of an entry: accepts callers' HTTP requests, offers them to agents, and sends
//! the answers back.

use super::{
    crashes::QuarantinedCalls,
    decisions::DecisionSender,
    exchange::{Exchange, ExchangeEnd},
    idempotency::{self, RecordSender},
    offers::OfferSender,
    replays::{FirstRequest, ReplayRefusal, ReplayTable},
    reply::RequestError,
    request::{self, AdmittedRequest, ID_HEADER, RequestPath},
    status::EntryStatus,
};
use crate::{
    options::{EntrySettings, constants},
    telemetry::{StatusSource, names},
};
use bytes::Bytes;
use hyper::{
    HeaderMap, Request, StatusCode,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue},
    http::request::Parts,
};
use metrics::{counter, gauge};
use plantain_core::{
    burn::RequestOutcome,
    config::ConfigSnapshot,
    idempotency::{RecordChange, RecordKey, RecordVerdict},
    ids::{CallerName, RequestId},
    memory::MemoryShares,
    outcome::RunOutcome,
    priority::Priority,
    protocol::WorkItem,
};
use plantain_net::{
    request_body::{BodyError, BodyLimits, BodyMemory, discard},
    server::{self, HttpHandler, HttpReply, ServerOptions, json_reply, text_reply},
};
use serde_json::json;
use slog::{Logger, info, o};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    time::{sleep, timeout},
};

/// `Retry-After` of requests that are refused because the entry has no free slot, agents keep
/// reporting newer configurations, the shard of the idempotency record is full, or all keys in the
/// table of replays are in flight.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which a stopping entry still accepts connections, so that the load balancer sees that
/// it is not ready before a caller's connection is refused.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Longest wait for a configuration revision that an agent already has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of attempts to resolve a request. Each attempt after the first is made because an
/// agent reported a newer configuration.
const RESOLVE_ATTEMPTS: usize = 3;

/// Channels from the callers duty to the other duties.
#[derive(Clone, Debug)]
pub struct CallerChannels {
    /// Commands to the decisions duty.
    pub decisions: DecisionSender,
    /// Offers to the peers duty.
    pub offers: OfferSender,
    /// Changes of records to the idempotency duty.
    pub records: RecordSender,
}

/// State shared by all callers' requests.
#[derive(Clone, Debug)]
pub struct CallerContext {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) config: watch::Receiver<Arc<ConfigSnapshot>>,
    /// Fingerprints of quarantined requests, which must not be offered.
    pub(crate) quarantined: watch::Receiver<QuarantinedCalls>,
    pub(crate) decisions: DecisionSender,
    pub(crate) offers: OfferSender,
    pub(crate) logger: Logger,
    records: RecordSender,
    replays: ReplayTable,
    status: EntryStatus,
    slots: Arc<Semaphore>,
    bodies: BodyMemory,
    next_id: Arc<AtomicU64>,
}

impl CallerContext {
    /// Creates the state shared by all requests; `channels` lead to the other duties.
    pub fn new(
        settings: Arc<EntrySettings>,
        config: watch::Receiver<Arc<ConfigSnapshot>>,
        quarantined: watch::Receiver<QuarantinedCalls>,
        channels: CallerChannels,
        status: EntryStatus,
        logger: Logger,
    ) -> Self {
        let CallerChannels { decisions, offers, records } = channels;
        let slots = Arc::new(Semaphore::new(settings.requests));
        let bodies = BodyMemory::new(&MemoryShares::new(settings.memory));
        // Ids start at a random number, so that a restarted entry does not reuse its earlier ones.
        let next_id = Arc::new(AtomicU64::new(rand::random::<u64>() >> 1));
        let replays = ReplayTable::default();
        Self {
            settings,
            config,
            quarantined,
            decisions,
            offers,
            logger,
            records,
            replays,
            status,
            slots,
            bodies,
            next_id,
        }
    }
}

/// Serves callers until the stop signal, then until all requests in flight have ended, for at most
/// [`constants::DRAIN_TIMEOUT`].
pub async fn run(
    listener: TcpListener,
    context: CallerContext,
    mut stopping: watch::Receiver<bool>,
) {
    let (closing, closed) = watch::channel(false);
    let options = ServerOptions { connections: context.settings.connections };
    let serving = server::serve(listener, context, options, closed);
    let stop = async {
        let _ = stopping.wait_for(|stop| *stop).await;
        sleep(LINGER_TIME).await;
        closing.send_replace(true);
        sleep(constants::DRAIN_TIMEOUT).await;
    };
    tokio::select! {
        () = serving => {}
        () = stop => {}
    }
}

impl HttpHandler for CallerContext {
    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> HttpReply {
        let mut reply = self.answer(request, peer).await;
        if self.status.is_stopping() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }
}

impl CallerContext {
    async fn answer(&self, request: Request<Incoming>, peer: SocketAddr) -> HttpReply {
        match request.uri().path() {
            "/healthz" => return text_reply(StatusCode::OK, "ok\n"),
            "/readyz" if self.status.is_ready() => return text_reply(StatusCode::OK, "ready\n"),
            "/readyz" => return text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ => {}
        }
        let Ok(_slot) = self.slots.try_acquire() else {
            counter!(names::REFUSALS, "reason" => "entry_busy").increment(1);
            return RequestError::entry_busy(BUSY_RETRY_AFTER).reply();
        };
        let started = Instant::now();
        let id: RequestId = self.next_id.fetch_add(1, Ordering::Relaxed);
        let name = request_name(request.headers(), id);
        let mut labels = None;
        let guard = RequestGuard::new(&name, &self.logger, started);
        let result = self.serve(request, id, &name, &mut labels).await;
        guard.end();
        if let Some(labels) = labels {
            self.status.record(&labels.outcome(&result, started.elapsed()));
        }
        self.finish(result, &name, peer, started)
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        id: RequestId,
        name: &str,
        labels: &mut Option<RequestLabels>,
    ) -> Result<HttpReply, RequestError> {
        let path = RequestPath::new(request.method(), request.uri())?;
        let (parts, body) = request.into_parts();
        if path == RequestPath::Models {
            return self.models(&parts);
        }
        let body = self.read_body(body).await?;
        let received = Instant::now();
        let logger = self.logger.new(o!("request" => name.to_owned()));
        for _ in 0..RESOLVE_ATTEMPTS {
            let snapshot = Arc::clone(&self.config.borrow());
            let mut admitted = request::admit(path.clone(), &parts, body.clone(), &snapshot)?;
            admitted.time_left = admitted.time_left.saturating_sub(received.elapsed());
            *labels = Some(RequestLabels::new(&admitted));
            let key = admitted.record.clone();
            let exchange = Exchange::new(self, admitted, snapshot.revision(), id, name, &logger);
            let end = match key {
                Some(key) => self.run_once(exchange, key).await,
                None => exchange.run().await,
            };
            match end {
                ExchangeEnd::Reply(reply) => return Ok(reply),
                ExchangeEnd::Error(error) => return Err(error),
                ExchangeEnd::ConfigBehind(revision) => self.catch_up(revision).await,
            }
        }
        Err(RequestError::entry_busy(BUSY_RETRY_AFTER))
    }

    /// Runs a request with an idempotency key. The key is recorded on the platform before the
    /// request is offered; a retry with the same key gets the first answer from memory.
    async fn run_once(&self, exchange: Exchange<'_>, key: RecordKey) -> ExchangeEnd {
        let guard = match self.replays.begin(&key, Instant::now()) {
            Ok(guard) => guard,
            Err(ReplayRefusal::Known(first)) => return replay(first, exchange.time_left()).await,
            Err(ReplayRefusal::Full) => {
                return ExchangeEnd::Error(RequestError::keys_full(BUSY_RETRY_AFTER));
            }
        };
        let record = idempotency::new_record(&self.settings.common.name);
        let operation = record.operation.clone();
        let record = RecordChange::Insert(key.clone(), record);
        let refused = match idempotency::change(&self.records, record).await {
            Ok(RecordVerdict::Done) => None,
            Ok(RecordVerdict::Taken(theirs)) => Some(RequestError::key_taken(&theirs.entry)),
            Ok(RecordVerdict::Full) => Some(RequestError::keys_unavailable(BUSY_RETRY_AFTER)),
            Err(pause) => Some(RequestError::keys_unavailable(pause)),
        };
        if let Some(error) = refused {
            guard.not_run();
            return ExchangeEnd::Error(error);
        }
        let end = exchange.run().await;
        match &end {
            ExchangeEnd::Reply(reply) => guard.answered(reply),
            ExchangeEnd::Error(error) if error.outcome == RunOutcome::Unknown => drop(guard),
            // Provably not run: the record is removed, so that a retry may run.
            _ => {
                guard.not_run();
                let release = RecordChange::Remove(key, operation);
                let _ = idempotency::change(&self.records, release).await;
            }
        }
        end
    }

    /// Waits for the configuration revision that an agent reported, so that the request is not
    /// resolved with an older one.
    async fn catch_up(&self, revision: u64) {
        self.status.request_refresh();
        let mut config = self.config.clone();
        let newer = config.wait_for(|snapshot| snapshot.revision() >= revision);
        let _ = timeout(CATCH_UP_TIMEOUT, newer).await;
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, RequestError> {
        let size = self.settings.body_limit;
        let limits = BodyLimits { size, time: constants::BODY_TIMEOUT, wait: constants::ROOM_WAIT };
        let read = self.bodies.read(&mut body, &limits).await;
        gauge!(names::BODY_BYTES).set(self.bodies.held() as f64);
        let error = match read {
            Ok(body) => return Ok(body),
            Err(error) => error,
        };
        if !body.is_end_stream() {
            tokio::spawn(discard(body, constants::DISCARD_LIMIT, constants::DISCARD_TIMEOUT));
        }
        Err(match error {
            BodyError::TooLarge => RequestError::body_too_large(size),
            BodyError::NoRoom => RequestError::entry_busy(BUSY_RETRY_AFTER),
            BodyError::Broken(reason) => RequestError::body_incomplete(&reason),
            BodyError::Slow => RequestError::body_incomplete("it took too long"),
        })
    }

    fn models(&self, parts: &Parts) -> Result<HttpReply, RequestError> {
        let config = self.config.borrow();
        request::find_caller(&parts.headers, &config)?;
        let models: Vec<_> = config
            .adapters()
            .map(|record| {
                json!({"id": record.name, "object": "model", "parent": record.base,
                    "versions": record.versions, "current": record.current})
            })
            .collect();
        Ok(json_reply(StatusCode::OK, &json!({"object": "list", "data": models})))
    }

    fn finish(
        &self,
        result: Result<HttpReply, RequestError>,
        name: &str,
        peer: SocketAddr,
        started: Instant,
    ) -> HttpReply {
        let (mut reply, outcome, kind) = match result {
            Ok(reply) => (reply, "answered", ""),
            Err(error) => (error.reply(), outcome_name(error.outcome), error.kind),
        };
        counter!(names::REQUESTS, "outcome" => outcome).increment(1);
        if !kind.is_empty() {
            counter!(names::REFUSALS, "reason" => kind).increment(1);
        }
        info!(self.logger, "request"; "step" => "answer", "request" => name, "peer" => %peer,
            "status" => reply.status().as_u16(), "outcome" => outcome, "error" => kind,
            "ms" => started.elapsed().as_millis() as u64);
        if let Ok(value) = HeaderValue::from_str(name) {
            reply.headers_mut().insert(ID_HEADER, value);
        }
        reply
    }
}

/// Answers a retry with the answer of the first request, once there is one.
async fn replay(mut first: watch::Receiver<FirstRequest>, limit: Duration) -> ExchangeEnd {
    let ended = first.wait_for(|first| !matches!(first, FirstRequest::Running));
    let ended = timeout(limit, ended).await;
    let error = match ended {
        Ok(Ok(first)) => match &*first {
            FirstRequest::Answered(Some(answer)) => return ExchangeEnd::Reply(answer.reply()),
            FirstRequest::Answered(None) => RequestError::already_answered(),
            _ => RequestError::unknown("an earlier request with this key ended without an answer"),
        },
        // The first request was provably not run; the caller may retry at once.
        Ok(Err(_)) => RequestError::first_not_run(),
        Err(_) => RequestError::unknown("an earlier request with this key is still in flight"),
    };
    ExchangeEnd::Error(error)
}

/// Counts a request as in flight, and logs and counts it if its caller disconnects before the
/// answer.
struct RequestGuard<'a> {
    name: &'a str,
    logger: &'a Logger,
    started: Instant,
    is_answered: bool,
}

impl<'a> RequestGuard<'a> {
    fn new(name: &'a str, logger: &'a Logger, started: Instant) -> Self {
        gauge!(names::IN_FLIGHT).increment(1.0);
        Self { name, logger, started, is_answered: false }
    }

    fn end(mut self) {
        self.is_answered = true;
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        gauge!(names::IN_FLIGHT).decrement(1.0);
        if !self.is_answered {
            counter!(names::REQUESTS, "outcome" => "caller_left").increment(1);
            info!(self.logger, "request"; "step" => "answer", "request" => self.name,
                "outcome" => "caller_left", "ms" => self.started.elapsed().as_millis() as u64);
        }
    }
}

/// Dimensions under which a request counts in the report on error budget burn.
struct RequestLabels {
    priority: Priority,
    caller: CallerName,
    subject: String,
}

impl RequestLabels {
    fn new(admitted: &AdmittedRequest) -> Self {
        let subject = match &admitted.work {
            WorkItem::Completion { key, .. } => key.name.to_string(),
            WorkItem::Service { name } => name.to_string(),
        };
        Self { priority: admitted.priority, caller: admitted.caller.clone(), subject }
    }

    fn outcome(
        self,
        result: &Result<HttpReply, RequestError>,
        first_byte: Duration,
    ) -> RequestOutcome {
        let stall = result.as_ref().ok().and_then(|reply| {
            reply.headers().get("x-plantain-load-stall-ms")?.to_str().ok()?.parse().ok()
        });
        RequestOutcome {
            priority: self.priority,
            caller: self.caller,
            subject: self.subject,
            failure: result.as_ref().err().map(|error| error.kind),
            first_byte,
            load_stall: Duration::from_millis(stall.unwrap_or(0)),
        }
    }
}

fn request_name(headers: &HeaderMap, id: RequestId) -> String {
    let given = headers.get(ID_HEADER).and_then(|value| value.to_str().ok());
    given.map_or_else(|| format!("{id:016x}"), str::to_owned)
}

fn outcome_name(outcome: RunOutcome) -> &'static str {
    match outcome {
        RunOutcome::NotRun => "not_run",
        RunOutcome::Unknown => "unknown",
    }
}
