//! Stand-in for replicas: engines and plain services that answer requests as PROTOCOL.md tells.

use crate::{
    engine::{Engine, Order, OrderReply},
    http::{Channel, Request},
    journal::Journal,
    json::Json,
};
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// How a stream's end shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// By chunks.
    Chunked,
    /// By the end of the channel.
    Unframed,
    /// By chunks; the lines of its events end with CR and LF, as the format of event streams allows.
    ChunkedCrlf,
}

/// What a replica does with a request.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Answers after some work, with a body of this size.
    Plain { work: Duration, size: usize },
    /// Answers without a length; the second half of the body comes after a pause, and then the channel ends.
    Halves { size: usize, pause: Duration },
    /// Answers with a stream of events.
    Stream { events: usize, pace: Duration, framing: Framing },
}

/// Chooses the plan of a request.
pub type Planner = Arc<dyn Fn(&Request) -> Plan + Send + Sync>;

/// A replica that listens; clones share its state.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub model: Option<String>,
    planner: Planner,
    journal: Journal,
    pub is_leaving: Arc<AtomicBool>,
    /// Its memory, where a case needs it.
    pub engine: Option<Arc<Mutex<Engine>>>,
    /// Set once it has crashed: it answers nothing more, and its channels are closed.
    pub has_crashed: Arc<AtomicBool>,
}

impl Replica {
    /// Starts a replica; one with a model is an engine that holds it.
    pub fn start(
        id: &str,
        address: SocketAddr,
        model: Option<&str>,
        planner: Planner,
        journal: Journal,
    ) -> io::Result<Self> {
        Self::start_with(id, address, model, planner, journal, None)
    }

    /// Starts a replica with a memory for adapters.
    pub fn start_with(
        id: &str,
        address: SocketAddr,
        model: Option<&str>,
        planner: Planner,
        journal: Journal,
        engine: Option<Engine>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let replica = Self {
            id: id.to_owned(),
            address,
            model: model.map(str::to_owned),
            planner,
            journal,
            is_leaving: Arc::default(),
            engine: engine.map(|engine| Arc::new(Mutex::new(engine))),
            has_crashed: Arc::default(),
        };
        let own = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.has_crashed.load(Ordering::Relaxed) {
                    return;
                }
                let replica = own.clone();
                thread::spawn(move || replica.serve(Channel::new(stream)));
            }
        });
        Ok(replica)
    }

    /// The models that it holds, as JSON.
    pub fn models(&self) -> String {
        let (adapters, _) = self.lists();
        let held = self
            .model
            .as_ref()
            .map(|name| format!("{{\"Name\":\"{name}\",\"Version\":1,\"Adapters\":[{adapters}]}}"));
        format!("[{}]", held.unwrap_or_default())
    }

    /// Adapters held and on their way.
    fn lists(&self) -> (String, String) {
        let model = self.model.as_deref().unwrap_or_default();
        let engine = self.engine.as_ref();
        engine.map(|engine| engine.lock().unwrap().lists(model)).unwrap_or_default()
    }

    /// Crashes: what runs is lost, and nothing is answered any more.
    fn crash(&self, cause: &str) {
        self.journal.note(format!("replica {}: crashes: {cause}", self.id));
        self.has_crashed.store(true, Ordering::Relaxed);
        // Ends the listener.
        let _ = std::net::TcpStream::connect(self.address);
    }

    fn serve(&self, mut channel: Channel) {
        while let Some(request) = channel.request() {
            if self.has_crashed.load(Ordering::Relaxed) {
                return;
            }
            let is_open = match request.path.as_str() {
                "/healthz" => self.health(&mut channel),
                "/report" => self.report(&mut channel),
                "/order" => self.order(&mut channel, &request),
                _ => self.run(&mut channel, &request),
            };
            if !is_open {
                return;
            }
        }
    }

    fn health(&self, channel: &mut Channel) -> bool {
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
        channel.reply(status, &format!("X-Instance-Id: {}\r\n", self.id), b"").is_ok()
    }

    fn report(&self, channel: &mut Channel) -> bool {
        let body = format!(
            "{{\"Stage\":\"colocated\",\"Models\":{},\"Busy\":false,\"Seq\":{},\"Queued\":0,\
             \"Active\":0,\"KvUsed\":0,\"KvTotal\":247252,\"Handles\":0,\"Coming\":[{}]}}",
            self.models(),
            self.engine.as_ref().map_or(0, |engine| engine.lock().unwrap().accepted),
            self.lists().1
        );
        channel.reply("200 OK", "Content-Type: application/json\r\n", body.as_bytes()).is_ok()
    }

    fn order(&self, channel: &mut Channel, request: &Request) -> bool {
        let own = format!("X-Instance-Id: {}\r\n", self.id);
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return channel.reply("421 Misdirected Request", &own, b"").is_ok();
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&text).unwrap_or(Json::Null);
        let is_named = body.field("Holder").is_some() && body.field("FencingToken").is_some();
        let Some(engine) = self.engine.as_ref().filter(|_| is_named) else {
            return channel.reply("400 Bad Request", "", b"").is_ok();
        };
        let order = Order {
            operation: body.field("Operation").and_then(Json::text).unwrap_or_default(),
            adapter: body.field("Adapter").and_then(Json::text),
            expected: body.field("ExpectedRev").and_then(Json::number),
        };
        let (reply, load) = {
            let mut engine = engine.lock().unwrap();
            (engine.order(&order), engine.load())
        };
        let (id, operation, adapter) = (&self.id, order.operation, order.adapter.unwrap_or("-"));
        let (count, memory) = load;
        match reply {
            OrderReply::Status(status) => {
                self.journal.note(format!(
                    "replica {id}: order to {operation} {adapter}: {status}; {count} adapters, {memory:.0} MB"
                ));
                channel.reply(status, "", b"").is_ok()
            }
            OrderReply::Crash(cause) => {
                self.crash(&cause);
                false
            }
        }
    }

    /// Runs a request; returns whether the channel stays open.
    fn run(&self, channel: &mut Channel, request: &Request) -> bool {
        let own = format!("X-Instance-Id: {}\r\n", self.id);
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return channel.reply("421 Misdirected Request", &own, b"").is_ok();
        }
        let Some(attempt) = request.header("x-attempt-id").map(str::to_owned) else {
            return channel.reply("400 Bad Request", "X-Not-Executed: 1\r\n", b"").is_ok();
        };
        let adapter = request.header("x-model").and_then(|model| model.split_once('/'));
        let adapter = adapter.map(|(_, adapter)| adapter.to_owned());
        let engine = self.engine.as_ref();
        if let (Some(engine), Some(adapter)) = (engine, &adapter)
            && !engine.lock().unwrap().begin_run(adapter)
        {
            let not_run = format!("X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n{own}");
            return channel.reply("421 Misdirected Request", &not_run, b"").is_ok();
        }
        self.journal.note_run(&attempt);
        let (method, path, id) = (&request.method, &request.path, &self.id);
        self.journal.note(format!("replica {id}: runs {attempt}: {method} {path}"));
        let headers = format!("X-Attempt-Id: {attempt}\r\nX-Response-Signature: sig.{attempt}\r\n");
        let is_sent = match (self.planner)(request) {
            Plan::Plain { work, size } => {
                thread::sleep(work);
                channel.reply("200 OK", &headers, &vec![b'.'; size]).is_ok()
            }
            Plan::Halves { size, pause } => {
                in_halves(channel, &headers, &attempt, size, pause).is_ok()
            }
            Plan::Stream { events, pace, framing } => {
                let crashed = &self.has_crashed;
                stream(channel, &headers, &attempt, events, pace, framing, crashed).is_ok()
            }
        };
        if let (Some(engine), Some(adapter)) = (engine, &adapter) {
            engine.lock().unwrap().end_run(adapter);
        }
        let end = if is_sent { "answered" } else { "could not answer" };
        self.journal.note(format!("replica {id}: {end} {attempt}"));
        let ends_with_channel = matches!(
            (self.planner)(request),
            Plan::Halves { .. } | Plan::Stream { framing: Framing::Unframed, .. }
        );
        is_sent && !ends_with_channel
    }
}

