//! Relays the bodies of successful answers to callers: a plain body once it is complete, a stream event by event.

use super::{
    constants,
    context::guards::RunEnd,
    exchange::{CallExchange, DispatchResult, GiveUpReason, PendingAnswer},
    journal::CallEnd,
};
use crate::clock;
use bytes::Bytes;
use eyre::Report;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming};
use metrics::counter;
use plantain_core::direct::{
    health::CallOutcome,
    membership::TargetIncarnation,
    proof::{RunProof, may_send_again},
    streams::events::EventSplitter,
};
use plantain_net::{
    body::{BodyAbort, BodySender, ReplyBody},
    end_witness::EndWitness,
};
use plantain_platform::calls;
use tokio::task::spawn_local;

/// Result of reading a plain answer's body.
pub(crate) enum PlainRead {
    /// The complete reply.
    Complete(Response<ReplyBody>),
    /// The body ended early, or the deadline passed.
    Broken(GiveUpReason),
}

/// Reads a plain answer completely before relaying any of it, so that the call can still be retried if the body
/// breaks off.
pub(crate) async fn read_plain(exchange: &mut CallExchange, answer: PendingAnswer) -> PlainRead {
    let PendingAnswer { head, body, witness, connection, mut guard } = answer;
    guard.set_answered();
    exchange.record.first_byte.get_or_insert(exchange.age());
    let reading = exchange.context.answers.read(body, &connection, constants::ANSWER_LIMIT);
    let incarnation = guard.target().clone();
    let reading = async {
        let bytes = reading.await?;
        if let Some(witness) = witness {
            exchange.confirm_end(*witness, &incarnation, constants::PLAIN_PATIENCE).await?;
        }
        Ok::<_, Report>(bytes)
    };
    let read = tokio::select! {
        read = reading => Some(read),
        () = exchange.ended() => None,
    };
    let (outcome, result) = match read {
        Some(Ok(bytes)) => {
            let keep = calls::keep_alive_timeout(head.headers());
            exchange.context.connections.put_back(connection, keep);
            guard.set_survived();
            (CallOutcome::Answered, PlainRead::Complete(head.map(|()| ReplyBody::new(bytes))))
        }
        Some(Err(error)) => {
            exchange.note(&format!("{incarnation} broke off its answer: {error}"));
            guard.set_end(RunEnd::Broken);
            (CallOutcome::Failed, PlainRead::Broken(GiveUpReason::Unknown))
        }
        None => {
            exchange.note(&format!("{incarnation} did not end its answer in time"));
            (CallOutcome::Silent, PlainRead::Broken(GiveUpReason::TimedOut))
        }
    };
    exchange.context.pool.borrow_mut().record_outcome(&incarnation, outcome, clock::now());
    result
}

/// Starts to relay a stream; returns the reply to the caller.
pub(crate) fn relay_stream(exchange: CallExchange, answer: PendingAnswer) -> Response<ReplyBody> {
    let (sender, body) = ReplyBody::channel();
    let status = answer.head.status();
    let reply = answer.head.clone().map(|()| body);
    let splitter = EventSplitter::new(exchange.route.kind.is_resumable());
    let relay = StreamRelay { exchange, sender, splitter, status, received: 0 };
    spawn_local(relay.run(answer));
    reply
}

/// Why a target's stream ended.
enum StreamEnd {
    Complete,
    CallerLeft,
    TimedOut,
    Broken(String),
}

struct StreamRelay {
    exchange: CallExchange,
    sender: BodySender,
    splitter: EventSplitter,
    status: StatusCode,
    /// Bytes of the bodies of all targets so far.
    received: usize,
}

impl StreamRelay {
    async fn run(mut self, mut answer: PendingAnswer) {
        loop {
            let mut end = self.forward_events(&mut answer).await;
            let incarnation = answer.guard.target().clone();
            if let (StreamEnd::Complete, Some(witness)) = (&end, answer.witness.take()) {
                end = self.confirm_end(*witness, &incarnation).await;
            }
            let outcome = match &end {
                StreamEnd::Complete | StreamEnd::CallerLeft => CallOutcome::Answered,
                StreamEnd::TimedOut => CallOutcome::Silent,
                StreamEnd::Broken(_) => CallOutcome::Failed,
            };
            self.exchange.context.pool.borrow_mut().record_outcome(
                &incarnation,
                outcome,
                clock::now(),
            );
            match end {
                StreamEnd::Complete => {
                    let keep = calls::keep_alive_timeout(answer.head.headers());
                    answer.guard.set_survived();
                    self.exchange.context.connections.put_back(answer.connection, keep);
                    self.exchange.finish(CallEnd::Served, self.status);
                    return;
                }
                StreamEnd::CallerLeft => {
                    // Dropping the connection makes the target stop the run.
                    self.exchange.finish(CallEnd::CallerLeft, self.status);
                    return;
                }
                StreamEnd::TimedOut => return self.abort("time limit").await,
                StreamEnd::Broken(reason) => {
                    let software = self.exchange.record.software.as_deref().unwrap_or("unknown");
                    let text = format!(
                        "{incarnation} of software {software} broke off its stream: {reason}"
                    );
                    self.exchange.note(&text);
                    answer.guard.set_end(RunEnd::Broken);
                    drop(answer);
                    match self.resume().await {
                        Some(next) => answer = next,
                        None => return self.abort("target broke off").await,
                    }
                }
            }
        }
    }

