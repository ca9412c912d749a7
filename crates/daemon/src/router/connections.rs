//! Pool of keep-alive connections to targets.

use super::{constants, progress::CallProgress};
use crate::clock;
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure, eyre};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use metrics::counter;
use plantain_core::{direct::membership::TargetIncarnation, ids::Timestamp};
use plantain_net::exchange::{ExchangeMeter, ExchangeSocket, HEAD_LIMIT};
use plantain_platform::engine;
use socket2::SockRef;
use std::{
    cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

/// An open connection to a target.
struct CallSender {
    requests: SendRequest<Full<Bytes>>,
    meter: Arc<ExchangeMeter>,
}

/// A connection in use by one call.
pub(crate) struct TargetConnection {
    sender: CallSender,
    incarnation: TargetIncarnation,
}

/// Whether a target must name its incarnation before a call is sent to it: one that started again under its id may run
/// other software than its entry says. A connection leads to the same incarnation until it ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IdentityCheck {
    /// The call is sent to any incarnation.
    Skipped,
    /// The call is sent unless another incarnation answers.
    Wanted,
    /// The call is sent only to the expected incarnation.
    Required,
}

/// Which incarnation of a target answers on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TargetIdentity {
    Expected,
    Other,
    Unknown,
}

struct IdleConnection {
    sender: CallSender,
    until: Timestamp,
}

/// Result of sending a request.
pub(crate) enum SendEnd {
    /// The head of an answer arrived.
    Answered {
        answer: Response<Incoming>,
        connection: TargetConnection,
        /// Whether the target named its incarnation on this connection before the request was sent.
        is_identified: bool,
    },
    /// No byte of the request can have reached the target.
    Unsent(String),
    /// The caller has left since an earlier send; the request was not sent.
    CallerLeft,
    /// Another incarnation of the target answers at the address; the request was not sent.
    OtherIncarnation,
    /// The target did not name its incarnation, which was required; the request was not sent.
    Unidentified,
    /// The request may have reached the target, and the connection failed before an answer.
    Broken(String),
}

/// Idle connections by the target's incarnation. The key is not the address, which may belong to another service after
/// the target has ended, nor the id: connections to the previous incarnation are dead.
#[derive(Clone, Default)]
pub(crate) struct ConnectionPool {
    idle: Rc<RefCell<HashMap<TargetIncarnation, Vec<IdleConnection>>>>,
}

impl CallSender {
    /// Sends a request and returns the head of its answer. The connection is reset if it is dropped before
    /// [`ConnectionPool::put_back`].
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.meter.begin();
        let answer = self.requests.try_send_request(request).await?;
        self.meter.note_progress();
        Ok(answer)
    }
}

impl TargetConnection {
    /// Notes that a part of the answer's body has arrived.
    pub(crate) fn note_progress(&self) {
        self.sender.meter.note_progress();
    }
}

impl ConnectionPool {
    /// Sends a request on an idle connection of the pool, or on a new one. `progress` shows that the call may be running
    /// once a byte of the request may have reached the target.
    pub(crate) async fn send(
        &self,
        incarnation: &TargetIncarnation,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        progress: &CallProgress,
        check: IdentityCheck,
    ) -> SendEnd {
        while let Some(mut sender) = self.take(incarnation) {
            let is_identified = match identify(&mut sender, incarnation, check).await {
                TargetIdentity::Other => return SendEnd::OtherIncarnation,
                identity => identity == TargetIdentity::Expected,
            };
            if check != IdentityCheck::Skipped && !is_identified {
                // The target may have closed the connection; each further one could take as long to find out.
                break;
            }
            if progress.caller_left().is_some() {
                return SendEnd::CallerLeft;
            }
            progress.set_running(true);
            match sender.send(request).await {
                Ok(answer) => return answered(answer, sender, incarnation, is_identified),
                // The connection closed before the request was written, and returns the request.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => {
                        progress.set_running(false);
                        request = unsent;
                    }
                    None => return SendEnd::Broken(error.into_error().to_string()),
                },
            }
        }
        self.send_on_new(incarnation, address, request, progress, check).await
    }

    /// Sends a request on a new connection.
    async fn send_on_new(
        &self,
        incarnation: &TargetIncarnation,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        progress: &CallProgress,
        check: IdentityCheck,
    ) -> SendEnd {
        let mut sender = match connect(address).await {
            Ok(sender) => sender,
            Err(error) => return SendEnd::Unsent(format!("{error:#}")),
        };
        let identity = identify(&mut sender, incarnation, check).await;
        match (identity, check) {
            (TargetIdentity::Other, _) => return SendEnd::OtherIncarnation,
            (TargetIdentity::Unknown, IdentityCheck::Required) => {
                return SendEnd::Unidentified;
            }
            (TargetIdentity::Unknown, IdentityCheck::Wanted) => {
                sender = match connect(address).await {
                    Ok(sender) => sender,
                    Err(error) => return SendEnd::Unsent(format!("{error:#}")),
                };
            }
            _ => {}
        }
        let is_identified = identity == TargetIdentity::Expected;
        if progress.caller_left().is_some() {
            return SendEnd::CallerLeft;
        }
        progress.set_running(true);
        match sender.send(request).await {
            Ok(answer) => answered(answer, sender, incarnation, is_identified),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                progress.set_running(!is_unsent);
                let text = error.into_error().to_string();
                if is_unsent { SendEnd::Unsent(text) } else { SendEnd::Broken(text) }
            }
        }
    }

    /// Returns a connection to the pool once it is reusable, after its answer was read completely; `keep` is the
    /// keep-alive timeout that the target advertised.
    pub(crate) fn put_back(&self, connection: TargetConnection, keep: Option<Duration>) {
        let keep = match keep {
            Some(advertised) => advertised.mul_f64(constants::KEEP_ALIVE_SHARE),
            None => constants::DEFAULT_KEEP_ALIVE,
        };
        connection.sender.meter.end();
        if keep.is_zero() || connection.sender.requests.is_closed() {
            return;
        }
        let pool = self.clone();
        spawn_local(async move {
            let TargetConnection { mut sender, incarnation } = connection;
            if let Ok(Ok(())) = timeout(constants::SETTLE_LIMIT, sender.requests.ready()).await {
                let until = clock::now() + keep;
                let mut idle = pool.idle.borrow_mut();
                let kept = idle.entry(incarnation).or_default();
                if kept.len() < constants::IDLE_CONNECTIONS {
                    kept.push(IdleConnection { sender, until });
                }
            }
        });
    }

    /// Whether an engine answers a request for its report on a new connection.
    pub(crate) async fn is_answering(&self, address: SocketAddr) -> bool {
        let probe = async {
            let mut sender = connect(address).await?;
            named_start(&mut sender).await
        };
        matches!(timeout(constants::IDENTITY_LIMIT, probe).await, Ok(Ok(_)))
    }

    /// Whether a target names this incarnation on a new connection, within a time limit.
    pub(crate) async fn is_identified(
        &self,
        incarnation: &TargetIncarnation,
        address: SocketAddr,
        limit: Duration,
    ) -> bool {
        let asking = async {
            loop {
                let named = async { named_start(&mut connect(address).await?).await };
                match named.await {
                    Ok(started) => return started.is_some() && started == incarnation.started,
                    // Connections may be lost, and a busy target may reset them.
                    Err(_) => sleep(constants::PROBE_PAUSE).await,
                }
            }
        };
        counter!("plantain_identity_checks_total").increment(1);
        timeout(limit, asking).await.unwrap_or(false)
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&self, now: Timestamp) {
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| now < idle.until && !idle.sender.requests.is_closed());
            !kept.is_empty()
        });
    }

    /// Closes all idle connections; called after a suspension, in which the targets may have closed them.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes the most recently used connection, which its target is least likely to be closing.
    fn take(&self, incarnation: &TargetIncarnation) -> Option<CallSender> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(incarnation)?;
        while let Some(connection) = kept.pop() {
            if now < connection.until && connection.sender.requests.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }
}

