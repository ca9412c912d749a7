//! An HTTP/1 server on hyper with a time limit for request headers, a connection limit, and a graceful stop
//! that lets requests in flight finish.

use crate::{body::ReplyBody, caller::watched, count::CountGuard};
use eyre::{Result, WrapErr};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::sleep,
};

/// Time limit for receiving the headers of a request. The connection is closed after it, so that slow
/// or half-open callers do not use up the connection limit.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Read buffer of a connection, in bytes, which limits the size of a request's headers.
const HEAD_LIMIT: usize = 64 << 10;
/// Pause after `accept` failed, for instance because the process has no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An answer to a request.
pub type HttpReply = Response<ReplyBody>;

/// Handles the requests of a server's connections.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Answers one request of a connection from `peer`.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = HttpReply> + Send;
}

/// Limits that a server enforces on its connections.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Maximum number of open connections; further ones wait in the listen queue.
    pub connections: usize,
}

/// Binds a listener; `purpose` names it in the error.
pub async fn bind(address: SocketAddr, purpose: &str) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("bind {purpose} on {address}"))
}

/// Accepts connections until `stopping` is true, then waits for the requests in flight.
pub async fn serve<H: HttpHandler>(
    listener: TcpListener,
    handler: H,
    options: ServerOptions,
    mut stopping: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(options.connections));
    let open_connections = Arc::new(AtomicUsize::new(0));
    loop {
        let permit = tokio::select! {
            permit = Arc::clone(&permits).acquire_owned() => permit.expect("never closed"),
            _ = stopping.wait_for(|stop| *stop) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, peer)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let guard = CountGuard::new(&open_connections);
        let (handler, stopping) = (handler.clone(), stopping.clone());
        tokio::spawn(async move {
            serve_connection(stream, peer, handler, stopping).await;
            drop((permit, guard));
        });
    }
    drop(listener);
    while open_connections.load(Ordering::Acquire) > 0 {
        sleep(Duration::from_millis(5)).await;
    }
}

async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: H,
    mut stopping: watch::Receiver<bool>,
) {
    // Disables Nagle's algorithm: small writes of a stream must not wait for the previous acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request, peer).await) }
    });
    let (socket, mut watch) = watched(stream);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT)
        .half_close(false)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = watch.serve(connection.as_mut()) => return,
        _ = stopping.wait_for(|stop| *stop) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = watch.serve(connection).await;
}

/// Builds an answer with a JSON body.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    typed_reply(status, "application/json", body)
}

/// Builds an answer with a plain-text body.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> HttpReply {
    typed_reply(status, "text/plain; charset=utf-8", text.into().into_bytes())
}

/// Builds an answer with a body of the given content type.
pub fn typed_reply(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> HttpReply {
    let mut reply = Response::new(ReplyBody::new(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}
