//! Sends a call to one target once, and classifies whether the call ran there.

use super::{
    super::{
        connections::{IdentityCheck, SendEnd, TargetConnection},
        constants,
        context::guards::{CallGuard, RunEnd},
        journal::CallPhase,
        limits::UsageCharge,
    },
    CallExchange, ChosenTarget, PendingAnswer, SendFailure,
};
use crate::clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use metrics::counter;
use plantain_core::{
    direct::{
        call::ForwardTerms,
        health::CallOutcome,
        late_answers::{LateCause, late_cause},
        membership::TargetIncarnation,
        proof::{
            FailureReply, RunProof, classify_answer, counts_as_run, failure_reply,
            limit_from_answer,
        },
        selection::{SoftwareNeed, adapter_of},
    },
    ids::{AdapterVersion, SoftwareVersion, Timestamp},
};
use plantain_net::{
    body::{ReplyBody, is_delimited},
    end_witness::EndWitness,
};
use plantain_platform::calls;
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Share of the objective after which the first byte of an answer is overdue.
const OVERDUE_SHARE: f64 = 0.8;
/// Multiple of the objective after which a retryable call is sent to another target.
const GIVE_UP_SHARE: f64 = 1.25;

impl CallExchange {
    /// Sends the call to one target.
    pub(super) async fn send(
        &mut self,
        choice: ChosenTarget,
    ) -> Result<PendingAnswer, SendFailure> {
        let ChosenTarget { incarnation, version, permit, slot } = choice;
        let incarnation = &incarnation;
        let adapter = self.head.model.as_ref().and_then(adapter_of);
        let tokens = self.head.model.as_ref().map_or(0, |model| model.tokens_in);
        self.record.target = Some(incarnation.clone());
        self.record.adapter = adapter.clone().map(|adapter| (adapter, version));
        let sent = clock::now();
        let address = {
            let pool = self.context.pool.borrow();
            let target = pool.target(incarnation);
            let view = target.and_then(|target| target.loader.as_ref());
            self.record.report_age = view.map(|view| sent.saturating_sub(view.received));
            self.record.software = target.and_then(|target| target.entry.software.clone());
            target.map(|target| target.entry.address)
        };
        let request = self.target_request(incarnation, version);
        let check = self.identity_check(incarnation, sent);
        let (Some(address), Some(request), Some(check)) = (address, request, check) else {
            self.refund_permit(permit);
            return Err(SendFailure { proof: RunProof::NotRun, reply: None });
        };
        let mut guard = CallGuard::new(
            &self.context,
            incarnation,
            Rc::clone(&self.suspects),
            adapter.clone(),
            tokens,
        )
        .with_slot(slot);
        self.record.phase = CallPhase::Sent;
        self.record.last_send = Some(self.age());
        self.record.sends += 1;
        self.record.runs += 1;
        let ended = self.ended();
        let end = tokio::select! {
            end = self.await_answer(incarnation, address, request, check, &mut guard) => end,
            () = ended => None,
        };
        let (proof, outcome) = match end {
            Some(SendEnd::Answered { answer, connection, is_identified }) => {
                self.answering_software = self.certain_software(incarnation, is_identified, sent);
                let latency = clock::now().saturating_sub(sent);
                return self.handle_answer(answer, address, connection, guard, latency).await;
            }
            Some(SendEnd::OtherIncarnation) => {
                self.note(&format!("{incarnation} has started again"));
                self.context.pool.borrow_mut().note_displaced(incarnation);
                self.context.notify_loader(incarnation);
                return Err(self.not_sent(permit, &mut guard));
            }
            Some(SendEnd::CallerLeft) => return Err(self.not_sent(permit, &mut guard)),
            Some(SendEnd::Unidentified) => {
                self.note(&format!("{incarnation} does not name its incarnation"));
                return Err(self.not_sent(permit, &mut guard));
            }
            Some(SendEnd::Unsent(reason)) => {
                self.refund_permit(permit);
                guard.set_end(RunEnd::Settled);
                self.note(&format!("{incarnation} not reached: {reason}"));
                (RunProof::NotRun, CallOutcome::Silent)
            }
            // The target accepts connections but lost an answer. It counts as failed and not as silent: the backoff
            // after silence would keep all other calls from it.
            Some(SendEnd::Broken(reason)) => {
                guard.set_may_still_run();
                guard.set_end(RunEnd::Broken);
                self.note(&format!("{incarnation} broke off: {reason}"));
                (RunProof::Unknown, CallOutcome::Failed)
            }
            None if self.is_busy(incarnation) => {
                guard.set_may_still_run();
                counter!("plantain_late_answers_total", "cause" => "busy").increment(1);
                self.note(&format!("{incarnation} busy, no first byte"));
                return Err(SendFailure { proof: RunProof::Unknown, reply: None });
            }
            None => {
                guard.set_may_still_run();
                counter!("plantain_late_answers_total", "cause" => "unknown").increment(1);
                self.note(&format!("{incarnation} silent"));
                (RunProof::Unknown, CallOutcome::Silent)
            }
        };
        self.record_outcome(incarnation, outcome);
        self.uncount_run(proof);
        Err(SendFailure { proof, reply: None })
    }

