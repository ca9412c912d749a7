//! One call: chooses a target, waits for the adapter there, sends, and retries after a failed send.

mod ending;
mod priority;
mod resumption;
mod sending;
mod shedding;
mod slots;
mod verdicts;

pub(super) use resumption::StreamSoftware;

use super::{
    admission::spread,
    connections::TargetConnection,
    constants,
    context::{
        RouterContext,
        guards::{AdapterNeed, CallGuard, WaitGuard},
    },
    journal::{CallEnd, CallPhase, CallRecord},
    limits::UsageCharge,
    permits::TargetPermit,
    progress::CallProgress,
    slots::SlotGuard,
};
use crate::clock;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, body::Incoming};
use plantain_core::{
    crashes::{CRASH_TTL, CallSuspects},
    direct::{
        call::{AdapterId, CallHead},
        config::RouteRule,
        customers::{CallerIdentity, CustomerRule},
        membership::TargetIncarnation,
        proof::{FinalOutcome, RunProof, final_outcome, may_send_again},
        selection::{CallNeed, TargetChoice, adapter_of, choose_target},
    },
    fingerprint::call_fingerprint,
    ids::{AdapterVersion, ServiceName, SoftwareVersion, Timestamp, ZoneName},
};
use plantain_net::{body::ReplyBody, end_witness::EndWitness};
use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Whether a call that has waited since `began` may go on waiting for a base model.
fn may_wait_for_base(began: Timestamp) -> bool {
    clock::now().saturating_sub(began) < constants::BASE_WAIT
}

/// Why no target's answer can be relayed for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GiveUpReason {
    /// The call did not run and will not; with the time after which the caller may retry.
    NotRun(Duration),
    /// The call did not run and will not, because several targets ended under this request or a part of its prompt;
    /// with the time after which the caller may retry.
    Quarantined(Duration),
    /// The call did not run and will not: the stream that it resumes cannot go on; with the time after which the caller may
    /// retry, if it may.
    Unresumable(Option<Duration>),
    /// The call may have run; the target closed the connection or sent an invalid answer.
    Unknown,
    /// The call may have run; its deadline has passed.
    TimedOut,
}

/// A target's successful answer whose body is not read yet.
pub(crate) struct PendingAnswer {
    /// Status and headers for the caller.
    pub(crate) head: Response<()>,
    /// Unread body.
    pub(crate) body: Incoming,
    /// Tells whether the target outlived the answer, if the body ends with its connection and not by itself.
    pub(crate) witness: Option<Box<EndWitness>>,
    /// Connection that carries the body.
    pub(crate) connection: TargetConnection,
    /// Counts the call at its target until dropped.
    pub(crate) guard: CallGuard,
}

/// Result of dispatching a call, retries included.
pub(crate) enum DispatchResult {
    /// A success whose body is not read yet.
    Success(PendingAnswer),
    /// A target's failure with its complete body.
    Failure(Response<ReplyBody>),
    /// No target's answer can be relayed.
    NoAnswer(GiveUpReason),
}

/// A send that did not end in a success: whether the call may have run, and the failure answer to relay, if any.
struct SendFailure {
    proof: RunProof,
    reply: Option<Response<ReplyBody>>,
}

/// Target of the next send.
struct ChosenTarget {
    incarnation: TargetIncarnation,
    /// Version of the call's adapter that the target holds.
    version: Option<AdapterVersion>,
    /// Unit taken from the target's rate limit, if it has one.
    permit: Option<UsageCharge>,
    /// Slot that the call holds there, if the target's slots are counted.
    slot: Option<SlotGuard>,
}

/// A call that passed admission: its route is known, its caller is identified or the route is open, and it is within
/// its customer's limit.
pub(crate) struct AdmittedCall {
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<RouteRule>,
    pub(crate) service: ServiceName,
    /// Identity that its key proved, or that of an open route.
    pub(crate) caller: CallerIdentity,
    /// Units charged to its customer's limit, if there is one.
    pub(crate) charge: Option<UsageCharge>,
}

/// One call from its admission to its end.
pub(crate) struct CallExchange {
    pub(crate) context: Rc<RouterContext>,
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<RouteRule>,
    pub(crate) service: ServiceName,
    /// Customer that sent the call; `None` for an anonymous caller.
    customer: Option<Arc<CustomerRule>>,
    charge: Option<UsageCharge>,
    /// What is accused if a target crashes under the call.
    suspects: Rc<CallSuspects>,
    pub(crate) started: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) record: CallRecord,
    pub(crate) resume_after: Option<u64>,
    /// Software version at which the call goes on.
    software: StreamSoftware,
    /// Version of the target that sent the current answer, if it is certain.
    answering_software: Option<SoftwareVersion>,
    /// Whether an event of the stream has reached the caller.
    has_begun: bool,
    pub(crate) progress: Rc<CallProgress>,
    excluded: Vec<TargetIncarnation>,
    is_finished: Cell<bool>,
}

