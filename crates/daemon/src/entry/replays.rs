//! First answers to keyed non-idempotent requests, held for the caller's own retries.

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

/// Answers held.
const REPLAY_LIMIT: usize = 2_048;
/// Largest body that is held; a retry of a larger one is told that it ran.
const REPLAY_BODY: usize = 8 << 10;

/// An answer that can be given again.
#[derive(Clone, Debug)]
pub struct HeldAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl HeldAnswer {
    /// Copies an answer that came whole; `None` if it is too large or a stream.
    pub fn copy(reply: &HttpReply) -> Option<Self> {
        match reply.body() {
            ReplyBody::Whole(Some(body)) if body.len() <= REPLAY_BODY => Some(Self {
                status: reply.status(),
                headers: reply.headers().clone(),
                body: body.clone(),
            }),
            _ => None,
        }
    }

    /// The answer again.
    pub fn reply(&self) -> HttpReply {
        let mut reply = Response::new(ReplyBody::new(self.body.clone()));
        *reply.status_mut() = self.status;
        *reply.headers_mut() = self.headers.clone();
        reply
    }
}

/// How the first request of a key stands.
#[derive(Clone, Debug)]
pub enum FirstRequest {
    /// It is under way.
    Running,
    /// It was answered; the answer may have been too large to hold.
    Answered(Option<HeldAnswer>),
    /// It ended without an answer.
    Failed,
}

#[derive(Default)]
struct ReplayState {
    requests: HashMap<RecordKey, watch::Sender<FirstRequest>>,
    order: VecDeque<(Instant, RecordKey)>,
}

/// First requests of this entry, by key.
#[derive(Clone, Default)]
pub struct ReplayTable(Arc<Mutex<ReplayState>>);

impl std::fmt::Debug for ReplayTable {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ReplayTable")
    }
}

impl ReplayTable {
    /// Notes a first request, or returns how the one before it stands.
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

/// Tells waiting retries how the first request ended, also when its caller went away.
pub struct ReplayGuard {
    table: ReplayTable,
    key: RecordKey,
    end: Option<FirstRequest>,
}

impl ReplayGuard {
    /// It was answered.
    pub fn answered(mut self, reply: &HttpReply) {
        self.end = Some(FirstRequest::Answered(HeldAnswer::copy(reply)));
    }

    /// It was provably not run, so that the next request with the key is a first one again.
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
