//! Offers one request to agents until it is answered, refused or given up.

use super::{
    callers::CallerContext,
    crashes::request_fingerprint,
    decisions::{DecisionCommand, OfferEnd},
    follow::{OfferGuard, PendingOffer},
    forward::Forward,
    offers::{OfferEvent, OfferJob},
    reply::RequestError,
    request::AdmittedRequest,
};
use crate::telemetry::names;
use bytes::{Bytes, BytesMut};
use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use metrics::{counter, histogram};
use plantain_core::{
    crashes::CRASH_TTL,
    entry::RouteChoice,
    fingerprint::CallFingerprint,
    ids::{AdapterKey, ConfigRevision, RequestId, TargetName},
    outcome::{NotRunProof, RefusalReason},
    protocol::{AgentFrame, OfferFrame, PROTOCOL_VERSION, WorkItem},
};
use plantain_net::{body::ReplyBody, server::HttpReply};
use slog::{Logger, info, warn};
use std::time::{Duration, Instant};
use tokio::{
    sync::oneshot,
    time::{sleep_until, timeout},
};

/// Largest number of times that an entry offers one request to agents, including the first.
const OFFER_LIMIT: usize = 4;
/// Number of offers, each of which may have run the request and ended without a result, after which
/// an idempotent request fails. A request that crashes its targets would crash one with each offer,
/// before any entry has received a crash report.
const LOST_LIMIT: usize = 2;
/// Time past the deadline in which the entry waits for the agent's refusal: it proves that the
/// request was not run, which the deadline alone does not.
const DEADLINE_GRACE: Duration = Duration::from_millis(150);
/// Largest answer in bytes that is buffered until it is complete, so that the request can be
/// offered again if the answer ends early.
const BUFFER_LIMIT: usize = 1 << 20;

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeEnd {
    /// A target answered.
    Reply(HttpReply),
    /// The request failed.
    Error(RequestError),
    /// An agent has this newer revision; the request must be resolved again with it.
    ConfigBehind(ConfigRevision),
}

/// How one offer ended.
enum OfferResult {
    Reply(HttpReply),
    /// Provably not run; another target may be tried.
    NotRun(NotRunProof),
    /// The offer ended without a result, and the request may have run.
    Lost(String),
    /// The agent has this newer revision.
    ConfigBehind(ConfigRevision),
}

/// Head of a target's answer.
struct AnswerHead {
    status: StatusCode,
    headers: Vec<(String, Bytes)>,
    ran_on: Option<AdapterKey>,
    load_stall: Duration,
}

/// One admitted request and the offers made for it so far.
pub struct Exchange<'a> {
    context: &'a CallerContext,
    request: AdmittedRequest,
    revision: ConfigRevision,
    id: RequestId,
    name: &'a str,
    logger: &'a Logger,
    started: Instant,
    fingerprint: CallFingerprint,
    excluded: Vec<TargetName>,
    may_have_run: Option<String>,
    lost_offers: usize,
}

impl<'a> Exchange<'a> {
    /// Creates the exchange of an admitted request, which was resolved with `revision`.
    pub fn new(
        context: &'a CallerContext,
        request: AdmittedRequest,
        revision: ConfigRevision,
        id: RequestId,
        name: &'a str,
        logger: &'a Logger,
    ) -> Self {
        let fingerprint = request_fingerprint(&request.work, &request.head, &request.body);
        Self {
            context,
            fingerprint,
            request,
            revision,
            id,
            name,
            logger,
            started: Instant::now(),
            excluded: Vec::new(),
            may_have_run: None,
            lost_offers: 0,
        }
    }