/// Status in the log line of a call that was never answered.
const NO_STATUS: u16 = 0;

impl Drop for CallExchange {
    fn drop(&mut self) {
        if !self.is_finished.get() {
            self.write_line(CallEnd::CallerLeft, NO_STATUS);
        }
    }
}

impl CallExchange {
    /// Starts a call; its deadline is the earlier of the caller's and the route's, or 30 s if neither is set.
    pub(crate) fn new(
        context: &Rc<RouterContext>,
        head: CallHead,
        call: AdmittedCall,
        started: Timestamp,
    ) -> Self {
        let AdmittedCall { method, headers, body, route, service, caller, charge } = call;
        let customer = caller.customer().cloned();
        let limits = [head.time_left, route.time_limit];
        let limit = limits.into_iter().flatten().min().unwrap_or(Duration::from_secs(30));
        let record = CallRecord {
            id: head.id.clone(),
            fingerprint: call_fingerprint(method.as_str(), &head.host, &head.path, &body),
            parts: head.model.iter().flat_map(|model| &model.parts).map(|part| part.hash).collect(),
            customer: customer.as_ref().map(|customer| Arc::clone(&customer.name)),
            cost: charge.map(|charge| charge.cost),
            route: route.name.to_string(),
            objective: route.objective,
            config: context.pool.borrow().config().number,
            adapter: head.model.as_ref().and_then(adapter_of).map(|adapter| (adapter, None)),
            resume: head.resume.clone(),
            ..CallRecord::default()
        };
        let resume = head.resume.as_ref().filter(|_| route.kind.is_stream());
        let parts = head.model.as_ref().map_or(&[][..], |model| &model.parts);
        Self {
            suspects: Rc::new(CallSuspects::new(record.fingerprint, parts)),
            context: Rc::clone(context),
            resume_after: resume.and_then(|resume| resume.event),
            software: StreamSoftware::Free,
            answering_software: None,
            has_begun: false,
            head,
            method,
            headers,
            body,
            route,
            service,
            customer,
            charge,
            started,
            deadline: started + limit,
            record,
            progress: Rc::default(),
            excluded: Vec::new(),
            is_finished: Cell::new(false),
        }
    }

    /// Time since the call arrived.
    pub(crate) fn age(&self) -> Duration {
        clock::now().saturating_sub(self.started)
    }

    /// When the call must have ended: at its deadline, or earlier if the router stops before.
    pub(super) fn end(&self) -> Timestamp {
        self.context.limit_to_stop(self.deadline)
    }

    /// Time until the call must have ended.
    pub(crate) fn time_left(&self) -> Duration {
        self.end().saturating_sub(clock::now())
    }

    /// Waits until the call must have ended, also if the router begins to stop meanwhile.
    pub(crate) fn ended(&self) -> impl Future<Output = ()> + use<> {
        let (context, deadline) = (Rc::clone(&self.context), self.deadline);
        async move {
            tokio::select! {
                () = sleep(deadline.saturating_sub(clock::now())) => {}
                () = context.calls_ended() => {}
            }
        }
    }

