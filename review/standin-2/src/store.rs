//! Stand-in for the platform's store: lists, watches and conditional writes of objects, as PROTOCOL.md tells.

use crate::{http::Channel, json::Json};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    is_removed: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// Handle of the store; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self { address, state: Arc::default() };
        let own = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = own.clone();
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).filter(|object| !object.is_removed);
        let created = known.map_or(revision, |object| object.created);
        state.objects.insert(key, Object { revision, created, spec, is_removed: false });
        changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        if let Some(object) = state.objects.get_mut(&(kind.to_owned(), name.to_owned())) {
            object.revision = revision;
            object.is_removed = true;
        }
        changed.notify_all();
    }

    fn serve(&self, mut channel: Channel) {
        while let Some(request) = channel.request() {
            let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
            let path = path.trim_start_matches("/objects/").to_owned();
            let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
            let (status, body) = if request.method == "GET" && name.is_empty() {
                self.read(kind, query)
            } else {
                self.write(&request.method, kind, name, query, &request.body)
            };
            let sent = channel.reply(status, "Content-Type: application/json\r\n", body.as_bytes());
            if sent.is_err() {
                return;
            }
        }
    }

    fn read(&self, kind: &str, query: &str) -> (&'static str, String) {
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| value(name).and_then(|text| text.parse::<u64>().ok());
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let Some(since) = number("Watch") else {
            let items = state.objects.iter().filter(|(key, o)| key.0 == kind && !o.is_removed);
            let items: Vec<String> = items.map(|(key, object)| document(&key.1, object)).collect();
            let (items, revision) = (items.join(","), state.revision);
            return (
                "200 OK",
                format!("{{\"items\":[{items}],\"HasMore\":false,\"StoreRevision\":{revision}}}"),
            );
        };
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        loop {
            let events = state.objects.iter().filter(|(k, o)| k.0 == kind && o.revision > since);
            let events: Vec<String> = events
                .map(|(key, object)| {
                    let (removed, object) = (object.is_removed, document(&key.1, object));
                    format!("{{\"Removed\":{removed},\"Object\":{object}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}"),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        query: &str,
        body: &[u8],
    ) -> (&'static str, String) {
        let sent = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let metadata = sent.field("Metadata");
        let name = match name {
            "" => metadata.and_then(|data| data.field("Name")).and_then(Json::text).unwrap_or(""),
            name => name,
        };
        let expected = metadata.and_then(|data| data.field("Revision")).and_then(Json::number);
        let expected = expected.or_else(|| query.strip_prefix("Revision=")?.parse().ok());
        let current = self.current(kind, name);
        match (method, current) {
            ("POST", None) => {
                self.put(kind, name, sent.field("Spec").cloned().unwrap_or(Json::Null));
            }
            (_, None) => return ("404 Not Found", "{}".to_owned()),
            ("GET", Some((_, object))) => return ("200 OK", object),
            ("PUT", Some((revision, _))) if expected.is_none_or(|at| at == revision) => {
                self.put(kind, name, sent.field("Spec").cloned().unwrap_or(Json::Null));
            }
            ("DELETE", Some((revision, object))) if expected.is_none_or(|at| at == revision) => {
                self.remove(kind, name);
                return ("200 OK", object);
            }
            (_, Some((_, object))) => return ("409 Conflict", object),
        }
        ("200 OK", self.current(kind, name).map(|(_, object)| object).unwrap_or_default())
    }

    fn current(&self, kind: &str, name: &str) -> Option<(u64, String)> {
        let state = self.state.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        (!object.is_removed).then(|| (object.revision, document(name, object)))
    }
}

fn document(name: &str, object: &Object) -> String {
    let name = Json::Text(name.to_owned());
    let Object { revision, created, spec, .. } = object;
    format!(
        "{{\"Metadata\":{{\"Name\":{name},\"Revision\":{revision},\"Created\":{created},\
         \"Finalizers\":[],\"Deleting\":false}},\"Spec\":{spec},\"Status\":null}}"
    )
}