    /// Offers the request until it is answered or must fail.
    pub async fn run(mut self) -> ExchangeEnd {
        let mut last = None;
        for _ in 0..OFFER_LIMIT {
            if self.time_left().is_zero() {
                let late = NotRunProof::never_offered(RefusalReason::TooLate, None);
                return ExchangeEnd::Error(self.final_error(&last.unwrap_or(late)));
            }
            if self.is_quarantined() {
                let quarantined =
                    NotRunProof::never_offered(RefusalReason::HeldBack, Some(CRASH_TTL));
                return ExchangeEnd::Error(self.final_error(&quarantined));
            }
            let choice = match self.choose().await {
                Ok(choice) => choice,
                Err(proof) => return ExchangeEnd::Error(self.final_error(&last.unwrap_or(proof))),
            };
            let target = choice.target.clone();
            match self.send_offer(choice).await {
                OfferResult::Reply(reply) => return ExchangeEnd::Reply(reply),
                OfferResult::ConfigBehind(revision) => return self.resolve_again(revision),
                OfferResult::NotRun(proof) => {
                    info!(self.logger, "offer not run"; "step" => "offer", "peer" => &*target,
                        "reason" => proof.reason().name());
                    if proof.reason() == RefusalReason::TooLate && self.time_left().is_zero() {
                        return ExchangeEnd::Error(self.final_error(&proof));
                    }
                    last = Some(proof);
                }
                OfferResult::Lost(problem) => {
                    warn!(self.logger, "offer lost"; "step" => "offer", "peer" => &*target,
                        "error" => &problem);
                    self.may_have_run = Some(problem.clone());
                    if self.time_left().is_zero() {
                        return ExchangeEnd::Error(RequestError::deadline_passed());
                    }
                    self.lost_offers += 1;
                    // Offering it again could run it twice.
                    if !self.request.idempotent || self.lost_offers >= LOST_LIMIT {
                        return ExchangeEnd::Error(RequestError::unknown(&problem));
                    }
                }
            }
            self.excluded.push(target);
        }
        let proof = last.unwrap_or_else(NotRunProof::never_released);
        ExchangeEnd::Error(self.final_error(&proof))
    }

    /// Whether the request is quarantined: too many targets crashed while they ran it.
    fn is_quarantined(&self) -> bool {
        let is_quarantined = self.context.quarantined.borrow().contains(&self.fingerprint);
        if is_quarantined {
            warn!(self.logger, "request quarantined"; "step" => "crashes",
                "fingerprint" => format!("{:032x}", self.fingerprint));
        }
        is_quarantined
    }

    /// Ends this exchange, so that a new one can be made with the newer configuration. The new one
    /// does not know this one's offers: if one of them may have run, a later refusal would wrongly
    /// count as proof that the request did not run, so the request fails instead.
    fn resolve_again(&self, revision: ConfigRevision) -> ExchangeEnd {
        match &self.may_have_run {
            Some(problem) => ExchangeEnd::Error(RequestError::unknown(problem)),
            None => ExchangeEnd::ConfigBehind(revision),
        }
    }

    /// The error for the caller. Once any offer may have run, a later refusal proves nothing.
    fn final_error(&self, proof: &NotRunProof) -> RequestError {
        match &self.may_have_run {
            Some(problem) => RequestError::unknown(problem),
            None => RequestError::not_run(proof),
        }
    }

    /// Time until the request's deadline.
    pub fn time_left(&self) -> Duration {
        self.request.time_left.saturating_sub(self.started.elapsed())
    }

    async fn choose(&self) -> Result<RouteChoice, NotRunProof> {
        let (reply, choice) = oneshot::channel();
        let command = DecisionCommand::Choose {
            work: self.request.work.clone(),
            excluded: self.excluded.clone(),
            reply,
        };
        let busy = || NotRunProof::never_offered(RefusalReason::EntryBusy, None);
        self.context.decisions.try_send(command).map_err(|_| busy())?;
        choice.await.map_err(|_| busy())?
    }

    async fn send_offer(&mut self, choice: RouteChoice) -> OfferResult {
        let guard = OfferGuard::new(self.context.decisions.clone(), choice.target.clone());
        let (job, handle) = OfferJob::new(choice.peer, self.frame(choice.known_residency));
        if self.context.offers.try_send(job).is_err() {
            let busy = NotRunProof::never_offered(RefusalReason::EntryBusy, None);
            return OfferResult::NotRun(busy);
        }
        let limit = self.time_left() + DEADLINE_GRACE;
        let mut offer = PendingOffer { handle, guard, released: false };
        let head = match timeout(limit, self.await_head(&mut offer)).await {
            Ok(Ok(head)) => head,
            Ok(Err(result)) => return result,
            Err(_) => return self.after_deadline(&offer),
        };
        self.deliver(head, offer, choice.target).await
    }

