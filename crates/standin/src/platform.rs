//! Stand-in for the platform: versioned objects, conditional writes, watches and a delayed host
//! list. Faults can be set at run time under `/standin/`.

use bytes::Bytes;
use eyre::Result;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode, body::Incoming};
use plantain_net::{
    platform::{
        ERA_HEADER,
        records::{HostRecord, ObjectList, ObjectRecord, PutAnswer},
    },
    server::{self, HttpHandler, HttpReply, ServerOptions, json_reply, text_reply},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Largest object value, in bytes.
const VALUE_LIMIT: usize = 1 << 20;

/// Settings of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Listen address for API and test controls.
    pub listen: SocketAddr,
    /// Limit of writes a second; excess calls get status 429.
    pub writes_per_second: u32,
    /// Limit of reads a second, watches included; excess calls get status 429.
    pub reads_per_second: u32,
    /// Delay until a change of the host list becomes visible.
    pub host_lag: Duration,
}

/// Faults that a test sets with `POST /standin/faults`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Whether every call fails with status 503.
    pub down: bool,
    /// Delay before each call is processed, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next writes take effect but are answered with status 504.
    pub lose_answers: u32,
}

/// Call counters since the start, served at `GET /standin/calls`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads of objects, object lists and host lists.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Conditional writes refused because the version did not match.
    pub conflicts: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
}

#[derive(Clone)]
struct StoredObject {
    version: u64,
    value: Option<Value>,
}

/// A past state, to which the stand-in can return.
struct PlatformCopy {
    objects: HashMap<String, BTreeMap<String, StoredObject>>,
    version: u64,
}

#[derive(Default)]
struct PlatformState {
    objects: HashMap<String, BTreeMap<String, StoredObject>>,
    version: u64,
    /// Rises by one each time the stand-in returns from its copy.
    era: u64,
    copy: Option<Box<PlatformCopy>>,
    hosts: VecDeque<(Instant, Vec<HostRecord>)>,
    faults: PlatformFaults,
    calls: CallCounts,
    window: Option<Instant>,
    window_reads: u32,
    window_writes: u32,
}

#[derive(Clone)]
struct PlatformHandler {
    options: Arc<PlatformOptions>,
    state: Arc<Mutex<PlatformState>>,
    changed: watch::Sender<u64>,
}

/// Runs the stand-in until `stopping`.
pub async fn run(options: PlatformOptions, stopping: watch::Receiver<bool>) -> Result<()> {
    let listener = server::bind(options.listen, "platform stand-in").await?;
    let handler = PlatformHandler {
        options: Arc::new(options),
        state: Arc::new(Mutex::new(PlatformState { era: 1, ..PlatformState::default() })),
        changed: watch::Sender::new(0),
    };
    server::serve(listener, handler, ServerOptions { connections: 4_096 }, stopping).await;
    Ok(())
}

impl HttpHandler for PlatformHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> HttpReply {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return text_reply(StatusCode::BAD_REQUEST, "body broken off");
        };
        let path = parts.uri.path().to_owned();
        let query = parts.uri.query().unwrap_or("").to_owned();
        if let Some(action) = path.strip_prefix("/standin/") {
            return self.control(action, &body.to_bytes());
        }
        let faults = self.state().faults.clone();
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "platform is down");
        }
        let era = self.state().era;
        let reply = self.answer(&parts.method, &path, &query, body.to_bytes()).await;
        let now = self.state().era;
        // A return cuts the calls in flight.
        let mut reply = if now == era {
            reply
        } else {
            text_reply(StatusCode::SERVICE_UNAVAILABLE, "returned")
        };
        reply.headers_mut().insert(ERA_HEADER, now.into());
        reply
    }
}

