//! Stand-ins and drivers for the scripts of the review: the platform's store, replicas of a plain service, and consumers.
//!
//! Standard library only; built by `review/build.sh`. `standin replica ...` is one replica as a process of its own,
//! `standin case NAME RECORD` runs a case and exits with 0 (the rule held), 1 (it was broken) or 2 (could not run).

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, ErrorKind, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::{fd::FromRawFd, unix::process::CommandExt},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU16, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

mod foreign_entry;
mod leaver;
mod lost_answer;
mod slow_reader;

/// Routers are built by the deploy file.
const DAEMON: &str = "target/release/plantaind";
/// Longest time of a script; a script that has not ended by then could not run.
const SCRIPT_LIMIT: Duration = Duration::from_secs(110);
/// Host and service that all cases use.
pub const HOST: &str = "gate.example";
pub const SERVICE: &str = "desk";
/// Service to which a configuration moves the route.
pub const NEW_SERVICE: &str = "new-desk";

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words.as_slice() {
        ["replica", rest @ ..] => replica_main(rest),
        ["case", name, record] => case_main(name, Path::new(record)),
        _ => {
            eprintln!("usage: standin case NAME RECORD");
            2
        }
    };
    std::process::exit(code);
}

fn case_main(name: &str, record: &Path) -> i32 {
    let record = match Record::create(record) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record: {error}");
            return 2;
        }
    };
    thread::spawn(|| {
        sleep(SCRIPT_LIMIT);
        eprintln!("not finished in time");
        // The children end with this process.
        std::process::exit(2);
    });
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let result = match name {
        "foreign-entry" => foreign_entry::run(&record, trouble),
        "lost-answer" => lost_answer::run(&record, trouble),
        "slow-reader" => slow_reader::run(&record, trouble),
        "leaver" => leaver::run(&record, trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match result {
        Ok(broken) => {
            record.note(if broken { "RULE BROKEN" } else { "rule held" });
            i32::from(broken)
        }
        Err(error) => {
            record.note(&format!("could not run: {error}"));
            2
        }
    }
}

/// Milliseconds since 1970.
pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// The record of a run: what was sent, answered and run.
pub struct Record {
    file: Mutex<fs::File>,
    began: u128,
}

impl Record {
    fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Mutex::new(fs::File::create(path)?), began: now_ms() })
    }

    pub fn note(&self, text: &str) {
        self.note_at(now_ms(), text);
    }

    pub fn note_at(&self, at: u128, text: &str) {
        let line = format!("{:>8} ms  {text}\n", at.saturating_sub(self.began));
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    fn prctl(option: i32, argument: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Connects with a receive buffer of this size, as a consumer with a small window does.
pub fn connect_with_window(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else { return Err(io::Error::other("IPv4 only")) };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&2_u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: plain calls of the C library on a descriptor that is owned here.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, 1, 8, &raw const bytes, 4) < 0 || connect(fd, raw.as_ptr(), 16) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// A process that ends with this one, and when dropped.
pub struct Process(Child);

impl Process {
    pub fn start(program: &Path, arguments: &[String], log: &Path) -> io::Result<Self> {
        let log = fs::File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // SAFETY: `prctl(PR_SET_PDEATHSIG, SIGKILL)` may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        Ok(Self(command.spawn()?))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A free port of the loopback address, below those that the system gives to outgoing connections.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (u64::from(std::process::id()) * 61 % 10_000) as u16;
    for _ in 0..1_000 {
        let port = 20_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 10_000;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port"))
}

// ---- HTTP ----

/// One side of an HTTP/1.1 channel.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A start line and headers, with names in lower case.
#[derive(Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 4096];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the channel.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head { start, headers: headers.collect() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a body of this length; an error if the channel ends first.
    pub fn read_body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                let text = format!("channel closed after {} of {length} bytes", self.buffer.len());
                return Err(io::Error::new(ErrorKind::UnexpectedEof, text));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn send(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{start}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Sends a request of a consumer.
pub fn send_request(channel: &mut Channel, path: &str, id: &str, budget_ms: u64) -> io::Result<()> {
    let (budget, body) = (budget_ms.to_string(), format!("body of {id}"));
    let length = body.len().to_string();
    channel.send(
        &format!("POST {path} HTTP/1.1"),
        &[
            ("Host", HOST),
            ("X-Attempt-Id", id),
            ("X-Timeout-Ms", &budget),
            ("Content-Length", &length),
        ],
        body.as_bytes(),
    )
}

// ---- The platform's store ----

#[derive(Clone)]
struct StoredObject {
    revision: u64,
    created: u64,
    spec: String,
}

struct StoreEvent {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    events: Vec<StoreEvent>,
}

/// The platform's store: lists, watches and conditional writes of objects.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// While it is set, the next answer to a watch of the configuration is lost; the channel returns nothing further.
    loses_answer: Arc<AtomicBool>,
    lost_answers: Arc<Mutex<Vec<(u128, String)>>>,
    pub address: SocketAddr,
}

fn object_text(name: &str, object: &StoredObject) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\
         \"Deleting\":false}},\"Spec\":{},\"Status\":{{}}}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(free_address()?)?;
        let store = Self {
            state: Arc::default(),
            loses_answer: Arc::default(),
            lost_answers: Arc::default(),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) -> String {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map_or(revision, |object| object.created);
        let object = StoredObject { revision, created, spec: spec.to_owned() };
        let text = object_text(name, &object);
        state.objects.insert(key, object);
        let event = format!("{{\"Object\":{text},\"Removed\":false}}");
        state.events.push(StoreEvent { revision, kind: kind.to_owned(), text: event });
        changed.notify_all();
        text
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        let text = object_text(name, &object);
        let event = format!("{{\"Object\":{text},\"Removed\":true}}");
        state.events.push(StoreEvent { revision, kind: kind.to_owned(), text: event });
        changed.notify_all();
    }

    /// Loses the next answer to a watch of the configuration.
    pub fn lose_answer(&self) {
        self.loses_answer.store(true, Ordering::SeqCst);
    }

    /// When answers were lost, and to which calls.
    pub fn lost_answers(&self) -> Vec<(u128, String)> {
        self.lost_answers.lock().unwrap().clone()
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(head)) = channel.read_head() {
            let Ok(body) = channel.read_body(head.length().unwrap_or(0)) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            sleep(Duration::from_millis(4));
            let (status, text) = self.answer(head.word(0), head.word(1), &body);
            if head.word(1).starts_with("/objects/config?Watch=")
                && self.loses_answer.swap(false, Ordering::SeqCst)
            {
                let line = format!("{} {}", head.word(0), head.word(1));
                self.lost_answers.lock().unwrap().push((now_ms(), line));
                hold_open(channel);
                return;
            }
            let length = text.len().to_string();
            let headers = [("Content-Type", "application/json"), ("Content-Length", &*length)];
            if channel.send(&format!("HTTP/1.1 {status} -"), &headers, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let mut terms = query.split('&').filter_map(|term| term.split_once('='));
            terms.find(|(own, _)| *own == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let Some(rest) = path.strip_prefix("/objects/") else { return (404, "{}".into()) };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        match (method, name) {
            ("GET", "") => match value("Watch") {
                Some(from) => (200, self.watch(kind, from, value("WaitMs").unwrap_or(0))),
                None => (200, self.list(kind)),
            },
            ("GET", _) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object_text(name, object)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", "") => {
                let name = text_field(body, "Name").unwrap_or_default();
                let is_known = {
                    let state = self.state.0.lock().unwrap();
                    state.objects.contains_key(&(kind.to_owned(), name.clone()))
                };
                if is_known {
                    return (409, "{}".into());
                }
                (200, self.put(kind, &name, table_field(body, "Spec").unwrap_or("{}")))
            }
            ("PUT", _) => (200, self.put(kind, name, table_field(body, "Spec").unwrap_or("{}"))),
            ("DELETE", _) => {
                self.remove(kind, name);
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let own = state.objects.iter().filter(|((own, _), _)| own == kind);
        let items: Vec<String> = own.map(|((_, name), object)| object_text(name, object)).collect();
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"HasMore\":false,\"StoreRevision\":{revision}}}")
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> String {
        let (state, changed) = &*self.state;
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = state.lock().unwrap();
        loop {
            let own = state.events.iter().filter(|event| event.kind == kind);
            let new: Vec<&str> =
                own.filter(|event| event.revision > from).map(|event| &*event.text).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let (events, revision) = (new.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}");
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Reads and drops what comes on a channel until its peer closes it.
fn hold_open(mut channel: Channel) {
    while channel.fill().is_ok_and(|count| count > 0) {}
}

/// The text of a field of a JSON document without escapes.
fn text_field(document: &str, name: &str) -> Option<String> {
    let start = document.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let end = document[start..].find('"')? + start;
    Some(document[start..end].to_owned())
}

/// The table of a field of a JSON document.
fn table_field<'a>(document: &'a str, name: &str) -> Option<&'a str> {
    let start = document.find(&format!("\"{name}\":{{"))? + name.len() + 3;
    let (mut depth, mut in_text) = (0, false);
    for (index, letter) in document[start..].char_indices() {
        match letter {
            '"' => in_text = !in_text,
            '{' if !in_text => depth += 1,
            '}' if !in_text => {
                depth -= 1;
                if depth == 0 {
                    return Some(&document[start..=start + index]);
                }
            }
            _ => {}
        }
    }
    None
}

// ---- Consumers ----

/// Pause between the requests of a steady consumer.
const CONSUMER_PAUSE: Duration = Duration::from_millis(100);

/// Sends a request every [`CONSUMER_PAUSE`]; returns the id, the time and the answer of each.
pub fn consume(listen: SocketAddr, is_over: &AtomicBool) -> Vec<(String, u128, String)> {
    let mut sent = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let (id, at) = (format!("c{}", sent.len()), now_ms());
        let answer = call(listen, &id).unwrap_or_else(|error| error.to_string());
        sent.push((id, at, answer));
        sleep(CONSUMER_PAUSE);
    }
    sent
}

fn call(listen: SocketAddr, id: &str) -> io::Result<String> {
    let mut channel = Channel::new(TcpStream::connect(listen)?);
    channel.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    send_request(&mut channel, "/stamp/1", id, 3_000)?;
    Ok(channel.read_head()?.map_or_else(|| "closed".to_owned(), |head| head.start))
}

// ---- Replicas ----

/// Time for which a replica is full.
const FULL_TIME: Duration = Duration::from_millis(600);
/// Time for which a request waits in a full replica's queue until it is refused.
pub const QUEUE_TIME: Duration = Duration::from_millis(700);

/// How a replica treats requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// Works and answers.
    Serve,
    /// For [`FULL_TIME`] from its first request on all places are taken: a request waits in the queue and is then
    /// refused, not run. After that it serves.
    RefuseLate,
}

impl Manner {
    fn name(self) -> &'static str {
        match self {
            Self::Serve => "serve",
            Self::RefuseLate => "refuse-late",
        }
    }
}

/// What a replica is started with.
#[derive(Clone, Debug)]
pub struct ReplicaPlan {
    pub address: SocketAddr,
    pub id: String,
    pub zone: &'static str,
    pub manner: Manner,
    pub work_ms: u64,
    pub answer_bytes: usize,
    /// Length of a further header of the answer.
    pub header_bytes: usize,
    pub service: &'static str,
}

/// A replica process with its entry in the store.
pub struct Replica {
    pub plan: ReplicaPlan,
    pub process: Process,
    log: PathBuf,
}

impl Replica {
    pub fn start(plan: ReplicaPlan, folder: &Folder) -> io::Result<Self> {
        let log = folder.0.join(format!("{}.log", plan.id));
        let arguments = [
            "replica".to_owned(),
            plan.address.to_string(),
            plan.id.clone(),
            plan.manner.name().to_owned(),
            plan.work_ms.to_string(),
            plan.answer_bytes.to_string(),
            plan.header_bytes.to_string(),
        ];
        let process = Process::start(&env::current_exe()?, &arguments, &log)?;
        Ok(Self { plan, process, log })
    }

    pub fn register(&self, store: &Store) {
        self.register_as(store, "ready");
    }

    /// Writes the replica's entry with this state.
    pub fn register_as(&self, store: &Store, state: &str) {
        let ReplicaPlan { address, id, zone, service, .. } = &self.plan;
        let spec = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":6,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Seq\":1}}"
        );
        store.put("servers", id, &spec);
    }

    /// What the replica wrote: time, event and id of the request.
    pub fn events(&self) -> Vec<(u128, String, String)> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter_map(|line| {
            let mut words = line.split(' ');
            let at = words.next()?.parse().ok()?;
            Some((at, words.next()?.to_owned(), words.next()?.to_owned()))
        });
        lines.collect()
    }
}

fn log_event(event: &str, id: &str) {
    let line = format!("{} {event} {id}\n", now_ms());
    let _ = io::stdout().lock().write_all(line.as_bytes());
}

fn replica_main(words: &[&str]) -> i32 {
    let &[address, id, manner, work, bytes, header] = words else { return 2 };
    let manner = match manner {
        "serve" => Manner::Serve,
        _ => Manner::RefuseLate,
    };
    let work = Duration::from_millis(work.parse().unwrap_or(0));
    let bytes = bytes.parse().unwrap_or(0);
    let notes = "n".repeat(header.parse().unwrap_or(0));
    let listener = match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("bind {address}: {error}");
            return 2;
        }
    };
    for stream in listener.incoming().flatten() {
        let (id, notes) = (id.to_owned(), notes.clone());
        thread::spawn(move || {
            let _ = serve_replica(Channel::new(stream), &id, manner, work, bytes, &notes);
        });
    }
    0
}

