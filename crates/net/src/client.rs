//! An HTTP client with a time limit, whose errors carry the step and the peer.

use bytes::Bytes;
use eyre::{Result, WrapErr, ensure, eyre};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, Uri, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that an unused connection is kept. Servers close idle ones too, many engines after 5 s, and a
/// request sent on a connection in that moment fails with its outcome unknown; so ours goes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between the kernel's probes of a connection on which a long answer is awaited.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Probes without an answer after which the kernel gives a connection up.
const PROBE_COUNT: u32 = 2;
/// Largest answer that is read whole.
const ANSWER_LIMIT: usize = 64 << 20;

/// A pooled client of HTTP peers.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// An answer read whole.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: hyper::HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Reads the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).wrap_err("read JSON answer")
    }

    /// The body as text, for error messages.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// A client with an empty pool. Must be used on one Tokio runtime only.
    pub fn new() -> Self {
        Self::with_connector(HttpConnector::new())
    }

    /// A client for long waits: the kernel probes its connections, so that one that fell silent is
    /// noticed within seconds although no byte is due on it.
    pub fn with_probes() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_keepalive(Some(PROBE_PAUSE));
        connector.set_keepalive_interval(Some(PROBE_PAUSE));
        connector.set_keepalive_retries(Some(PROBE_COUNT));
        Self::with_connector(connector)
    }

    fn with_connector(mut connector: HttpConnector) -> Self {
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            // A request that met a closed connection may have been read by the peer; whether it is
            // repeated is for the caller to decide, never for the pool.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns when the head of the answer is there.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let step = format!("{} {}", request.method(), request.uri());
        self.client.request(request).await.map_err(|error| SendError::new(&step, &error))
    }

    /// Sends a request and reads the answer whole, within `limit`.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<HttpAnswer> {
        let step = format!("{} {}", request.method(), request.uri());
        let exchange = async {
            let (parts, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, ANSWER_LIMIT).collect().await;
            let body = body.map_err(|error| eyre!("{step}: read answer: {error}"))?.to_bytes();
            Ok(HttpAnswer { status: parts.status, headers: parts.headers, body })
        };
        match timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(eyre!("{step}: no answer within {limit:?}")),
        }
    }

    /// Calls with a body and reads the answer whole.
    pub async fn call(
        &self,
        method: Method,
        uri: &str,
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Result<HttpAnswer> {
        let uri: Uri = uri.parse().wrap_err_with(|| format!("parse address {uri}"))?;
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))?;
        self.fetch(request, limit).await
    }

    /// Gets a page of text; any status but a success is an error.
    pub async fn get_text(&self, uri: &str, limit: Duration) -> Result<String> {
        let answer = self.call(Method::GET, uri, Bytes::new(), limit).await?;
        ensure!(answer.status.is_success(), "GET {uri}: {}", answer.status);
        Ok(answer.text())
    }

    /// Gets a JSON value.
    pub async fn get_json<T: DeserializeOwned>(&self, uri: &str, limit: Duration) -> Result<T> {
        let answer = self.call(Method::GET, uri, Bytes::new(), limit).await?;
        ensure!(answer.status.is_success(), "GET {uri}: {}: {}", answer.status, answer.text());
        answer.json().wrap_err_with(|| format!("GET {uri}"))
    }

    /// Posts a JSON value and checks for success.
    pub async fn post_json<T: Serialize + Sync>(
        &self,
        uri: &str,
        value: &T,
        limit: Duration,
    ) -> Result<HttpAnswer> {
        let answer = self.call(Method::POST, uri, serde_json::to_vec(value)?, limit).await?;
        ensure!(answer.status.is_success(), "POST {uri}: {}: {}", answer.status, answer.text());
        Ok(answer)
    }
}

/// Joins an address and a path.
pub fn url(peer: SocketAddr, path: &str) -> String {
    format!("http://{peer}{path}")
}

/// Why a request got no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendError {
    /// Step, peer and cause.
    pub message: String,
    /// Whether no connection came about, so that no byte of the request was sent.
    pub unsent: bool,
}

impl SendError {
    fn new(step: &str, error: &hyper_util::client::legacy::Error) -> Self {
        let cause = std::error::Error::source(error).map(|cause| format!(": {cause}"));
        let message = format!("{step}: {error}{}", cause.unwrap_or_default());
        Self { message, unsent: error.is_connect() }
    }
}

impl std::fmt::Display for SendError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for SendError {}