fn answered(
    answer: Response<Incoming>,
    sender: CallSender,
    incarnation: &TargetIncarnation,
    is_identified: bool,
) -> SendEnd {
    let incarnation = incarnation.clone();
    let connection = TargetConnection { sender, incarnation };
    SendEnd::Answered { answer, connection, is_identified }
}

/// Asks the target behind a connection which incarnation it is, if the check needs it.
async fn identify(
    sender: &mut CallSender,
    incarnation: &TargetIncarnation,
    check: IdentityCheck,
) -> TargetIdentity {
    if check == IdentityCheck::Skipped {
        return TargetIdentity::Unknown;
    }
    counter!("plantain_identity_checks_total").increment(1);
    let named = timeout(constants::IDENTITY_LIMIT, named_start(sender)).await;
    match named {
        Ok(Ok(started)) if started.is_some() && started == incarnation.started => {
            TargetIdentity::Expected
        }
        Ok(Ok(Some(_))) => TargetIdentity::Other,
        _ => TargetIdentity::Unknown,
    }
}

/// The start that the target behind a connection reports; the connection is ready for another request then.
async fn named_start(sender: &mut CallSender) -> Result<Option<u64>> {
    let request = engine::report_request().map(|body| Full::new(body.into()));
    let answer = sender.requests.send_request(request).await.wrap_err("request report")?;
    ensure!(answer.status().is_success(), "report: {}", answer.status());
    let body = Limited::new(answer.into_body(), constants::IDENTITY_BYTES).collect().await;
    let body = body.map_err(|error| eyre!("read report: {error}"))?.to_bytes();
    let report = engine::decode_report(&body)?;
    sender.requests.ready().await.wrap_err("wait for connection")?;
    Ok(report.started)
}

async fn connect(address: SocketAddr) -> Result<CallSender> {
    counter!("plantain_target_connections_total").increment(1);
    let stream = timeout(constants::CONNECT_LIMIT, TcpStream::connect(address))
        .await
        .wrap_err_with(|| format!("connect to {address}: no answer"))?
        .wrap_err_with(|| format!("connect to {address}"))?;
    configure_socket(&stream).wrap_err_with(|| format!("prepare connection to {address}"))?;
    let meter = ExchangeMeter::new(constants::UNANSWERED_LIMIT);
    let socket = ExchangeSocket::new(stream, Arc::clone(&meter));
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(HEAD_LIMIT)
        .handshake(TokioIo::new(socket))
        .await
        .wrap_err_with(|| format!("start HTTP with {address}"))?;
    spawn_local(async move {
        // The call that waits for an answer gets the error; an error of an idle connection is ignored.
        let _ = connection.await;
    });
    Ok(CallSender { requests, meter })
}

/// Disables write coalescing, and lets the kernel close connections whose peer stopped acknowledging.
pub(crate) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(constants::UNACKED_LIMIT))
}
