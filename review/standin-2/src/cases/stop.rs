//! A consumer opens a channel while the platform still forwards channels to a router that got SIGTERM, and sends its
//! first request more than 3 s after the SIGTERM.

use crate::{
    http::Channel,
    limit_time,
    replica::{Framing, Plan, Planner},
    site::{ENGINES, MODEL, Site, attempt_id, describe, head, status_of},
};
use std::{
    io,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// When the consumers open their channels and send their requests, after the SIGTERM.
const OPEN_AT: Duration = Duration::from_millis(1_700);
const SEND_AT: Duration = Duration::from_millis(3_300);
/// A stream of the sheet's 14 events, each within the sheet's pause of 600 ms.
const EVENTS: usize = 14;
const PACE: Duration = Duration::from_millis(400);
const CONSUMERS: usize = 5;

/// Returns whether the rule held.
pub fn run(record: &Path, has_trouble: bool) -> io::Result<bool> {
    limit_time();
    let routes = format!(
        "[{{\"Name\":\"r-2b9wu3f\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/pufi791/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":1000,\"Priority\":0,\
         \"Service\":\"{ENGINES}\",\"MaxAttempts\":2,\"Sticky\":true,\"Resumable\":true,\
         \"GapAimMs\":600}}]"
    );
    let mut site = Site::start(record, &routes)?;
    let planner: Planner =
        Arc::new(|_| Plan::Stream { events: EVENTS, pace: PACE, framing: Framing::Chunked });
    for machine in [10, 11] {
        site.add_replica(machine, true, planner.clone())?;
    }
    for machine in [50, 51] {
        site.add_router(machine)?;
    }
    thread::sleep(Duration::from_secs(4));
    let (front, ready) = (site.routers[0].front, site.routers[0].ready);
    // The platform asks once a second; the SIGTERM comes right after an answer, so that the second miss is 2 s later.
    site.journal.note(format!("platform: /ready says {}", status_of(ready, "/ready")));
    let stopped = Instant::now();
    if has_trouble {
        site.signal_router(0, "TERM");
    }
    thread::sleep(Duration::from_secs(1));
    site.journal.note(format!("platform: /ready says {}", status_of(ready, "/ready")));
    thread::sleep(OPEN_AT.saturating_sub(stopped.elapsed()));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|_| {
            let journal = site.journal.clone();
            thread::spawn(move || {
                let attempt = attempt_id();
                let Ok(mut channel) = Channel::open(front) else {
                    journal.note(format!("consumer {attempt}: no channel"));
                    return true;
                };
                journal.note(format!("consumer {attempt}: channel open"));
                thread::sleep(SEND_AT.saturating_sub(stopped.elapsed()));
                let more = format!(
                    "X-Model: {MODEL}\r\nX-Token-Counts: 646,70\r\n\
                     X-Prompt-Prefix: 5c1e07a2:155,{}:491\r\nContent-Length: 12\r\n",
                    &attempt[..8]
                );
                let text = head("POST", "/pufi791/2f", &attempt, 10_000, &more) + "the question";
                let sent = channel.send(text.as_bytes());
                let at = stopped.elapsed().as_millis();
                journal
                    .note(format!("consumer {attempt}: sent {at} ms after the SIGTERM: {sent:?}"));
                let answer = channel.answer(Duration::from_secs(11));
                let at = stopped.elapsed().as_millis();
                let text = describe(&answer);
                journal.note(format!("consumer {attempt}: {at} ms after the SIGTERM: {text}"));
                // Refused, or never read: allowed. Begun and cut: not.
                answer.status != 200 || answer.is_whole_success()
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2).saturating_sub(stopped.elapsed()));
    site.journal.note(format!("platform: /ready says {}", status_of(ready, "/ready")));
    let held = consumers.into_iter().map(|consumer| consumer.join().unwrap_or(false));
    let cut = held.filter(|held| !held).count();
    site.journal.note(format!("{cut} of {CONSUMERS} answers were cut"));
    Ok(cut == 0)
}
