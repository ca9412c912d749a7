//! A small deployment on loopback: the store, replicas, and the project's routers and loaders as processes.

use crate::{
    engine::{Engine, EngineSize},
    http::{Answer, AnswerEnd, Channel},
    journal::Journal,
    json::Json,
    replica::{Planner, Replica},
    store::Store,
};
use std::{
    env, fs,
    fs::File,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Host that requests name.
pub const HOST: &str = "ficu95.example";
/// The service of engines, and the plain one.
pub const ENGINES: &str = "huvo11a";
pub const PLAIN: &str = "wuno96b";
/// The model that all engines hold.
pub const MODEL: &str = "daka510000";
/// `HeartbeatMs` of the small deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The program that the build of the deploy file makes.
const PROGRAM: &str = "target/release/plantaind";

/// Settings that a router or loader gets as `bounds`: those of the small deployments.
const BOUNDS: &str = "{\"drain_ms\":2000,\"stop_s\":8,\"repeat_ratio\":0.2,\"repeat_window_s\":10,\
                      \"repeat_slack\":54}";

/// Ports that are the same on all machines of a site.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub link: u16,
    pub metrics: u16,
    pub app: u16,
    pub store: u16,
}

/// A process of the project.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

/// A running deployment. Everything that it started ends with it.
pub struct Site {
    pub journal: Journal,
    pub store: Store,
    pub ports: Ports,
    pub routers: Vec<Node>,
    loaders: Vec<Node>,
    net: u8,
    directory: PathBuf,
    beats: Arc<AtomicBool>,
}

/// The heartbeat of a replica; clones share its state.
#[derive(Clone)]
pub struct Beat {
    store: Store,
    id: String,
    head: String,
    state: Arc<Mutex<String>>,
    runs: Arc<AtomicBool>,
    number: Arc<AtomicU64>,
}

impl Beat {
    fn write(&self) {
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        let state = self.state.lock().unwrap().clone();
        let text = format!("{{{}{state},\"Seq\":{number}}}", self.head);
        self.store.put("servers", &self.id, Json::parse(&text).expect("a document"));
    }

    /// Reports that the replica leaves in this time.
    pub fn leave(&self, remaining_ms: u64) {
        *self.state.lock().unwrap() =
            format!("\"State\":\"draining\",\"RemainingMs\":{remaining_ms}");
        self.write();
    }

    /// Ends the heartbeat.
    pub fn stop(&self) {
        self.runs.store(false, Ordering::Relaxed);
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// A fresh id of a consumer attempt.
pub fn attempt_id() -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", time.rotate_left(17) ^ (number << 40) ^ number)
}

fn free_port(ip: IpAddr, used: &mut Vec<u16>) -> io::Result<u16> {
    loop {
        let port = TcpListener::bind((ip, 0))?.local_addr()?.port();
        if !used.contains(&port) {
            used.push(port);
            return Ok(port);
        }
    }
}

impl Site {
    /// Starts the store with a configuration; `record` is the file of the record.
    pub fn start(record: &Path, routes: &str) -> io::Result<Self> {
        Self::start_sized(record, routes, 66.0)
    }