/// The body of the answer to a request: its id and then letters.
pub fn answer_body(id: &str, bytes: usize) -> Vec<u8> {
    let mut body = format!("{id} ").into_bytes();
    while body.len() < bytes {
        body.push(b'a' + (body.len() % 26) as u8);
    }
    body
}

static FIRST_REQUEST: OnceLock<Instant> = OnceLock::new();

fn serve_replica(
    mut channel: Channel,
    own: &str,
    manner: Manner,
    work: Duration,
    bytes: usize,
    notes: &str,
) -> io::Result<()> {
    while let Some(head) = channel.read_head()? {
        channel.read_body(head.length().unwrap_or(0))?;
        if head.word(0) == "GET" && head.word(1) == "/healthz" {
            let headers = [("X-Instance-Id", own), ("Content-Length", "0")];
            channel.send("HTTP/1.1 200 OK", &headers, b"")?;
            continue;
        }
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let echo = ("X-Attempt-Id", &*id);
        let signature = ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        log_event("arrives", &id);
        if head.get("x-expect-instance").is_some_and(|expected| expected != own) {
            let headers = [echo, ("X-Instance-Id", own), ("Content-Length", "0")];
            channel.send("HTTP/1.1 421 Misdirected", &headers, b"")?;
            continue;
        }
        let is_full = manner == Manner::RefuseLate
            && FIRST_REQUEST.get_or_init(Instant::now).elapsed() < FULL_TIME;
        match manner {
            Manner::RefuseLate if is_full => {
                sleep(QUEUE_TIME);
                log_event("refused", &id);
                let headers = [echo, ("X-Not-Executed", "1"), ("Content-Length", "0")];
                channel.send("HTTP/1.1 503 Full", &headers, b"")?;
            }
            Manner::Serve | Manner::RefuseLate => {
                log_event("runs", &id);
                sleep(work);
                let body = answer_body(&id, bytes);
                let length = body.len().to_string();
                let headers = [("X-Notes", notes), echo, signature, ("Content-Length", &length)];
                log_event("answered", &id);
                channel.send("HTTP/1.1 200 OK", &headers, &body)?;
            }
        }
    }
    Ok(())
}

