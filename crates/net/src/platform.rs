//! Client of the platform's object API: versioned objects, conditional updates, watches, hosts.

pub mod records;

use crate::client::{HttpAnswer, HttpClient, url};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use plantain_core::direct::sharing::StoreEra;
use records::{HostRecord, ObjectList, ObjectRecord, PutAnswer};
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::watch;

/// Time limit of calls other than watches.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the platform answers a watch although nothing has changed.
pub const WATCH_TIME: Duration = Duration::from_secs(20);

/// Header of the platform with the era of its history.
pub const ERA_HEADER: &str = "store-era";

/// Latest era of the platform's history that a process knows, shared by its clients. The era rises each time the
/// platform returns from an older copy of itself; versions of the lost history are then given out again.
#[derive(Clone, Debug)]
pub struct EraTracker(Arc<watch::Sender<StoreEra>>);

impl Default for EraTracker {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }
}

impl EraTracker {
    /// The latest known era; 0 before the first answer that names one.
    pub fn latest(&self) -> StoreEra {
        *self.0.borrow()
    }

    /// Waits until an era after `era` is known.
    pub async fn wait_after(&self, era: StoreEra) {
        let _ = self.0.subscribe().wait_for(|latest| *latest > era).await;
    }

    /// Records the era of an answer and returns the latest known one.
    fn note(&self, era: StoreEra) -> StoreEra {
        self.0.send_if_modified(|latest| {
            let is_later = era > *latest;
            *latest = era.max(*latest);
            is_later
        });
        self.latest()
    }
}

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformError {
    /// A conditional update was refused; holds the object's current version.
    Conflict(u64),
    /// The object does not exist.
    Missing,
    /// The platform has no history since the revision of the watch.
    HistoryGone,
    /// The platform refused the call with status 429; holds method and path.
    Busy(String),
    /// No answer, or an unexpected status: a write may have taken effect all the same.
    Unanswered(String),
    /// Data that cannot be encoded or decoded, or parts that do not fit together.
    Malformed(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(version) => {
                write!(formatter, "platform: conflict: object is at version {version}")
            }
            Self::Missing => formatter.write_str("platform: no such object"),
            Self::HistoryGone => formatter.write_str("platform: the history is gone"),
            Self::Busy(step) => write!(formatter, "platform: too many calls: {step}"),
            Self::Unanswered(step) => write!(formatter, "platform: no answer: {step}"),
            Self::Malformed(step) => write!(formatter, "platform: malformed answer: {step}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Result of a platform call.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    http: HttpClient,
    eras: EraTracker,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr, http: HttpClient) -> Self {
        Self { address, http, eras: EraTracker::default() }
    }

    /// Shares the known era with the other clients of the process.
    #[must_use]
    pub fn with_eras(self, eras: EraTracker) -> Self {
        Self { eras, ..self }
    }

    /// The known era of the platform's history.
    pub fn eras(&self) -> &EraTracker {
        &self.eras
    }

    /// The platform's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets an object.
    pub async fn get<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> PlatformResult<ObjectRecord<T>> {
        let path = format!("/v1/objects/{kind}/{name}");
        parse(&self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?)
    }

    /// Lists the objects of a kind.
    pub async fn list<T: DeserializeOwned>(&self, kind: &str) -> PlatformResult<ObjectList<T>> {
        let path = format!("/v1/objects/{kind}");
        parse_list(&self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?)
    }

    /// Writes an object if it is at `version`; 0 means that it must not exist. Returns its new version.
    pub async fn put<T: Serialize + Sync>(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &T,
    ) -> PlatformResult<u64> {
        let path = format!("/v1/objects/{kind}/{name}?version={version}");
        let body =
            serde_json::to_vec(value).map_err(|e| PlatformError::Malformed(e.to_string()))?;
        let answer = self.call(Method::PUT, &path, body.into(), CALL_TIMEOUT).await?;
        Ok(parse::<PutAnswer>(&answer)?.version)
    }

    /// Deletes an object, whatever its version.
    pub async fn delete(&self, kind: &str, name: &str) -> PlatformResult<()> {
        let path = format!("/v1/objects/{kind}/{name}");
        self.call(Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT).await.map(drop)
    }

    /// Waits until objects of a kind have changed since `revision`, at most for [`WATCH_TIME`].
    pub async fn watch<T: DeserializeOwned>(
        &self,
        kind: &str,
        revision: u64,
    ) -> PlatformResult<ObjectList<T>> {
        let wait = WATCH_TIME.as_millis();
        let path = format!("/v1/watch/{kind}?after={revision}&wait_ms={wait}");
        parse_list(&self.call(Method::GET, &path, Bytes::new(), WATCH_TIME + CALL_TIMEOUT).await?)
    }

    /// Gets the platform's list of hosts, which lags behind their real state.
    pub async fn hosts(&self) -> PlatformResult<Vec<HostRecord>> {
        parse(&self.call(Method::GET, "/v1/hosts", Bytes::new(), CALL_TIMEOUT).await?)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> PlatformResult<HttpAnswer> {
        let step = format!("{method} {path}");
        let answer = self.http.call(method, &url(self.address, path), body, limit).await;
        let answer = answer.map_err(|error| PlatformError::Unanswered(format!("{error:#}")))?;
        let (era, latest) = (era_of(&answer), self.eras.note(era_of(&answer)));
        if era < latest {
            let text = format!("{step}: answer of era {era}, not {latest}");
            return Err(PlatformError::Unanswered(text));
        }
        match answer.status {
            status if status.is_success() => Ok(answer),
            StatusCode::NOT_FOUND => Err(PlatformError::Missing),
            StatusCode::GONE => Err(PlatformError::HistoryGone),
            StatusCode::CONFLICT => {
                Err(PlatformError::Conflict(parse::<PutAnswer>(&answer)?.version))
            }
            StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::Busy(step)),
            status => {
                Err(PlatformError::Unanswered(format!("{step}: {status}: {}", answer.text())))
            }
        }
    }
}

/// Era of an answer; 0 if it names none.
fn era_of(answer: &HttpAnswer) -> StoreEra {
    let era = answer.headers.get(ERA_HEADER).and_then(|era| era.to_str().ok());
    era.and_then(|era| era.trim().parse().ok()).unwrap_or(0)
}

fn parse_list<T: DeserializeOwned>(answer: &HttpAnswer) -> PlatformResult<ObjectList<T>> {
    Ok(ObjectList { era: era_of(answer), ..parse(answer)? })
}

fn parse<T: DeserializeOwned>(answer: &HttpAnswer) -> PlatformResult<T> {
    answer.json().map_err(|error| PlatformError::Malformed(format!("{error:#}")))
}
