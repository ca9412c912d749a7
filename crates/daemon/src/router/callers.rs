//! Serves callers' connections: reads and admits requests, and sends the final replies.

use super::{
    admission::{self, CallRejection},
    connections::configure_socket,
    constants,
    context::RouterContext,
    exchange::{AdmittedCall, CallExchange, DispatchResult, GiveUpReason},
    journal::{CallEnd, CallRecord},
    progress::DetachableCall,
    relay::{PlainRead, read_plain, relay_stream},
};
use crate::clock;
use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    header::{CONNECTION, HeaderValue},
    http::request::Parts,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use metrics::counter;
use plantain_core::{
    direct::{
        call::CallHead,
        config::{CallKind, RouteConfig},
        customers::CallerIdentity,
    },
    ids::Timestamp,
};
use plantain_net::{
    body::{BodyAbort, ReplyBody},
    caller::{CallerWatch, watched},
    request_body::{BodyError, BodyLimits, discard},
    server::json_reply,
};
use plantain_platform::calls;
use serde::Serialize;
use std::{
    cell::Cell,
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{interval, sleep},
};

/// Smallest buffer size that the HTTP library accepts.
const BUFFER_FLOOR: usize = 8 << 10;
/// Pause after `accept` failed, for example because no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers' connections until some time after the stop signal, then waits for the calls in flight, at most until
/// the process is to exit.
pub(crate) async fn run(listener: TcpListener, context: Rc<RouterContext>) {
    let intake_ended = context.intake_ended();
    tokio::pin!(intake_ended);
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut intake_ended => break,
        };
        match accepted {
            Ok((stream, _)) if !context.takes_connection() => drop(stream),
            Ok((stream, _)) => {
                let (context, open) = (Rc::clone(&context), Rc::clone(&open));
                open.set(open.get() + 1);
                spawn_local(async move {
                    serve_connection(stream, context).await;
                    open.set(open.get() - 1);
                });
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    let drained = async {
        while open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        () = drained => {}
        () = context.exit_due() => {}
    }
}

/// Requests in flight on a caller's connection, and when the last one ended.
#[derive(Default)]
struct ConnectionState {
    requests: Cell<u32>,
    last_end: Cell<Timestamp>,
}

/// Counts a request as in flight on its connection and at the router until dropped.
struct RequestGuard {
    connection: Rc<ConnectionState>,
    context: Rc<RouterContext>,
}

impl RequestGuard {
    fn new(connection: &Rc<ConnectionState>, context: &Rc<RouterContext>) -> Self {
        connection.requests.set(connection.requests.get() + 1);
        context.calls.set(context.calls.get() + 1);
        Self { connection: Rc::clone(connection), context: Rc::clone(context) }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.requests.set(self.connection.requests.get() - 1);
        self.connection.last_end.set(clock::now());
        self.context.calls.set(self.context.calls.get() - 1);
    }
}

/// A body that holds its request's guard until it is sent or dropped.
struct GuardedBody {
    body: ReplyBody,
    _guard: RequestGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyAbort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAbort>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn serve_connection(stream: TcpStream, context: Rc<RouterContext>) {
    if configure_socket(&stream).is_err() {
        return;
    }
    let state = Rc::new(ConnectionState::default());
    state.last_end.set(clock::now());
    let header_bytes = context.pool.borrow().config().limits.header_bytes;
    let (serving, connection_state) = (Rc::clone(&context), Rc::clone(&state));
    let service = service_fn(move |request| {
        let guard = RequestGuard::new(&connection_state, &serving);
        let context = Rc::clone(&serving);
        async move {
            let mut reply = serve_request(request, &context).await;
            if context.is_stopping() || context.is_overloaded() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply.map(|body| GuardedBody { body, _guard: guard }))
        }
    });
    let (socket, mut watch) = watched(stream);
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(header_bytes.max(BUFFER_FLOOR))
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let intake_ended = context.intake_ended();
    tokio::pin!(intake_ended);
    let mut idle_checks = interval(constants::IDLE_CHECK_PAUSE);
    loop {
        tokio::select! {
            end = watch.serve(connection.as_mut()) => {
                reset_if_cut(&watch, end);
                return;
            }
            () = &mut intake_ended => break,
            _ = idle_checks.tick() => {
                let limit = context.pool.borrow().config().limits.idle_timeout;
                let unused = clock::now().saturating_sub(state.last_end.get());
                if state.requests.get() == 0 && unused > limit {
                    break;
                }
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    let end = watch.serve(connection.as_mut()).await;
    reset_if_cut(&watch, end);
}

/// Resets a connection whose answer was cut: its caller would otherwise hear of it only after it has read all that was
/// sent before.
fn reset_if_cut(watch: &CallerWatch, end: Option<hyper::Result<()>>) {
    let error = end.and_then(Result::err);
    // An error of the body, not of the connection or the request.
    if error.is_some_and(|error| error.is_user()) {
        watch.reset_on_close();
    }
}

async fn serve_request(
    request: Request<Incoming>,
    context: &Rc<RouterContext>,
) -> Response<ReplyBody> {
    let started = clock::now();
    let (parts, mut body) = request.into_parts();
    let head = calls::decode_call(&parts);
    let start_wait = head.time_left.unwrap_or(constants::START_WAIT);
    context.wait_for_first_config(started + start_wait.saturating_sub(constants::SERVE_TIME)).await;
    let config = Arc::clone(context.pool.borrow().config());
    let mut identity = None;
    match admit(&parts, &head, &mut body, &config, context, &mut identity).await {
        Ok(call) => {
            context.record_call(&call.service, head.model.as_ref());
            run_call(CallExchange::new(context, head, call, started)).await
        }
        Err(rejection) => {
            if !body.is_end_stream() {
                let size = config.limits.body_bytes;
                spawn_local(discard(body, size, constants::BODY_LIMIT));
            }
            let caller = identity.as_ref();
            let detail = admission::rejection_detail(context, rejection, &head, caller);
            let record = CallRecord {
                id: head.id.clone(),
                customer: admission::customer_name(caller),
                config: config.number,
                ..CallRecord::default()
            };
            // The query is not logged: it may hold secrets of the caller.
            let path = head.path.split('?').next().unwrap_or_default();
            let location = format!("{}{path}{detail}", head.host);
            reject(context, record, rejection, &location, started)
        }
    }
}

/// Admits or rejects a call; sets `identity` as soon as the caller is identified.
async fn admit(
    parts: &Parts,
    head: &CallHead,
    body: &mut Incoming,
    config: &RouteConfig,
    context: &RouterContext,
    identity: &mut Option<CallerIdentity>,
) -> Result<AdmittedCall, CallRejection> {
    if context.has_intake_ended() {
        return Err(CallRejection::Stopping);
    }
    let (route, service) = admission::find_route(config, head)?;
    let caller = admission::identify(context, config, &route, head)?;
    *identity = Some(caller.clone());
    if head.id.is_none() {
        return Err(CallRejection::NoId);
    }
    let event = head.resume.as_ref().map(|resume| resume.event);
    if route.kind.is_stream() && event == Some(None) {
        return Err(CallRejection::BadEvent);
    }
    admission::check_model(config, &service, head)?;
    let body = read_body(context, body, config.limits.body_bytes).await?;
    // Only a call whose body arrived completely is charged.
    let charge = admission::charge(context, &caller, head).await?;
    let (method, headers) = (parts.method.clone(), parts.headers.clone());
    Ok(AdmittedCall { method, headers, body, route, service, caller, charge })
}

async fn read_body(
    context: &RouterContext,
    body: &mut Incoming,
    size: usize,
) -> Result<Bytes, CallRejection> {
    let (time, wait) = (constants::BODY_LIMIT, constants::ROOM_WAIT);
    let limits = BodyLimits { size, time, wait };
    let read = tokio::select! {
        read = context.bodies.read(body, &limits) => read,
        () = context.intake_ended() => return Err(CallRejection::Stopping),
    };
    read.map_err(|error| match error {
        BodyError::NoRoom => CallRejection::NoBodyRoom,
        BodyError::TooLarge => CallRejection::BodyTooLarge,
        BodyError::Broken(_) => CallRejection::BodyBroken,
        BodyError::Slow => CallRejection::BodySlow,
    })
}

/// Runs a call. If its caller disconnects, the call is cancelled, except one that is not idempotent and may be running:
/// cancelling that would leave unknown whether it ran.
async fn run_call(exchange: CallExchange) -> Response<ReplyBody> {
    if exchange.route.kind == CallKind::NonIdempotent {
        let progress = Rc::clone(&exchange.progress);
        return DetachableCall::new(answer_call(exchange), progress).await;
    }
    answer_call(exchange).await
}

async fn answer_call(mut exchange: CallExchange) -> Response<ReplyBody> {
    exchange.await_verdicts().await;
    if let Err(reason) = exchange.find_software().await {
        return refuse(&exchange, reason);
    }
    loop {
        let result = exchange.dispatch().await;
        exchange.release_body();
        match result {
            DispatchResult::Success(answer) if exchange.route.kind.is_stream() => {
                return relay_stream(exchange, answer);
            }
            DispatchResult::Success(answer) => match read_plain(&mut exchange, answer).await {
                PlainRead::Complete(reply) => {
                    exchange.finish(CallEnd::Served, reply.status());
                    return reply;
                }
                PlainRead::Broken(_) if exchange.may_retry() => exchange.exclude_last(),
                PlainRead::Broken(reason) => return refuse(&exchange, reason),
            },
            DispatchResult::Failure(reply) => {
                exchange.finish(CallEnd::TargetFailed, reply.status());
                return reply;
            }
            DispatchResult::NoAnswer(reason) => return refuse(&exchange, reason),
        }
    }
}

fn reject(
    context: &RouterContext,
    mut record: CallRecord,
    rejection: CallRejection,
    location: &str,
    started: Timestamp,
) -> Response<ReplyBody> {
    let (status, message) = rejection.reply();
    counter!("plantain_rejections_total", "reason" => message).increment(1);
    let mut reply = final_reply(status, message, "not_run");
    if let Some(pause) = rejection.pause() {
        calls::set_retry_after(&mut reply, pause);
    }
    let took = clock::now().saturating_sub(started);
    record.note(took, &format!("{message}: {location}"));
    context.journal.finish(&record, CallEnd::Rejected, status.as_u16(), took, None);
    reply
}

fn refuse(exchange: &CallExchange, reason: GiveUpReason) -> Response<ReplyBody> {
    let (status, message, outcome, end) = match reason {
        GiveUpReason::NotRun(_) => {
            (StatusCode::SERVICE_UNAVAILABLE, "not served now", "not_run", CallEnd::NotRun)
        }
        GiveUpReason::Quarantined(_) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "held back: targets have ended while they ran this request or a part of its prompt",
            "not_run",
            CallEnd::NotRun,
        ),
        GiveUpReason::Unresumable(_) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the stream cannot go on here",
            "not_run",
            CallEnd::NotRun,
        ),
        GiveUpReason::Unknown => {
            (StatusCode::BAD_GATEWAY, "the target broke off", "unknown", CallEnd::Unknown)
        }
        GiveUpReason::TimedOut => {
            (StatusCode::GATEWAY_TIMEOUT, "no answer in time", "unknown", CallEnd::Unknown)
        }
    };
    counter!("plantain_refusals_total", "reason" => message).increment(1);
    let mut reply = final_reply(status, message, outcome);
    let retry_after = match reason {
        GiveUpReason::NotRun(pause) | GiveUpReason::Quarantined(pause) => Some(pause),
        GiveUpReason::Unresumable(pause) => pause,
        GiveUpReason::Unknown | GiveUpReason::TimedOut => None,
    };
    if let Some(pause) = retry_after {
        calls::set_retry_after(&mut reply, pause);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        exchange.refund();
    }
    calls::set_call_id(&mut reply, exchange.head.id.as_deref().unwrap_or_default());
    exchange.finish(end, status);
    reply
}

#[derive(Serialize)]
struct FinalReply {
    message: &'static str,
    outcome: &'static str,
}

fn final_reply(
    status: StatusCode,
    message: &'static str,
    outcome: &'static str,
) -> Response<ReplyBody> {
    json_reply(status, &FinalReply { message, outcome })
}