// ---- Routers ----

/// Bounds of a deployment that the settings of a router hold.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u64,
    pub budget_slack: u64,
}

/// Those of the sheet of `sripada-route`.
pub const SRIPADA: Bounds = Bounds { drain_ms: 2_000, budget_slack: 58 };
/// Those of the sheet of `scem-qro-grown`.
pub const SCEM: Bounds = Bounds { drain_ms: 3_000, budget_slack: 98 };

/// A router with the command of the deploy file and the settings of a deployment.
pub struct Router {
    pub process: Process,
    pub listen: SocketAddr,
    ready: SocketAddr,
}

impl Router {
    pub fn start(folder: &Folder, store: &Store, bounds: Bounds) -> io::Result<Self> {
        let (listen, ready, peer) = (free_address()?, free_address()?, free_address()?);
        let (link, metrics) = (free_address()?, free_address()?);
        let settings = folder.0.join("router.json");
        // As `deploy/router.json.tmpl`.
        let text = format!(
            "{{\"name\":\"front-1\",\"region\":\"r\",\"zone\":\"a\",\"zones\":{{\"a\":\"r\"}},\
             \"listen\":\"{listen}\",\"ready\":\"{ready}\",\"peer_listen\":\"{peer}\",\"peers\":[],\
             \"link_port\":{},\"store\":\"{}\",\"bounds\":{{\"drain_ms\":{},\"stop_s\":8,\
             \"repeat_ratio\":0.2,\"repeat_window_s\":10,\"repeat_slack\":{}}}}}",
            link.port(),
            store.address,
            bounds.drain_ms,
            bounds.budget_slack
        );
        fs::write(&settings, text)?;
        let arguments = [
            "router".to_owned(),
            "--settings".to_owned(),
            settings.display().to_string(),
            "--metrics".to_owned(),
            metrics.to_string(),
        ];
        let log = folder.0.join("router.log");
        let process = Process::start(Path::new(DAEMON), &arguments, &log)?;
        let router = Self { process, listen, ready };
        router.wait_ready()?;
        Ok(router)
    }