impl PlatformHandler {
    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no panic while locked")
    }

    async fn answer(&self, method: &Method, path: &str, query: &str, body: Bytes) -> HttpReply {
        let is_write = matches!(*method, Method::PUT | Method::DELETE);
        if !self.admit(is_write, path.starts_with("/v1/watch/")) {
            return text_reply(StatusCode::TOO_MANY_REQUESTS, "rate limit");
        }
        let parts: Vec<&str> = path.trim_start_matches("/v1/").split('/').collect();
        match (method, parts.as_slice()) {
            (&Method::GET, ["hosts"]) => json_reply(StatusCode::OK, &self.hosts()),
            (&Method::GET, ["objects", kind]) => json_reply(StatusCode::OK, &self.list(kind, 0)),
            (&Method::GET, ["objects", kind, name]) => self.get(kind, name),
            (&Method::GET, ["watch", kind]) => self.watch(kind, query).await,
            (&Method::PUT, ["objects", kind, name]) => self.put(kind, name, query, &body),
            (&Method::DELETE, ["objects", kind, name]) => self.delete(kind, name),
            _ => text_reply(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn admit(&self, is_write: bool, is_watch: bool) -> bool {
        let mut state = self.state();
        let now = Instant::now();
        if state.window.is_none_or(|start| now - start >= Duration::from_secs(1)) {
            state.window = Some(now);
            (state.window_reads, state.window_writes) = (0, 0);
        }
        let admitted = if is_write {
            state.window_writes += 1;
            state.calls.writes += 1;
            state.window_writes <= self.options.writes_per_second
        } else {
            state.window_reads += 1;
            state.calls.reads += u64::from(!is_watch);
            state.calls.watches += u64::from(is_watch);
            state.window_reads <= self.options.reads_per_second
        };
        state.calls.limited += u64::from(!admitted);
        admitted
    }

    fn hosts(&self) -> Vec<HostRecord> {
        let mut state = self.state();
        let due = Instant::now().checked_sub(self.options.host_lag);
        while state.hosts.len() > 1 && due.is_some_and(|due| state.hosts[1].0 <= due) {
            state.hosts.pop_front();
        }
        state.hosts.front().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    fn list(&self, kind: &str, after: u64) -> ObjectList<Value> {
        let state = self.state();
        let objects = state.objects.get(kind).into_iter().flatten();
        let items = objects
            .filter(|(_, object)| object.version > after && (after > 0 || object.value.is_some()))
            .map(|(name, object)| ObjectRecord {
                name: name.clone(),
                version: object.version,
                value: object.value.clone(),
            })
            .collect();
        ObjectList { items, revision: state.version, era: state.era }
    }

    fn get(&self, kind: &str, name: &str) -> HttpReply {
        let state = self.state();
        match state.objects.get(kind).and_then(|objects| objects.get(name)) {
            Some(StoredObject { version, value: Some(value) }) => json_reply(
                StatusCode::OK,
                &ObjectRecord { name: name.into(), version: *version, value: Some(value) },
            ),
            _ => text_reply(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    async fn watch(&self, kind: &str, query: &str) -> HttpReply {
        let after = query_number(query, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let mut changed = self.changed.subscribe();
        let (era, version) = {
            let state = self.state();
            (state.era, state.version)
        };
        if after > version {
            return text_reply(StatusCode::GONE, "no such history");
        }
        let deadline = Instant::now() + wait;
        loop {
            changed.mark_unchanged();
            let list = self.list(kind, after);
            let left = deadline.saturating_duration_since(Instant::now());
            if !list.items.is_empty() || left.is_zero() {
                return json_reply(StatusCode::OK, &list);
            }
            let _ = timeout(left, changed.changed()).await;
            if self.state().faults.down || self.state().era != era {
                return text_reply(StatusCode::SERVICE_UNAVAILABLE, "platform is down");
            }
        }
    }

    fn put(&self, kind: &str, name: &str, query: &str, body: &Bytes) -> HttpReply {
        if body.len() > VALUE_LIMIT {
            return text_reply(StatusCode::PAYLOAD_TOO_LARGE, "value over a megabyte");
        }
        let Ok(value) = serde_json::from_slice::<Value>(body) else {
            return text_reply(StatusCode::BAD_REQUEST, "value is not JSON");
        };
        let Some(expected) = query_number(query, "version") else {
            return text_reply(StatusCode::BAD_REQUEST, "version is missing");
        };
        let mut state = self.state();
        let objects = state.objects.entry(kind.to_owned()).or_default();
        let current = objects.get(name).filter(|o| o.value.is_some()).map_or(0, |o| o.version);
        if current != expected {
            state.calls.conflicts += 1;
            return json_reply(StatusCode::CONFLICT, &PutAnswer { version: current });
        }
        self.store(state, kind, name, Some(value))
    }

    fn delete(&self, kind: &str, name: &str) -> HttpReply {
        let state = self.state();
        let known = state.objects.get(kind).and_then(|objects| objects.get(name));
        if known.is_none_or(|object| object.value.is_none()) {
            return text_reply(StatusCode::NOT_FOUND, "no such object");
        }
        self.store(state, kind, name, None)
    }

    fn store(
        &self,
        mut state: MutexGuard<'_, PlatformState>,
        kind: &str,
        name: &str,
        value: Option<Value>,
    ) -> HttpReply {
        state.version += 1;
        let version = state.version;
        let objects = state.objects.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), StoredObject { version, value });
        let lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        drop(state);
        self.changed.send_replace(version);
        if lost {
            return text_reply(StatusCode::GATEWAY_TIMEOUT, "answer lost");
        }
        json_reply(StatusCode::OK, &PutAnswer { version })
    }

    fn control(&self, action: &str, body: &Bytes) -> HttpReply {
        let mut state = self.state();
        match action {
            "faults" => match serde_json::from_slice(body) {
                Ok(faults) => {
                    state.faults = faults;
                    drop(state);
                    // Wakes pending watches, so that they fail at once in an outage.
                    self.changed.send_modify(|_| {});
                    text_reply(StatusCode::OK, "set")
                }
                Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "hosts" => match serde_json::from_slice(body) {
                Ok(hosts) => {
                    state.hosts.push_back((Instant::now(), hosts));
                    text_reply(StatusCode::OK, "set")
                }
                Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "copy" => {
                let (objects, version) = (state.objects.clone(), state.version);
                state.copy = Some(Box::new(PlatformCopy { objects, version }));
                text_reply(StatusCode::OK, "copied")
            }
            "return" => {
                let Some(copy) = state.copy.take() else {
                    return text_reply(StatusCode::CONFLICT, "no copy");
                };
                (state.objects, state.version) = (copy.objects, copy.version);
                state.era += 1;
                drop(state);
                self.changed.send_modify(|_| {});
                text_reply(StatusCode::OK, "returned")
            }
            "calls" => json_reply(StatusCode::OK, &state.calls),
            _ => text_reply(StatusCode::NOT_FOUND, "no such control"),
        }
    }
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pair = query.split('&').filter_map(|pair| pair.split_once('='));
    pair.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