    fn after_deadline(&self, offer: &PendingOffer) -> OfferResult {
        if !self.request.idempotent && !offer.released {
            return OfferResult::NotRun(NotRunProof::never_released());
        }
        OfferResult::Lost("the deadline passed".into())
    }

    fn frame(&self, known_residency: u64) -> OfferFrame {
        let mut head = self.request.head.clone();
        let id = Bytes::copy_from_slice(self.name.as_bytes());
        head.headers.retain(|(name, _)| name != "x-request-id");
        head.headers.push(("x-request-id".into(), id));
        OfferFrame {
            protocol: PROTOCOL_VERSION,
            request: self.id,
            revision: self.revision,
            known_residency,
            work: self.request.work.clone(),
            idempotent: self.request.idempotent,
            priority: self.request.priority,
            caller: self.request.caller.clone(),
            share: self.request.share,
            time_left: self.time_left(),
            head,
            body: self.request.body.clone(),
        }
    }

    /// Handles an offer's events up to the head of its answer.
    async fn await_head(&self, offer: &mut PendingOffer) -> Result<AnswerHead, OfferResult> {
        loop {
            let frame = match offer.handle.events.recv().await {
                Some(OfferEvent::Frame(frame)) => frame,
                Some(OfferEvent::Unsent(_)) => {
                    offer.guard.end(OfferEnd::Failed);
                    let proof = NotRunProof::never_offered(RefusalReason::Unreachable, None);
                    return Err(OfferResult::NotRun(proof));
                }
                Some(OfferEvent::Lost(problem)) => return Err(self.fail(offer, problem)),
                None => return Err(self.fail(offer, "the peers duty ended".into())),
            };
            match frame {
                AgentFrame::Accepted { report, .. } => {
                    offer.guard.report(report);
                    // If this process was suspended, its idempotency record may have expired, and
                    // another entry may have run the key since. Deadlines are shorter than the
                    // record's window, so a request within its deadline still has its record. A
                    // suspension after this check outlasts the agent's reservation instead.
                    if !self.request.idempotent && self.time_left().is_zero() {
                        return Err(OfferResult::NotRun(NotRunProof::never_released()));
                    }
                    if !self.request.idempotent
                        && let Some(release) = offer.handle.release.take()
                    {
                        offer.released = true;
                        let _ = release.send(());
                    }
                }
                AgentFrame::Refused { refusal, report, .. } => {
                    let revision = report.revision;
                    offer.guard.report(report);
                    counter!(names::REFUSALS, "reason" => refusal.reason.name()).increment(1);
                    let result = match refusal.reason {
                        RefusalReason::ConfigBehind => OfferResult::ConfigBehind(revision),
                        _ => OfferResult::NotRun(NotRunProof::from_refusal(&refusal)),
                    };
                    offer.guard.end(OfferEnd::Refused(refusal));
                    return Err(result);
                }
                AgentFrame::Head { status, headers, ran_on, load_stall, .. } => {
                    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                    return Ok(AnswerHead { status, headers, ran_on, load_stall });
                }
                AgentFrame::Failed { message, .. } => return Err(self.fail(offer, message)),
                AgentFrame::Chunk { .. } | AgentFrame::End { .. } => {
                    return Err(self.fail(offer, "the answer has no head".into()));
                }
            }
        }
    }

    /// Ends an offer that failed. A non-idempotent request that was never released has only a
    /// reservation, which expires, so it was not run.
    fn fail(&self, offer: &mut PendingOffer, problem: String) -> OfferResult {
        offer.guard.end(OfferEnd::Failed);
        if !self.request.idempotent && !offer.released {
            return OfferResult::NotRun(NotRunProof::never_released());
        }
        OfferResult::Lost(problem)
    }