    fn wait_ready(&self) -> io::Result<()> {
        for _ in 0..200 {
            if let Ok(stream) = TcpStream::connect(self.ready) {
                let mut channel = Channel::new(stream);
                channel.send("GET /ready HTTP/1.1", &[("Host", "ready")], b"")?;
                if channel.read_head()?.is_some_and(|head| head.word(1) == "200") {
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the router is not ready after 10 s"))
    }

    /// A new channel of a consumer.
    pub fn connect(&self) -> io::Result<Channel> {
        Ok(Channel::new(TcpStream::connect(self.listen)?))
    }
}

/// The configuration's route and its two services.
pub struct Config<'a> {
    pub version: u64,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub aim_ms: u64,
    pub service: &'a str,
}

impl Config<'_> {
    /// Writes the configuration to the store; returns when the store has acknowledged it.
    pub fn put(&self, store: &Store) -> u128 {
        let Self { version, kind, timeout_ms, aim_ms, service } = self;
        let services = [SERVICE, NEW_SERVICE].map(|name| {
            format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":110}}")
        });
        let spec = format!(
            "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r1\",\"Host\":\"{HOST}\",\
             \"PathPrefix\":\"/stamp/\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\
             \"TargetLatencyMs\":{aim_ms},\"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":1}}],\
             \"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
             \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            services.join(",")
        );
        store.put("config", "main", &spec);
        now_ms()
    }
}

/// Lines of the router's log that tell of a panic.
pub fn panics(folder: &Folder) -> Vec<String> {
    let text = fs::read_to_string(folder.0.join("router.log")).unwrap_or_default();
    let lines = text.lines().filter(|line| line.contains("panicked"));
    lines.map(|line| line.split(" at /").next().unwrap_or(line).to_owned()).collect()
}

pub fn plan(id: &str, zone: &'static str, manner: Manner) -> io::Result<ReplicaPlan> {
    Ok(ReplicaPlan {
        address: free_address()?,
        id: id.to_owned(),
        zone,
        manner,
        work_ms: 60,
        answer_bytes: 800,
        header_bytes: 0,
        service: SERVICE,
    })
}

/// Waits until an address accepts connections.
pub fn wait_listening(address: SocketAddr) -> io::Result<()> {
    for _ in 0..400 {
        if TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        sleep(Duration::from_millis(5));
    }
    Err(io::Error::other(format!("{address} does not listen")))
}