    /// Takes back what was counted for a call that was not sent, so that the next send is no repeat.
    fn not_sent(&mut self, permit: Option<UsageCharge>, guard: &mut CallGuard) -> SendFailure {
        self.refund_permit(permit);
        guard.set_end(RunEnd::Settled);
        self.record.sends -= 1;
        self.uncount_run(RunProof::NotRun);
        SendFailure { proof: RunProof::NotRun, reply: None }
    }

    /// Subtracts a send from the call's number of runs if the call provably did not run; each send counts as a run
    /// until its outcome is known.
    fn uncount_run(&mut self, proof: RunProof) {
        if !counts_as_run(proof) {
            self.progress.set_running(false);
            self.record.runs -= 1;
        }
    }

    fn record_outcome(&self, incarnation: &TargetIncarnation, outcome: CallOutcome) {
        self.context.pool.borrow_mut().record_outcome(incarnation, outcome, clock::now());
    }

    /// Whether the target must name its incarnation before the call is sent there; `None` if its version is not the one that
    /// the call's stream needs.
    fn identity_check(
        &self,
        incarnation: &TargetIncarnation,
        now: Timestamp,
    ) -> Option<IdentityCheck> {
        let pool = self.context.pool.borrow();
        let target = pool.target(incarnation)?;
        let may_restart = target.entry.incarnation.started.is_some();
        match self.software_need() {
            SoftwareNeed::Only(software) if target.entry.software.as_ref() != Some(software) => {
                None
            }
            SoftwareNeed::Only(_) if may_restart => Some(IdentityCheck::Required),
            SoftwareNeed::Settled if may_restart && target.confirmed_software(now).is_none() => {
                Some(IdentityCheck::Wanted)
            }
            _ => Some(IdentityCheck::Skipped),
        }
    }

    /// Version of the target's software, if it is certain that the incarnation which answers has it.
    fn certain_software(
        &self,
        incarnation: &TargetIncarnation,
        is_identified: bool,
        sent: Timestamp,
    ) -> Option<SoftwareVersion> {
        let pool = self.context.pool.borrow();
        let target = pool.target(incarnation)?;
        let confirmed = target.confirmed_software(sent);
        let named = target.entry.software.as_ref().filter(|_| is_identified);
        confirmed.or(named).cloned()
    }

    fn target_request(
        &mut self,
        incarnation: &TargetIncarnation,
        version: Option<AdapterVersion>,
    ) -> Option<Request<Full<Bytes>>> {
        let terms = ForwardTerms {
            instance: Arc::clone(&incarnation.id),
            time_left: self.time_left(),
            version,
            urgency: self.urgency(),
            resume_after: self.resume_after,
            customer: self.customer.as_ref().map(|customer| Arc::clone(&customer.name)),
        };
        let request = calls::encode_call(&self.method, &self.head, &self.headers, &terms).ok()?;
        Some(request.map(|()| Full::new(self.body.clone())))
    }

    /// Waits for the head of the answer; `None` on a timeout.
    async fn await_answer(
        &mut self,
        incarnation: &TargetIncarnation,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        check: IdentityCheck,
        guard: &mut CallGuard,
    ) -> Option<SendEnd> {
        let limit = self.answer_limit();
        let overdue = self.route.objective.mul_f64(OVERDUE_SHARE).min(limit);
        let connections = self.context.connections.clone();
        let progress = Rc::clone(&self.progress);
        let sending = connections.send(incarnation, address, request, &progress, check);
        tokio::pin!(sending);
        let question = constants::SILENCE_CHECK.min(overdue);
        tokio::select! {
            end = &mut sending => return Some(end),
            () = sleep(question) => self.context.request_report_if_unheard(incarnation),
        }
        tokio::select! {
            end = &mut sending => return Some(end),
            () = sleep(overdue.saturating_sub(question)) => guard.set_overdue(true),
        }
        if let Ok(end) = timeout(limit.saturating_sub(overdue), &mut sending).await {
            return Some(end);
        }
        if !self.is_busy(incarnation) {
            return None;
        }
        // The engine is further with this call than another one would be.
        timeout(limit.min(self.time_left()), sending).await.ok()
    }

