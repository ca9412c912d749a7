//! Many consumers come at once with large bodies, each within `MaxBodyBytes`.

use crate::{
    http::Channel,
    journal::Journal,
    limit_time,
    replica::{Framing, Plan, Planner},
    site::{ENGINES, MODEL, PLAIN, Site, attempt_id, describe, head, memory_mb, signal_process},
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// `MemoryMb` of a front machine.
const MEMORY_MB: f64 = 260.0;
/// `MaxBodyBytes` of the configuration.
const BODY: usize = 4 << 20;
/// Consumers with small requests, each on a kept channel.
const SMALL: usize = 8;
/// Consumers that upload usually, and those that come in addition: 2.4 times the traffic in all.
const USUAL: usize = 20;
const MORE: usize = 28;
/// Time of the usual traffic before the others come, and the time of all traffic.
const CALM: Duration = Duration::from_secs(5);
const TRAFFIC: Duration = Duration::from_secs(10);

/// Returns whether the rule held.
pub fn run(record: &Path, has_trouble: bool) -> io::Result<bool> {
    limit_time();
    let routes = format!(
        "[{{\"Name\":\"r-plan\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/cufi504/\",\
         \"Kind\":\"non_idempotent\",\"TimeoutMs\":10000,\"TargetLatencyMs\":1000,\"Priority\":2,\
         \"Service\":\"{PLAIN}\",\"MaxAttempts\":1}},\
         {{\"Name\":\"r-draft\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/pufi791/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":1000,\"Priority\":0,\
         \"Service\":\"{ENGINES}\",\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,\
         \"GapAimMs\":600}}]"
    );
    let mut site = Site::start(record, &routes)?;
    let plain: Planner = Arc::new(|_| Plan::Plain { work: Duration::from_secs(1), size: 800 });
    let engine: Planner = Arc::new(|_| Plan::Stream {
        events: 14,
        pace: Duration::from_millis(200),
        framing: Framing::Chunked,
    });
    for machine in [10, 11] {
        site.add_replica(machine, true, engine.clone())?;
    }
    for machine in [20, 21] {
        site.add_replica(machine, false, plain.clone())?;
    }
    site.add_router(50)?;
    thread::sleep(Duration::from_secs(4));
    let (front, process) = (site.routers[0].front, site.routers[0].child.id());
    let is_over = Arc::new(AtomicBool::new(false));
    let platform = watch_memory(process, site.journal.clone(), Arc::clone(&is_over));
    let (began, served) = (Instant::now(), Arc::new(AtomicUsize::new(0)));
    let upload = |_| {
        let (journal, served) = (site.journal.clone(), Arc::clone(&served));
        thread::spawn(move || {
            while began.elapsed() < TRAFFIC {
                match upload(front, &journal) {
                    Ok(is_served) => {
                        served.fetch_add(usize::from(is_served), Ordering::Relaxed);
                    }
                    Err(_) => return,
                }
            }
        })
    };
    let mut large: Vec<JoinHandle<()>> = (0..USUAL).map(upload).collect();
    let small: Vec<_> = (0..SMALL)
        .map(|_| {
            let journal = site.journal.clone();
            thread::spawn(move || keep_asking(front, &journal, began))
        })
        .collect();
    thread::sleep(CALM);
    if has_trouble {
        site.journal.note(format!("{MORE} more consumers come with uploads"));
        large.extend((0..MORE).map(upload));
    }
    let lost: usize = small.into_iter().filter_map(|consumer| consumer.join().ok()).sum();
    for consumer in large {
        let _ = consumer.join();
    }
    is_over.store(true, Ordering::Relaxed);
    let largest = platform.join().unwrap_or_default();
    let served = served.load(Ordering::Relaxed);
    site.journal.note(format!(
        "{lost} small requests on {SMALL} kept channels lost; {served} uploads served; the router \
         had {largest:.0} MB at most"
    ));
    Ok(lost <= 3)
}

/// Plays the platform, which ends a process that exceeds `MemoryMb`; returns the largest size in MB.
fn watch_memory(process: u32, journal: Journal, is_over: Arc<AtomicBool>) -> JoinHandle<f64> {
    thread::spawn(move || {
        let mut largest = 0.0_f64;
        while let Some(now) = memory_mb(process) {
            largest = largest.max(now);
            if now > MEMORY_MB {
                journal.note(format!("platform: the router has {now:.0} MB and is killed"));
                signal_process(process, "KILL");
                break;
            }
            if is_over.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        largest
    })
}

fn upload(front: SocketAddr, journal: &Journal) -> io::Result<bool> {
    let attempt = attempt_id();
    let more = format!(
        "X-Model: {MODEL}\r\nX-Token-Counts: 9190,50\r\n\
         X-Prompt-Prefix: 5c1e07a2:6300,{}:2890\r\nContent-Length: {BODY}\r\n",
        &attempt[..8]
    );
    let mut channel = Channel::open(front)?;
    channel.send(head("POST", "/pufi791/2f", &attempt, 10_000, &more).as_bytes())?;
    channel.send(&vec![b'p'; BODY])?;
    let answer = channel.answer(Duration::from_secs(11));
    journal.note(format!("consumer {attempt}: upload: {}", describe(&answer)));
    Ok(answer.is_whole_success())
}

/// Sends small requests on one channel; returns how many of them it lost after the replica had begun to run it.
fn keep_asking(front: SocketAddr, journal: &Journal, began: Instant) -> usize {
    let Ok(mut channel) = Channel::open(front) else { return 0 };
    while began.elapsed() < TRAFFIC {
        let attempt = attempt_id();
        let text = head("POST", "/cufi504/2f", &attempt, 10_000, "Content-Length: 4\r\n") + "dock";
        if channel.send(text.as_bytes()).is_err() {
            return 0;
        }
        let answer = channel.answer(Duration::from_secs(11));
        journal.note(format!("consumer {attempt}: {}", describe(&answer)));
        if answer.status == 0 {
            return usize::from(journal.has_run(&attempt));
        }
    }
    0
}
