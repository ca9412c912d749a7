//! Cache of answers to non-idempotent requests with an idempotency key, for the caller's retries.

use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode};
use plantain_core::idempotency::{RECORD_WINDOW, RecordKey};
use plantain_net::{body::ReplyBody, server::HttpReply};
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};
use tokio::sync::watch;

/// Largest number of keys in the table; the oldest are evicted when it is full.
const REPLAY_LIMIT: usize = 2_048;
/// Largest body in bytes that is cached. A retry of a request with a larger answer gets an error
/// that says that it ran.
const REPLAY_BODY_LIMIT: usize = 8 << 10;

/// A complete answer, cached for retries.
#[derive(Clone, Debug)]
pub struct CachedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl CachedAnswer {
    /// Copies a complete answer; `None` if it is too large or a stream.
    pub fn copy(reply: &HttpReply) -> Option<Self> {
        match reply.body() {
            ReplyBody::Whole(Some(body)) if body.len() <= REPLAY_BODY_LIMIT => Some(Self {
                status: reply.status(),
                headers: reply.headers().clone(),
                body: body.clone(),
            }),
            _ => None,
        }
    }

    /// The cached answer as a reply to a retry.
    pub fn reply(&self) -> HttpReply {
        let mut reply = Response::new(ReplyBody::new(self.body.clone()));
        *reply.status_mut() = self.status;
        *reply.headers_mut() = self.headers.clone();
        reply
    }
}

/// State of the first request with a key.
#[derive(Clone, Debug)]
pub enum FirstRequest {
    /// It is in flight.
    Running,
    /// It was answered; `None` if the answer was too large to cache.
    Answered(Option<CachedAnswer>),
    /// It ended without an answer.
    Failed,
}

#[derive(Default)]
struct ReplayState {
    requests: HashMap<RecordKey, watch::Sender<FirstRequest>>,
    order: VecDeque<(Instant, RecordKey)>,
}

/// The first request with each key at this entry, for [`RECORD_WINDOW`] after it began.
#[derive(Clone, Default)]
pub struct ReplayTable(Arc<Mutex<ReplayState>>);

impl std::fmt::Debug for ReplayTable {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ReplayTable")
    }
}

impl ReplayTable {
    /// Adds a first request, or returns the state of an earlier request with the same key.
    pub fn begin(&self, key: &RecordKey) -> Result<ReplayGuard, watch::Receiver<FirstRequest>> {
        let mut state = self.lock();
        state.prune();
        if let Some(known) = state.requests.get(key) {
            return Err(known.subscribe());
        }
        let sender = watch::Sender::new(FirstRequest::Running);
        state.requests.insert(key.clone(), sender);
        state.order.push_back((Instant::now(), key.clone()));
        Ok(ReplayGuard { table: self.clone(), key: key.clone(), end: Some(FirstRequest::Failed) })
    }

    fn lock(&self) -> MutexGuard<'_, ReplayState> {
        self.0.lock().expect("no panic while locked")
    }
}

impl ReplayState {
    fn prune(&mut self) {
        while let Some((began, _)) = self.order.front() {
            if self.order.len() < REPLAY_LIMIT && began.elapsed() < RECORD_WINDOW {
                return;
            }
            if let Some((_, key)) = self.order.pop_front() {
                self.requests.remove(&key);
            }
        }
    }
}

/// Notifies waiting retries of the first request's end, also when its caller disconnects.
pub struct ReplayGuard {
    table: ReplayTable,
    key: RecordKey,
    end: Option<FirstRequest>,
}

impl ReplayGuard {
    /// Records the answer.
    pub fn answered(mut self, reply: &HttpReply) {
        self.end = Some(FirstRequest::Answered(CachedAnswer::copy(reply)));
    }

    /// Removes the key, as the request was provably not run: the next one counts as a first
    /// request.
    pub fn not_run(mut self) {
        self.end = None;
    }
}

impl Drop for ReplayGuard {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        if let Some(end) = self.end.take() {
            if let Some(sender) = state.requests.get(&self.key) {
                sender.send_replace(end);
            }
        } else {
            state.requests.remove(&self.key);
            state.order.retain(|(_, key)| *key != self.key);
        }
    }
}