    /// Whether a target's answer is late because the target is busy.
    fn is_busy(&self, incarnation: &TargetIncarnation) -> bool {
        let pool = self.context.pool.borrow();
        late_cause(&pool, incarnation, clock::now()) == LateCause::Busy
    }

    /// Timeout for one target's answer: the deadline, or earlier if the call may go to another target.
    fn answer_limit(&self) -> Duration {
        let left = self.time_left();
        let may_switch_target = self.route.kind.is_retryable()
            && self.record.runs < self.route.max_targets
            && self.context.pool.borrow().service_targets(&self.service).count() > 1;
        if may_switch_target { left.min(self.route.objective.mul_f64(GIVE_UP_SHARE)) } else { left }
    }

    async fn handle_answer(
        &mut self,
        answer: Response<Incoming>,
        address: SocketAddr,
        connection: TargetConnection,
        mut guard: CallGuard,
        latency: Duration,
    ) -> Result<PendingAnswer, SendFailure> {
        let incarnation = guard.target().clone();
        self.context.pool.borrow_mut().note_heard(&incarnation, clock::now());
        let (parts, body) = answer.into_parts();
        let head = calls::decode_answer(parts.status, &parts.headers);
        let proof = classify_answer(self.head.id.as_deref().unwrap_or_default(), &head);
        if let Some(advertised) =
            limit_from_answer(proof, &head).filter(|_| !head.is_of_other(&incarnation))
        {
            self.context.record_advertised_limit(&incarnation, advertised, guard.sent());
        }
        self.context.record_advertised_state(&incarnation, proof, &head);
        let took = match proof {
            RunProof::Succeeded | RunProof::Failed => Some(latency),
            // A refusal means a full queue, in which a call would wait for about as long as the objective.
            RunProof::NotRun => Some(self.route.objective),
            RunProof::Misdirected | RunProof::Unknown => None,
        };
        if let Some(took) = took {
            self.context.pool.borrow_mut().record_latency(&incarnation, took, clock::now());
        }
        if proof == RunProof::Succeeded {
            self.record.phase = CallPhase::Answering;
            let head = calls::relay_answer(parts.status, &parts.headers, ());
            let witness =
                (!is_delimited(&parts.headers)).then(|| Box::new(EndWitness::new(address)));
            return Ok(PendingAnswer { head, body, witness, connection, guard });
        }
        match proof {
            RunProof::Failed => guard.set_failed(),
            RunProof::NotRun | RunProof::Misdirected => guard.set_end(RunEnd::Settled),
            RunProof::Succeeded | RunProof::Unknown => {}
        }
        self.note(&format!("{incarnation} answered {}: {proof:?}", head.status));
        let outcome = match proof {
            RunProof::Misdirected => CallOutcome::Answered,
            _ => CallOutcome::Failed,
        };
        self.record_outcome(&incarnation, outcome);
        self.uncount_run(proof);
        if proof == RunProof::Misdirected {
            if head.is_of_other(&incarnation) {
                self.note(&format!("{incarnation} has ended"));
                self.context.pool.borrow_mut().note_displaced(&incarnation);
            }
            self.context.notify_loader(&incarnation);
        }
        let is_unknown = proof == RunProof::Unknown;
        let failure_body =
            if is_unknown { None } else { self.read_failure(body, &connection).await };
        if failure_body.is_some() && is_delimited(&parts.headers) {
            self.context
                .connections
                .put_back(connection, calls::keep_alive_timeout(&parts.headers));
        }
        let may_relay = proof == RunProof::Failed
            && failure_reply(self.route.kind, head.status) == FailureReply::AsIs;
        let reply = failure_body
            .filter(|_| may_relay)
            .map(|body| calls::relay_answer(parts.status, &parts.headers, ReplyBody::new(body)));
        Err(SendFailure { proof, reply })
    }

    async fn read_failure(&self, body: Incoming, connection: &TargetConnection) -> Option<Bytes> {
        let failure_body = self.context.answers.read(body, connection, constants::FAILURE_LIMIT);
        let read = timeout(self.time_left().min(self.route.objective), failure_body).await;
        read.ok()?.ok()
    }
}
