//! Replicas are taken away at short notice while they write answers that end with their channels: their processes are
//! ended, and their machines answer nothing more.

use crate::{
    http::{AnswerEnd, Channel},
    journal::Journal,
    limit_time,
    replica::{Framing, Plan, Planner, Replica, event, halves},
    site::{
        Beat, ENGINES, MODEL, PLAIN, Site, attempt_id, describe, head, note_started, signal_process,
    },
};
use std::{
    env,
    ffi::c_int,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::Arc,
    thread,
    time::Duration,
};

const EVENTS: usize = 14;
const PACE: Duration = Duration::from_millis(300);
/// Size of a plain answer, whose second half comes later.
const SIZE: usize = 800;
const HALF_PAUSE: Duration = Duration::from_millis(3_500);
/// Replicas of each service; one of each goes.
const REPLICAS: u8 = 8;
/// Consumers of each kind of request.
const CONSUMERS: usize = 24;
/// `RemainingMs` of the notice: 2 s, as the list of disturbances gives it.
const NOTICE_MS: u64 = 2_000;

unsafe extern "C" {
    safe fn listen(socket: c_int, backlog: c_int) -> c_int;
}

fn planner() -> Planner {
    Arc::new(|request| match request.header("x-model") {
        Some(_) => Plan::Stream { events: EVENTS, pace: PACE, framing: Framing::Unframed },
        None => Plan::Halves { size: SIZE, pause: HALF_PAUSE },
    })
}

/// The process of a replica: `replica ADDRESS ID MODEL RECORD BEGAN`; the model of a plain one is `-`.
pub fn run_replica(words: &[String]) {
    let address: SocketAddr = words[0].parse().expect("an address");
    let model = (words[2] != "-").then_some(&*words[2]);
    let record = PathBuf::from(&words[3]);
    let journal = Journal::append(&record, words[4].parse().expect("a time")).expect("a record");
    let _replica =
        Replica::start(&words[1], address, model, planner(), journal).expect("a free address");
    thread::sleep(Duration::from_secs(60));
}

/// A replica in a process of its own.
struct ReplicaProcess {
    id: String,
    address: SocketAddr,
    child: Child,
    beat: Beat,
}

impl ReplicaProcess {
    fn start(site: &Site, machine: u8, is_engine: bool, record: &Path) -> io::Result<Self> {
        let address = SocketAddr::new(site.ip(machine), site.ports.app);
        let id = format!("i-{machine:02}{:06x}", std::process::id());
        let child = Command::new(env::current_exe()?)
            .args(["replica", &address.to_string(), &id, if is_engine { MODEL } else { "-" }])
            .arg(record)
            .arg(site.journal.began_ms().to_string())
            .spawn()?;
        note_started(&child);
        let models = format!("[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}]");
        let (service, models) = if is_engine { (ENGINES, &*models) } else { (PLAIN, "") };
        let beat = site.beat(&id, service, address, 64, models);
        Ok(Self { id, address, child, beat })
    }

    /// Ends the process and lets its address answer nothing more; the result holds the address.
    fn take_away(&mut self) -> io::Result<(TcpListener, Vec<TcpStream>)> {
        signal_process(self.child.id(), "KILL");
        let _ = self.child.wait();
        let listener = TcpListener::bind(self.address)?;
        // With a full queue of new channels, the opening packets of further ones are dropped.
        listen(listener.as_raw_fd(), 0);
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(3)) {
            queued.push(stream);
        }
        Ok((listener, queued))
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether the rule held.
pub fn run(record: &Path, has_trouble: bool) -> io::Result<bool> {
    limit_time();
    let routes = format!(
        "[{{\"Name\":\"r-2b9wu3f\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/pufi791/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":1000,\"Priority\":0,\
         \"Service\":\"{ENGINES}\",\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,\
         \"GapAimMs\":600}},\
         {{\"Name\":\"r-puxa\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/puxa403/\",\
         \"Kind\":\"non_idempotent\",\"TimeoutMs\":10000,\"TargetLatencyMs\":1000,\"Priority\":2,\
         \"Service\":\"{PLAIN}\",\"MaxAttempts\":2}}]"
    );
    let mut site = Site::start(record, &routes)?;
    let mut leaving = [
        ReplicaProcess::start(&site, 10, true, record)?,
        ReplicaProcess::start(&site, 20, false, record)?,
    ];
    site.add_loader(10)?;
    for number in 1..REPLICAS {
        site.add_replica(10 + number, true, planner())?;
        site.add_replica(20 + number, false, planner())?;
    }
    site.add_router(50)?;
    thread::sleep(Duration::from_secs(4));
    let front = site.routers[0].front;
    let consumers: Vec<_> = (0..2 * CONSUMERS)
        .map(|number| {
            let journal = site.journal.clone();
            thread::spawn(move || consume(front, &journal, number % 2 == 0))
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    let mut dark = Vec::new();
    if has_trouble {
        for replica in &leaving {
            site.journal.note(format!("replica {}: notice of {NOTICE_MS} ms", replica.id));
            replica.beat.leave(NOTICE_MS);
        }
        thread::sleep(Duration::from_millis(NOTICE_MS));
        for replica in &mut leaving {
            dark.push(replica.take_away()?);
            replica.beat.stop();
            site.journal.note(format!("replica {}: gone, with its machine", replica.id));
        }
    }
    let held = consumers.into_iter().map(|consumer| consumer.join().ok()?.ok());
    let broken = held.filter(|held| *held != Some(true)).count();
    site.journal
        .note(format!("{broken} of {} answers were cut short and look complete", 2 * CONSUMERS));
    Ok(broken == 0)
}

/// Sends a request; returns whether its answer is whole, or doesn't look complete.
fn consume(front: SocketAddr, journal: &Journal, is_stream: bool) -> io::Result<bool> {
    let attempt = attempt_id();
    let (path, more) = if is_stream {
        let more = format!("X-Model: {MODEL}\r\nX-Token-Counts: 646,70\r\nContent-Length: 12\r\n");
        ("/pufi791/2f", more)
    } else {
        ("/puxa403/2f", "Content-Length: 12\r\n".to_owned())
    };
    let mut channel = Channel::open(front)?;
    let text = head("POST", path, &attempt, 10_000, &more) + "the question";
    channel.send(text.as_bytes())?;
    let answer = channel.answer(Duration::from_secs(11));
    let whole: Vec<u8> = if is_stream {
        (1..=EVENTS).flat_map(|number| event(&attempt, number).into_bytes()).collect()
    } else {
        let (first, second) = halves(&attempt, SIZE);
        [first, second].concat()
    };
    let is_whole = answer.body == whole;
    let kind = if is_stream { "stream" } else { "plain" };
    journal.note(format!(
        "consumer {attempt}: {kind}: {}, of {} bytes that the replica writes",
        describe(&answer),
        whole.len()
    ));
    let looks_complete = answer.status == 200 && answer.end == AnswerEnd::Complete;
    Ok(is_whole || !looks_complete)
}
