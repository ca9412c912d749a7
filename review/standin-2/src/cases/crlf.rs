//! A release: the engine of another software version ends the lines of its events with CR and LF. Not handed in as a case.

use crate::{
    http::Channel,
    limit_time,
    replica::{Framing, Plan, Planner},
    site::{ENGINES, MODEL, Site, attempt_id, describe, head},
};
use std::{io, path::Path, sync::Arc, thread, time::Duration};

const CONSUMERS: usize = 12;

/// Returns whether the rule held.
pub fn run(record: &Path, has_trouble: bool) -> io::Result<bool> {
    limit_time();
    let routes = format!(
        "[{{\"Name\":\"r-i9n73hh\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/lohu930/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":5000,\"TargetLatencyMs\":800,\"Priority\":0,\
         \"Service\":\"{ENGINES}\",\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,\
         \"GapAimMs\":600}}]"
    );
    let mut site = Site::start(record, &routes)?;
    let stream = |framing| Plan::Stream { events: 14, pace: Duration::from_millis(100), framing };
    let (old, new) = (stream(Framing::Chunked), stream(Framing::ChunkedCrlf));
    let old: Planner = Arc::new(move |_| old.clone());
    let new: Planner = Arc::new(move |_| new.clone());
    site.add_replica(10, true, old.clone())?;
    site.add_replica(11, true, if has_trouble { new } else { old })?;
    site.add_router(50)?;
    thread::sleep(Duration::from_secs(4));
    let front = site.routers[0].front;
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|_| {
            let journal = site.journal.clone();
            thread::spawn(move || -> io::Result<bool> {
                let attempt = attempt_id();
                let more =
                    format!("X-Model: {MODEL}\r\nX-Token-Counts: 646,70\r\nContent-Length: 1\r\n");
                let mut channel = Channel::open(front)?;
                let text = head("POST", "/lohu930/2f", &attempt, 5_000, &more) + "q";
                channel.send(text.as_bytes())?;
                let answer = channel.answer(Duration::from_secs(6));
                journal.note(format!("consumer {attempt}: {}", describe(&answer)));
                Ok(answer.is_whole_success())
            })
        })
        .collect();
    let held = consumers.into_iter().map(|consumer| consumer.join().ok()?.ok());
    let cut = held.filter(|held| *held != Some(true)).count();
    site.journal.note(format!("{cut} of {CONSUMERS} streams were cut"));
    Ok(cut <= 3)
}