    async fn deliver(
        &self,
        head: AnswerHead,
        mut offer: PendingOffer,
        target: TargetName,
    ) -> OfferResult {
        if let Err(problem) = self.check_ran_on(&head) {
            return self.fail(&mut offer, problem);
        }
        histogram!(names::LOAD_STALL_SECONDS).record(head.load_stall.as_secs_f64());
        let mut body = BytesMut::new();
        let is_buffered = self.buffers_answer(&head);
        let deadline = tokio::time::Instant::now() + self.time_left() + DEADLINE_GRACE;
        loop {
            let event = tokio::select! {
                event = offer.handle.events.recv() => event,
                () = sleep_until(deadline) => return self.after_deadline(&offer),
            };
            match event {
                Some(OfferEvent::Frame(AgentFrame::Chunk { data, .. })) => {
                    body.extend_from_slice(&data);
                    if is_buffered && body.len() <= BUFFER_LIMIT {
                        continue;
                    }
                    self.record_first_byte();
                    let (sender, stream) = ReplyBody::channel();
                    let forward = Forward {
                        sender,
                        offer,
                        started: self.started,
                        first_chunk: body.freeze(),
                        is_event_stream: self.request.streamed,
                        logger: self.logger.clone(),
                    };
                    tokio::spawn(forward.run());
                    return OfferResult::Reply(reply(&head, &target, stream));
                }
                Some(OfferEvent::Frame(AgentFrame::End { report, .. })) => {
                    self.record_first_byte();
                    histogram!(names::REQUEST_SECONDS).record(self.started.elapsed().as_secs_f64());
                    offer.guard.report(report);
                    offer.guard.end(OfferEnd::Answered);
                    let body = ReplyBody::new(body.freeze());
                    return OfferResult::Reply(reply(&head, &target, body));
                }
                Some(OfferEvent::Frame(AgentFrame::Failed { message, .. })) => {
                    return self.fail(&mut offer, message);
                }
                Some(OfferEvent::Lost(problem)) => return self.fail(&mut offer, problem),
                _ => return self.fail(&mut offer, "the answer ended early".into()),
            }
        }
    }

    /// Rejects a successful answer that names another adapter or version than the request. The
    /// agent checks this too.
    fn check_ran_on(&self, head: &AnswerHead) -> Result<(), String> {
        let WorkItem::Completion { key, .. } = &self.request.work else { return Ok(()) };
        if !head.status.is_success() || head.ran_on.as_ref() == Some(key) {
            return Ok(());
        }
        let ran_on = head.ran_on.as_ref().map_or("nothing".to_owned(), ToString::to_string);
        Err(format!("the answer ran on {ran_on}, not on {key}"))
    }

    /// Whether the answer is buffered until it is complete; streams never are.
    fn buffers_answer(&self, head: &AnswerHead) -> bool {
        let is_stream = head
            .headers
            .iter()
            .any(|(name, value)| name == "content-type" && value.starts_with(b"text/event-stream"));
        !self.request.streamed && !is_stream
    }

    fn record_first_byte(&self) {
        histogram!(names::FIRST_BYTE_SECONDS).record(self.started.elapsed().as_secs_f64());
    }
}

fn reply(head: &AnswerHead, target: &TargetName, body: ReplyBody) -> HttpReply {
    let mut reply = Response::new(body);
    *reply.status_mut() = head.status;
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            reply.headers_mut().append(name, value);
        }
    }
    let stall = head.load_stall.as_millis().to_string();
    let ran_on = head.ran_on.as_ref().map(ToString::to_string);
    let own = [
        ("x-plantain-target", Some(target.to_string())),
        ("x-plantain-adapter", ran_on),
        ("x-plantain-load-stall-ms", Some(stall)),
    ];
    for (name, value) in own {
        if let Some(value) = value.and_then(|value| HeaderValue::from_str(&value).ok()) {
            reply.headers_mut().insert(name, value);
        }
    }
    reply
}