    /// Priority of the call: its customer's, or else its route's; 0 is the highest.
    pub(super) fn priority(&self) -> u8 {
        let own = self.customer.as_ref().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Refunds the customer's units if the call did not run.
    pub(crate) fn refund(&self) {
        if let Some(charge) = self.charge.filter(|_| self.record.runs == 0) {
            self.context.limits.refund(charge);
        }
    }

    /// Adds a step to the trail of the call's log line.
    pub(crate) fn note(&mut self, step: &str) {
        let age = self.age();
        self.record.note(age, step);
    }

    /// Writes the call's log line. A call that is dropped without a call of `finish` is logged as left by its caller.
    pub(crate) fn finish(&self, end: CallEnd, status: StatusCode) {
        self.write_line(end, status.as_u16());
    }

    fn write_line(&self, end: CallEnd, status: u16) {
        self.is_finished.set(true);
        let left = self.progress.caller_left().map(|left| left.saturating_sub(self.started));
        self.context.journal.finish(&self.record, end, status, self.age(), left);
    }

    /// Whether the call may be sent to another target although a previous target may have run it.
    pub(crate) fn may_retry(&self) -> bool {
        let runs = self.record.runs;
        self.time_left() > constants::SERVE_TIME
            && may_send_again(RunProof::Unknown, self.route.kind, runs, self.route.max_targets)
    }

    /// Drops the request's body if no further send is allowed, so that it does not take memory until the end of the answer.
    pub(crate) fn release_body(&mut self) {
        let runs = self.record.runs;
        if !may_send_again(RunProof::Unknown, self.route.kind, runs, self.route.max_targets) {
            self.body = Bytes::new();
        }
    }

    /// Excludes the last target from further sends.
    pub(crate) fn exclude_last(&mut self) {
        self.excluded.extend(self.record.target.clone());
    }

    /// Sends the call until a target answers or no further send is allowed.
    pub(crate) async fn dispatch(&mut self) -> DispatchResult {
        if self.is_quarantined() {
            return self.give_up(None, GiveUpReason::Quarantined(CRASH_TTL));
        }
        if !self.needs_slot()
            && let Some(pause) = self.shed()
        {
            return DispatchResult::NoAnswer(GiveUpReason::NotRun(pause));
        }
        let mut last: Option<SendFailure> = None;
        loop {
            if self.has_lost_caller() {
                return self.give_up(last, GiveUpReason::NotRun(constants::RETURN_PAUSE));
            }
            let choice = match self.choose().await {
                Ok(choice) => choice,
                Err(_) if self.is_software_gone() => {
                    self.note("no target of the stream's version is left");
                    return self.give_up(last, GiveUpReason::Unresumable(None));
                }
                Err(pause) => return self.give_up(last, GiveUpReason::NotRun(pause)),
            };
            // Since the call arrived, targets may have crashed while they ran this request, sent by this router or
            // another.
            if self.is_quarantined() {
                self.refund_permit(choice.permit);
                return self.give_up(last, GiveUpReason::Quarantined(CRASH_TTL));
            }
            if self.record.sends > 0 && !self.context.try_retry(&self.service) {
                self.note("repeat refused: budget spent");
                self.refund_permit(choice.permit);
                return self.give_up(last, GiveUpReason::NotRun(constants::BUSY_PAUSE));
            }
            let incarnation = choice.incarnation.clone();
            let failure = match self.send(choice).await {
                Ok(answer) => return DispatchResult::Success(answer),
                Err(failure) => failure,
            };
            let (proof, kind) = (failure.proof, self.route.kind);
            last = Some(failure);
            if self.time_left() < constants::SERVE_TIME
                || (proof == RunProof::Failed && self.is_overloaded())
                || !may_send_again(proof, kind, self.record.runs, self.route.max_targets)
            {
                return self.give_up(last, GiveUpReason::NotRun(constants::BUSY_PAUSE));
            }
            self.excluded.push(incarnation);
        }
    }

    /// Whether the caller has left a call that was already sent. A call that may have run goes on without its caller, but
    /// is not sent again.
    fn has_lost_caller(&mut self) -> bool {
        let has_left = self.progress.caller_left().is_some();
        if has_left {
            self.note("not sent again: its caller has left");
        }
        has_left
    }

    /// Refunds the unit of a target's limit for a request that did not reach the target.
    fn refund_permit(&self, permit: Option<UsageCharge>) {
        if let Some(permit) = permit {
            self.context.limits.refund(permit);
        }
    }

    fn need<'a>(
        &'a self,
        zone: &'a ZoneName,
        waiting_at: Option<&'a TargetIncarnation>,
    ) -> CallNeed<'a> {
        let waited = self.age().as_millis() / constants::REPORT_REQUEST_PAUSE.as_millis();
        CallNeed {
            service: &self.service,
            model: self.head.model.as_ref(),
            zone,
            excluded: &self.excluded,
            routers: self.context.router_count(),
            waiting_at,
            may_request_report: u128::from(self.record.report_requests)
                < u128::from(constants::INITIAL_REPORT_REQUESTS) + waited,
            software: self.software_need(),
        }
    }

    /// The result of a call that no target answered with a success.
    fn give_up(&mut self, last: Option<SendFailure>, not_run: GiveUpReason) -> DispatchResult {
        if let Some(reply) = last.and_then(|failure| failure.reply) {
            return DispatchResult::Failure(reply);
        }
        let reason = match final_outcome(self.record.runs, !self.time_left().is_zero()) {
            FinalOutcome::NotRun => not_run,
            FinalOutcome::TimedOut => GiveUpReason::TimedOut,
            FinalOutcome::Unknown => GiveUpReason::Unknown,
        };
        DispatchResult::NoAnswer(reason)
    }

    /// Chooses a target, waits until the adapter is loaded there and takes a unit of its limit; the error is the
    /// retry delay for the caller.
    async fn choose(&mut self) -> Result<ChosenTarget, Duration> {
        let began = clock::now();
        self.record.phase = CallPhase::Waiting;
        let mut waiting: Option<WaitGuard> = None;
        loop {
            if self.time_left() < constants::SERVE_TIME {
                self.note("given up: no time left to be served");
                return Err(constants::RETURN_PAUSE);
            }
            if self.has_lost_caller() {
                return Err(constants::RETURN_PAUSE);
            }
            if let Some(pause) = self.refuse_early(waiting.as_ref().map(WaitGuard::target)) {
                return Err(pause);
            }
            match self.choose_now(waiting.as_ref()) {
                TargetChoice::Send(incarnation, version) => {
                    let Some((incarnation, slot)) = self.take_slot(incarnation).await? else {
                        continue;
                    };
                    match self.context.acquire_permit(&incarnation).await {
                        // The target may have asked for a backoff or started to drain during the wait.
                        TargetPermit::Granted(permit) if !self.context.is_open(&incarnation) => {
                            self.refund_permit(permit);
                        }
                        TargetPermit::Granted(permit) => {
                            self.record.load_wait += clock::now().saturating_sub(began);
                            return Ok(ChosenTarget { incarnation, version, permit, slot });
                        }
                        TargetPermit::Saturated(reason) => self.note(&reason),
                    }
                }
                TargetChoice::Nowhere => {
                    if let Some(backoff) = self.context.backoff_left(&self.service) {
                        self.note(&format!(
                            "all targets want no requests for {} ms",
                            backoff.as_millis()
                        ));
                        return Err(
                            backoff + constants::BACKOFF_SPREAD.mul_f64(rand::random::<f64>())
                        );
                    }
                    if let Some(retry_after) = self.context.limit_retry_after(&self.service) {
                        self.note("no room within the limits of targets");
                        return Err(spread(retry_after.max(constants::BUSY_PAUSE)));
                    }
                    let known = self.context.pool.borrow().service_targets(&self.service).count();
                    if known == 0 && self.context.is_starting() {
                        sleep(constants::START_POLL_PAUSE).await;
                        continue;
                    }
                    let excluded = self.excluded.len();
                    self.note(&format!(
                        "no target can take it: {known} known, {excluded} had it already"
                    ));
                    return Err(constants::RETURN_PAUSE);
                }
                TargetChoice::RequestReport(incarnation) => {
                    let is_new =
                        self.context.request_report(&incarnation, constants::REPORT_WAIT).await;
                    self.record.report_requests += u32::from(is_new);
                }
                TargetChoice::AwaitBase if !may_wait_for_base(began) => {
                    self.note("base model not loaded in time");
                    return Err(constants::RETURN_PAUSE);
                }
                TargetChoice::AwaitBase => sleep(constants::LOAD_POLL_PAUSE).await,
                TargetChoice::Load(incarnation, adapter, version) => {
                    let is_same = waiting
                        .as_ref()
                        .is_some_and(|guard| guard.is_for(&incarnation, &adapter, version));
                    if !is_same {
                        self.note(&format!("load {}@{version} at {incarnation}", adapter.name));
                        waiting = Some(self.request_load(&incarnation, &adapter, version));
                    }
                    if let Some(guard) = &waiting {
                        guard.wait_for_report(constants::LOAD_POLL_PAUSE).await;
                    }
                }
            }
        }
    }

    /// Requests an adapter load. The load is due earlier than the call's objective, by the time that recent calls
    /// waited for the target's answers to begin.
    fn request_load(
        &self,
        incarnation: &TargetIncarnation,
        adapter: &AdapterId,
        version: AdapterVersion,
    ) -> WaitGuard {
        let answer_ms = {
            let pool = self.context.pool.borrow();
            pool.target(incarnation).map_or(0.0, |target| target.latency.read_ms(clock::now()))
        };
        let objective = self.started + self.route.objective;
        let due = objective.saturating_sub(Duration::from_secs_f64(answer_ms / 1_000.0));
        let need = AdapterNeed { adapter, version, priority: self.priority(), due };
        WaitGuard::new(&self.context, incarnation, &need)
    }

    fn choose_now(&self, waiting: Option<&WaitGuard>) -> TargetChoice {
        let settings = self.context.settings.borrow();
        let need = self.need(&settings.zone, waiting.map(WaitGuard::target));
        let pool = self.context.pool.borrow();
        choose_target(&pool, &need, clock::now(), rand::random::<f64>)
    }
}
