//! Consumers stop reading a large answer for some seconds and then read on.

use crate::{
    http::Channel,
    limit_time,
    replica::{Plan, Planner},
    site::{PLAIN, Site, attempt_id, describe, head},
};
use std::{io, path::Path, sync::Arc, thread, time::Duration};

const CONSUMERS: usize = 6;
/// Time for which a consumer does not read.
const PAUSE: Duration = Duration::from_secs(2);
/// Size of a large answer in bytes.
const SIZE: usize = 1 << 20;

/// Returns whether the rule held.
pub fn run(record: &Path, has_trouble: bool) -> io::Result<bool> {
    limit_time();
    let routes = format!(
        "[{{\"Name\":\"r-plan\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/cufi504/\",\
         \"Kind\":\"non_idempotent\",\"TimeoutMs\":10000,\"TargetLatencyMs\":1000,\"Priority\":2,\
         \"Service\":\"{PLAIN}\",\"MaxAttempts\":2}}]"
    );
    let mut site = Site::start(record, &routes)?;
    let planner: Planner = Arc::new(|request| Plan::Plain {
        work: Duration::from_millis(15),
        size: if request.path.ends_with("large") { SIZE } else { 800 },
    });
    for machine in [10, 11, 12, 13] {
        site.add_replica(machine, false, planner.clone())?;
    }
    site.add_router(50)?;
    thread::sleep(Duration::from_secs(4));
    let front = site.routers[0].front;
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|_| {
            let journal = site.journal.clone();
            thread::spawn(move || consume(front, &journal, has_trouble))
        })
        .collect();
    let held = consumers.into_iter().map(|consumer| consumer.join().ok()?.ok());
    let cut = held.filter(|held| *held != Some(true)).count();
    site.journal.note(format!("{cut} of {CONSUMERS} answers were cut"));
    Ok(cut <= 3)
}

fn consume(
    front: std::net::SocketAddr,
    journal: &crate::journal::Journal,
    has_trouble: bool,
) -> io::Result<bool> {
    let mut channel = Channel::open(front)?;
    let small = attempt_id();
    let more = "Content-Length: 4\r\n";
    channel.send((head("POST", "/cufi504/small", &small, 10_000, more) + "plan").as_bytes())?;
    let answer = channel.answer(Duration::from_secs(11));
    journal.note(format!("consumer {small}: {}", describe(&answer)));
    let large = attempt_id();
    channel.send((head("POST", "/cufi504/large", &large, 10_000, more) + "plan").as_bytes())?;
    journal.note(format!("consumer {large}: sent on the same channel"));
    if has_trouble {
        thread::sleep(PAUSE);
        journal.note(format!("consumer {large}: begins to read"));
    }
    let answer = channel.answer(Duration::from_secs(11));
    journal.note(format!("consumer {large}: {}", describe(&answer)));
    Ok(answer.is_whole_success() && answer.body.len() == SIZE)
}