    /// Forwards a target's events until its stream ends.
    async fn forward_events(&mut self, answer: &mut PendingAnswer) -> StreamEnd {
        let deadline = self.exchange.ended();
        tokio::pin!(deadline);
        loop {
            let frame = tokio::select! {
                frame = next_data(&mut answer.body) => frame,
                () = self.sender.closed() => return StreamEnd::CallerLeft,
                () = &mut deadline => return StreamEnd::TimedOut,
            };
            let data = match frame {
                Some(Ok(data)) => data,
                Some(Err(error)) => return StreamEnd::Broken(error.to_string()),
                None if self.splitter.is_at_boundary() => return StreamEnd::Complete,
                None => return StreamEnd::Broken("ended inside an event".into()),
            };
            answer.connection.note_progress();
            self.received += data.len();
            if self.received > constants::ANSWER_LIMIT {
                return StreamEnd::Broken(format!("more than {} bytes", constants::ANSWER_LIMIT));
            }
            answer.guard.set_answered();
            self.exchange.context.pool.borrow_mut().note_heard(answer.guard.target(), clock::now());
            self.exchange.record.first_byte.get_or_insert(self.exchange.age());
            let events_before = self.splitter.events();
            let events = self.splitter.push(data);
            self.exchange.record.events += self.splitter.events() - events_before;
            answer.guard.set_events(self.splitter.events());
            if self.splitter.held_back() > constants::EVENT_LIMIT {
                return StreamEnd::Broken(format!(
                    "an event of more than {} bytes",
                    constants::EVENT_LIMIT
                ));
            }
            let Some(events) = events else { continue };
            self.exchange.hold_software();
            tokio::select! {
                sent = self.sender.send(Ok(events)) => {
                    if sent.is_err() {
                        return StreamEnd::CallerLeft;
                    }
                }
                () = &mut deadline => return StreamEnd::TimedOut,
            }
        }
    }

    /// Decides whether a stream is complete that ended with its connection, after a complete event.
    async fn confirm_end(&self, witness: EndWitness, incarnation: &TargetIncarnation) -> StreamEnd {
        if self.exchange.record.events == 0 && self.exchange.resume_after.is_none() {
            return StreamEnd::Broken("ended before its first event".into());
        }
        let confirming =
            self.exchange.confirm_end(witness, incarnation, constants::STREAM_PATIENCE);
        tokio::select! {
            result = confirming => match result {
                Ok(()) => StreamEnd::Complete,
                Err(error) => StreamEnd::Broken(error.to_string()),
            },
            () = self.exchange.ended() => StreamEnd::TimedOut,
        }
    }

    /// Resumes the stream at another target after the last complete event; `None` if the route does not allow it, no
    /// target succeeds, or the caller leaves.
    async fn resume(&mut self) -> Option<PendingAnswer> {
        let exchange = &mut self.exchange;
        let (kind, runs) = (exchange.route.kind, exchange.record.runs);
        if !may_send_again(RunProof::Unknown, kind, runs, exchange.route.max_targets) {
            return None;
        }
        if exchange.is_software_unknown() {
            exchange.note("not resumed: its version is not known");
            return None;
        }
        exchange.resume_after = self.splitter.last_id().or(exchange.resume_after);
        self.splitter.begin_run();
        exchange.exclude_last();
        let result = tokio::select! {
            result = exchange.dispatch() => result,
            () = self.sender.closed() => return None,
        };
        let DispatchResult::Success(answer) = result else { return None };
        exchange.release_body();
        counter!("plantain_streams_resumed_total").increment(1);
        Some(answer)
    }

    /// Aborts the caller's stream, so that it does not look complete.
    async fn abort(mut self, reason: &str) {
        self.exchange.note(&format!("cut: {reason}"));
        let _ = self.sender.send(Err(BodyAbort(reason.to_owned()))).await;
        self.exchange.finish(CallEnd::BrokenOff, self.status);
    }
}

async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}