    /// As [`Self::start`], with adapters of this size.
    pub fn start_sized(record: &Path, routes: &str, adapter_mb: f64) -> io::Result<Self> {
        let journal = Journal::create(record)?;
        let net = (process::id() % 200) as u8 + 20;
        let mut used = Vec::new();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 91, net, 1));
        let mut port = || free_port(ip, &mut used);
        let ports = Ports {
            front: port()?,
            ready: port()?,
            control: port()?,
            link: port()?,
            metrics: port()?,
            app: port()?,
            store: port()?,
        };
        let directory = env::temp_dir().join(format!("plantain-review-{}", process::id()));
        fs::create_dir_all(&directory)?;
        let store = Store::start(SocketAddr::new(ip, ports.store))?;
        let site = Self {
            journal,
            store,
            ports,
            routers: Vec::new(),
            loaders: Vec::new(),
            net,
            directory,
            beats: Arc::new(AtomicBool::new(true)),
        };
        let config = format!(
            "{{\"Version\":7,\"Routes\":{routes},\"Services\":[{{\"Name\":\"{ENGINES}\",\
             \"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\",\"Tls\":false,\
             \"Engine\":{{\"Slots\":64,\"KvCapacityTokens\":247252,\"Models\":[{{\"Name\":\"{MODEL}\",\
             \"WeightsMb\":72700.0,\"LoadTimeS\":2.1,\"Adapters\":3000,\"AdapterMb\":{adapter_mb:.1}}}],\
             \"WeightsMb\":75200.0,\"AdapterSlots\":16,\"LoadsPerS\":4.2}}}},\
             {{\"Name\":\"{PLAIN}\",\"HealthPath\":\"/healthz\",\"MaxConns\":400,\
             \"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
             \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
        );
        site.store.put("config", "main", Json::parse(&config).expect("a document"));
        Ok(site)
    }

    /// Address of a machine of the site.
    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 91, self.net, machine))
    }

    /// Starts a replica and its heartbeat; an engine also gets a loader beside it.
    pub fn add_replica(
        &mut self,
        machine: u8,
        is_engine: bool,
        planner: Planner,
    ) -> io::Result<Replica> {
        self.add_sized(machine, is_engine, planner, None)
    }

    /// Starts a replica that counts its memory for adapters.
    pub fn add_sized(
        &mut self,
        machine: u8,
        is_engine: bool,
        planner: Planner,
        size: Option<EngineSize>,
    ) -> io::Result<Replica> {
        let address = SocketAddr::new(self.ip(machine), self.ports.app);
        let id = format!("i-{machine:02}{:06x}", process::id());
        let model = is_engine.then_some(MODEL);
        let replica = Replica::start_with(
            &id,
            address,
            model,
            planner,
            self.journal.clone(),
            size.map(Engine::new),
        )?;
        let service = if is_engine { ENGINES } else { PLAIN };
        let (slots, models) = if is_engine { (64, replica.models()) } else { (64, String::new()) };
        self.beat(&id, service, address, slots, &models);
        if is_engine {
            self.add_loader(machine)?;
        }
        Ok(replica)
    }

    /// Writes a replica's entry to the store, and again at each heartbeat.
    pub fn beat(
        &self,
        id: &str,
        service: &'static str,
        address: SocketAddr,
        slots: u32,
        models: &str,
    ) -> Beat {
        let models =
            if models.is_empty() { String::new() } else { format!("\"Models\":{models},") };
        let head = format!(
            "\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"montreal-est\",\
             \"Version\":\"v1\",\"Slots\":{slots},\"ColdRemainingMs\":0,{models}"
        );
        let beat = Beat {
            store: self.store.clone(),
            id: id.to_owned(),
            head,
            state: Arc::new(Mutex::new("\"State\":\"ready\"".to_owned())),
            runs: Arc::new(AtomicBool::new(true)),
            number: Arc::default(),
        };
        beat.write();
        let (own, site_runs) = (beat.clone(), Arc::clone(&self.beats));
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !site_runs.load(Ordering::Relaxed) {
                    return;
                }
                if !own.runs.load(Ordering::Relaxed) {
                    // After three intervals of silence, the store removes an entry.
                    thread::sleep(HEARTBEAT * 2);
                    own.store.remove("servers", &own.id);
                    return;
                }
                own.write();
            }
        });
        beat
    }

    /// Starts the loader beside an engine.
    pub fn add_loader(&mut self, machine: u8) -> io::Result<()> {
        let (ip, ports) = (self.ip(machine), self.ports);
        let name = format!("side-montreal-est-{machine}");
        let settings = format!(
            "{{\"name\":\"{name}\",\"zone\":\"montreal-est\",\"host\":\"{ip}\",\
             \"link_port\":{},\"engine\":\"{ip}:{}\",\"bounds\":{BOUNDS}}}",
            ports.link, ports.app
        );
        let node = self.start_process("loader", &name, ip, &settings)?;
        self.loaders.push(node);
        Ok(())
    }

    /// Starts a router and waits until it is ready.
    pub fn add_router(&mut self, machine: u8) -> io::Result<()> {
        let node = self.start_router(machine)?;
        let until = Instant::now() + Duration::from_secs(15);
        while status_of(node.ready, "/ready") != 200 {
            if Instant::now() > until {
                return Err(io::Error::other("the router does not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.routers.push(node);
        Ok(())
    }

    fn start_router(&self, machine: u8) -> io::Result<Node> {
        let (ip, ports) = (self.ip(machine), self.ports);
        let name = format!("front-montreal-est-{machine}");
        let settings = format!(
            "{{\"name\":\"{name}\",\"region\":\"qc-sud\",\"zone\":\"montreal-est\",\
             \"zones\":{{\"montreal-est\":\"qc-sud\"}},\"listen\":\"{ip}:{}\",\
             \"ready\":\"{ip}:{}\",\"peer_listen\":\"{ip}:{}\",\"peers\":[],\"link_port\":{},\
             \"store\":\"{}\",\"bounds\":{BOUNDS}}}",
            ports.front, ports.ready, ports.control, ports.link, self.store.address
        );
        self.start_process("router", &name, ip, &settings)
    }

    /// Starts a program with the command of the deploy file.
    fn start_process(
        &self,
        role: &str,
        name: &str,
        ip: IpAddr,
        settings: &str,
    ) -> io::Result<Node> {
        let path = self.directory.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let log = File::create(self.directory.join(format!("{name}.log")))?;
        let metrics = SocketAddr::new(ip, self.ports.metrics).to_string();
        let child = Command::new(PROGRAM)
            .arg(role)
            .arg("--settings")
            .arg(&path)
            .args(["--metrics", &metrics])
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        note_started(&child);
        self.journal.note(format!("platform: starts {name}"));
        Ok(Node {
            name: name.to_owned(),
            front: SocketAddr::new(ip, self.ports.front),
            ready: SocketAddr::new(ip, self.ports.ready),
            child,
        })
    }

    /// Sends a signal to a router.
    pub fn signal_router(&self, index: usize, signal: &str) {
        let node = &self.routers[index];
        self.journal.note(format!("platform: SIG{signal} to {}", node.name));
        signal_process(node.child.id(), signal);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.beats.store(false, Ordering::Relaxed);
        for node in self.routers.iter_mut().chain(&mut self.loaders) {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Processes that this program has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process, so that it ends if the case takes too long.
pub fn note_started(child: &Child) {
    STARTED.lock().unwrap().push(child.id());
}

/// Ends all processes that this program has started and that still run.
pub fn end_started() {
    for id in STARTED.lock().unwrap().drain(..) {
        signal_process(id, "KILL");
    }
}

/// Sends a signal to a process that this program started.
pub fn signal_process(id: u32, signal: &str) {
    let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {id} 2>/dev/null")]).status();
}

/// Status of a small GET; 0 without an answer.
pub fn status_of(address: SocketAddr, path: &str) -> u16 {
    let Ok(mut channel) = Channel::open(address) else { return 0 };
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    if channel.send(request.as_bytes()).is_err() {
        return 0;
    }
    channel.answer(Duration::from_millis(900)).status
}

/// Memory of a process in MB.
pub fn memory_mb(id: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
}

/// Head of a consumer's request.
pub fn head(method: &str, path: &str, attempt: &str, timeout_ms: u64, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Timeout-Ms: {timeout_ms}\r\n{more}\r\n"
    )
}

/// One line on an answer for the record.
pub fn describe(answer: &Answer) -> String {
    let end = match &answer.end {
        AnswerEnd::Complete => "complete".to_owned(),
        AnswerEnd::Closed => "closed before its end".to_owned(),
        AnswerEnd::Failed(error) => format!("broken: {error}"),
        AnswerEnd::TimedOut => "nothing more came".to_owned(),
    };
    format!("status {}, {} bytes of body, {end}", answer.status, answer.body.len())
}
