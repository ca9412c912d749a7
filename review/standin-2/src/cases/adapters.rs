//! Consumers ask for rare adapters, more than fit into an engine's memory, though fewer than it has places for.

use crate::{
    engine::EngineSize,
    http::{AnswerEnd, Channel},
    limit_time,
    replica::{Framing, Plan, Planner},
    site::{ENGINES, MODEL, Site, attempt_id, describe, head},
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Figures of the engines: 75,200 MB for a model of 72,700 MB and adapters of 200 MB, of which 12 fit.
const SIZE: EngineSize = EngineSize {
    weights_mb: 75_200.0,
    model_mb: 72_700.0,
    adapter_mb: 200.0,
    adapter_slots: 16,
    load_time: Duration::from_millis(250),
};
/// Adapters that consumers ask for, usually and when rare ones are asked for at once.
const USUAL: usize = 8;
const RARE: usize = 60;
const CONSUMERS: usize = 12;
const TRAFFIC: Duration = Duration::from_secs(12);

/// Returns whether the rule held.
pub fn run(record: &Path, has_trouble: bool) -> io::Result<bool> {
    limit_time();
    let routes = format!(
        "[{{\"Name\":\"r-i9n73hh\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/lohu930/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":5000,\"TargetLatencyMs\":800,\"Priority\":0,\
         \"Service\":\"{ENGINES}\",\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,\
         \"GapAimMs\":600}}]"
    );
    let mut site = Site::start_sized(record, &routes, SIZE.adapter_mb)?;
    let planner: Planner = Arc::new(|_| Plan::Stream {
        events: 14,
        pace: Duration::from_millis(30),
        framing: Framing::Chunked,
    });
    let mut engines = Vec::new();
    for machine in [10, 11] {
        engines.push(site.add_sized(machine, true, planner.clone(), Some(SIZE.clone()))?);
    }
    site.add_router(50)?;
    thread::sleep(Duration::from_secs(4));
    let front = site.routers[0].front;
    let (began, next) = (Instant::now(), Arc::new(AtomicUsize::new(0)));
    let adapters = if has_trouble { RARE } else { USUAL };
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|_| {
            let (journal, next) = (site.journal.clone(), Arc::clone(&next));
            thread::spawn(move || {
                let mut cut = 0;
                while began.elapsed() < TRAFFIC {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let adapter = format!("a{}", 1 + number % adapters);
                    let (attempt, line, is_cut) = ask(front, &adapter);
                    journal.note(format!("consumer {attempt}: {adapter}: {line}"));
                    cut += usize::from(is_cut);
                }
                cut
            })
        })
        .collect();
    let cut: usize = consumers.into_iter().filter_map(|consumer| consumer.join().ok()).sum();
    let crashed =
        engines.iter().filter(|engine| engine.has_crashed.load(Ordering::Relaxed)).count();
    site.journal.note(format!(
        "{crashed} of {} engines were ordered to load more than they hold; {cut} streams were cut",
        engines.len()
    ));
    Ok(crashed == 0)
}

fn ask(front: SocketAddr, adapter: &str) -> (String, String, bool) {
    let attempt = attempt_id();
    let more = format!(
        "X-Model: {MODEL}/{adapter}\r\nX-Token-Counts: 646,70\r\n\
         X-Prompt-Prefix: 5c1e07a2:155,{}:491\r\nContent-Length: 12\r\n",
        &attempt[..8]
    );
    let text = head("POST", "/lohu930/2f", &attempt, 5_000, &more) + "the question";
    let exchange = Channel::open(front).and_then(|mut channel| {
        channel.send(text.as_bytes())?;
        Ok(channel.answer(Duration::from_secs(6)))
    });
    match exchange {
        Ok(answer) => {
            if answer.status == 503 {
                thread::sleep(Duration::from_millis(100));
            }
            let is_cut = answer.status == 200 && answer.end != AnswerEnd::Complete;
            (attempt, describe(&answer), is_cut)
        }
        Err(error) => (attempt, error.to_string(), false),
    }
}