/// The two halves of a plain body.
pub fn halves(attempt: &str, size: usize) -> (Vec<u8>, Vec<u8>) {
    let text = format!("{attempt} ").repeat(size / attempt.len() + 1).into_bytes();
    (text[..size / 2].to_vec(), text[size / 2..size].to_vec())
}

fn in_halves(
    channel: &mut Channel,
    headers: &str,
    attempt: &str,
    size: usize,
    pause: Duration,
) -> io::Result<()> {
    let (first, second) = halves(attempt, size);
    channel.send(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n{headers}\r\n").as_bytes())?;
    channel.send(&first)?;
    thread::sleep(pause);
    channel.send(&second)
}

/// The text of an event of a stream.
pub fn event(attempt: &str, number: usize) -> String {
    format!("id: {number}\ndata: {attempt} piece {number}\n\n")
}

fn stream(
    channel: &mut Channel,
    headers: &str,
    attempt: &str,
    events: usize,
    pace: Duration,
    framing: Framing,
    crashed: &AtomicBool,
) -> io::Result<()> {
    let form = match framing {
        Framing::Chunked | Framing::ChunkedCrlf => "Transfer-Encoding: chunked\r\n",
        Framing::Unframed => "Connection: close\r\n",
    };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{form}{headers}\r\n");
    channel.send(head.as_bytes())?;
    for number in 1..=events {
        thread::sleep(pace);
        if crashed.load(Ordering::Relaxed) {
            return Err(io::Error::other("the replica has crashed"));
        }
        let event = match framing {
            Framing::ChunkedCrlf => event(attempt, number).replace('\n', "\r\n"),
            _ => event(attempt, number),
        };
        match framing {
            Framing::Chunked | Framing::ChunkedCrlf => {
                channel.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            Framing::Unframed => channel.send(event.as_bytes())?,
        }
    }
    match framing {
        Framing::Chunked | Framing::ChunkedCrlf => channel.send(b"0\r\n\r\n"),
        Framing::Unframed => Ok(()),
    }
}
