//! An HTTP client with time limits, whose errors name the request and the peer.

use crate::exchange::{ExchangeConnector, HEAD_LIMIT};
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

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed. Servers close idle connections too, many engines after 5 s,
/// and a request sent at that moment fails with its outcome unknown; so the client closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time before the kernel's first keepalive probe, and the interval between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel closes a connection.
const PROBE_COUNT: u32 = 2;
/// Largest body that is read into memory, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// An HTTP/1 client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<ExchangeConnector, Full<Bytes>>,
    /// Largest body that is read into memory, in bytes.
    answer_limit: usize,
}

/// An answer whose body was read into memory.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status of the answer, which may be an error.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: hyper::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).wrap_err("decode JSON answer")
    }

    /// The body as text; invalid UTF-8 is replaced.
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
    /// Creates a client with an empty pool. It must be used on one Tokio runtime only.
    pub fn new() -> Self {
        Self::with_connector(HttpConnector::new(), ANSWER_LIMIT)
    }

    /// Creates a client that reads bodies of at most `answer_limit` bytes, and closes a connection on which more arrives.
    pub fn with_answer_limit(answer_limit: usize) -> Self {
        Self::with_connector(HttpConnector::new(), answer_limit)
    }

    /// Creates a client for long polls. TCP keepalive probes detect a dead connection within seconds, although
    /// no data is expected on it meanwhile.
    pub fn with_probes() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_keepalive(Some(PROBE_PAUSE));
        connector.set_keepalive_interval(Some(PROBE_PAUSE));
        connector.set_keepalive_retries(Some(PROBE_COUNT));
        Self::with_connector(connector, ANSWER_LIMIT)
    }

    fn with_connector(mut connector: HttpConnector, answer_limit: usize) -> Self {
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            // The peer may have read a request whose connection was closed; whether to retry it is the
            // caller's decision, never the pool's.
            .retry_canceled_requests(false)
            .http1_max_buf_size(HEAD_LIMIT)
            .build(ExchangeConnector::new(connector, HEAD_LIMIT + answer_limit));
        Self { client, answer_limit }
    }

    /// Sends a request and returns once the headers of the answer have arrived. It has no time limit.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let step = format!("{} {}", request.method(), request.uri());
        self.client.request(request).await.map_err(|error| SendError::new(&step, &error))
    }

    /// Sends a request and reads the complete answer, within `limit`.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<HttpAnswer> {
        let step = format!("{} {}", request.method(), request.uri());
        let exchange = async {
            let (parts, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, self.answer_limit).collect().await;
            let body = body.map_err(|error| eyre!("{step}: read answer: {error}"))?.to_bytes();
            Ok(HttpAnswer { status: parts.status, headers: parts.headers, body })
        };
        match timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(eyre!("{step}: no answer within {limit:?}")),
        }
    }

    /// Sends a JSON body and reads the complete answer, within `limit`; any status is an `Ok`.
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

    /// Gets a text; a status other than success is an error.
    pub async fn get_text(&self, uri: &str, limit: Duration) -> Result<String> {
        let answer = self.call(Method::GET, uri, Bytes::new(), limit).await?;
        ensure!(answer.status.is_success(), "GET {uri}: {}", answer.status);
        Ok(answer.text())
    }

    /// Gets a JSON value; a status other than success is an error.
    pub async fn get_json<T: DeserializeOwned>(&self, uri: &str, limit: Duration) -> Result<T> {
        let answer = self.call(Method::GET, uri, Bytes::new(), limit).await?;
        ensure!(answer.status.is_success(), "GET {uri}: {}: {}", answer.status, answer.text());
        answer.json().wrap_err_with(|| format!("GET {uri}"))
    }

    /// Posts a JSON value; a status other than success is an error.
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

/// Builds the `http` URL of a path at a peer.
pub fn url(peer: SocketAddr, path: &str) -> String {
    format!("http://{peer}{path}")
}

/// Failure of a request before the headers of its answer arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendError {
    /// Method, URL and cause.
    pub message: String,
    /// Whether connecting failed, so that no byte of the request was sent.
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
