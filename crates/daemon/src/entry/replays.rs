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

/// Largest number of keys in the table. When it is full, the key whose request ended first is evicted.
pub const REPLAY_LIMIT: usize = 2_048;
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

/// Why a request does not count as the first one with its key.
#[derive(Debug)]
pub enum ReplayRefusal {
    /// There is an earlier request with the key; holds its state.
    Known(watch::Receiver<FirstRequest>),
    /// The table is full of keys whose requests are in flight. The request must not run.
    Full,
}

struct ReplayEntry {
    began: Instant,
    sender: watch::Sender<FirstRequest>,
}

#[derive(Default)]
struct ReplayState {
    requests: HashMap<RecordKey, ReplayEntry>,
    /// Keys whose requests have ended, in the order of their ends. Only these are evicted: without the key of a
    /// request in flight, a retry would be told that the request did not run.
    ended: VecDeque<RecordKey>,
}

/// The first request with each key at this entry, from its begin until it has ended and [`RECORD_WINDOW`] since its
/// begin has passed.
#[derive(Clone, Default)]
pub struct ReplayTable(Arc<Mutex<ReplayState>>);

impl std::fmt::Debug for ReplayTable {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ReplayTable")
    }
}

impl ReplayTable {
    /// Adds a first request, which begins at `now`, or returns why it is not the first one.
    pub fn begin(&self, key: &RecordKey, now: Instant) -> Result<ReplayGuard, ReplayRefusal> {
        let mut state = self.lock();
        state.expire(key, now);
        if let Some(known) = state.requests.get(key) {
            return Err(ReplayRefusal::Known(known.sender.subscribe()));
        }
        state.make_room(now)?;
        let sender = watch::Sender::new(FirstRequest::Running);
        state.requests.insert(key.clone(), ReplayEntry { began: now, sender });
        Ok(ReplayGuard { table: self.clone(), key: key.clone(), end: Some(FirstRequest::Failed) })
    }

    fn lock(&self) -> MutexGuard<'_, ReplayState> {
        self.0.lock().expect("no panic while locked")
    }
}

impl ReplayState {
    /// Whether the request of this key has ended and the window of its record has passed.
    fn is_expired(&self, key: &RecordKey, now: Instant) -> bool {
        self.requests.get(key).is_some_and(|request| {
            now.saturating_duration_since(request.began) >= RECORD_WINDOW
                && !matches!(*request.sender.borrow(), FirstRequest::Running)
        })
    }

    /// Removes this key if it is expired: requests end in another order than they began, so it may stand behind keys
    /// that are not.
    fn expire(&mut self, key: &RecordKey, now: Instant) {
        if self.is_expired(key, now) {
            self.requests.remove(key);
            self.ended.retain(|ended| ended != key);
        }
    }

    /// Evicts ended requests until there is room for one more.
    fn make_room(&mut self, now: Instant) -> Result<(), ReplayRefusal> {
        while let Some(key) = self.ended.front() {
            if self.requests.len() < REPLAY_LIMIT && !self.is_expired(key, now) {
                break;
            }
            if let Some(key) = self.ended.pop_front() {
                self.requests.remove(&key);
            }
        }
        if self.requests.len() < REPLAY_LIMIT { Ok(()) } else { Err(ReplayRefusal::Full) }
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
            if let Some(request) = state.requests.get(&self.key) {
                request.sender.send_replace(end);
                state.ended.push_back(self.key.clone());
            }
        } else {
            state.requests.remove(&self.key);
        }
    }
}
