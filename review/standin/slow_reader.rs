//! Consumers that read slowly: each waits two seconds before it reads an answer.

use super::{
    Channel, Config, Folder, Manner, Record, Replica, Router, SCEM, SERVICE, Store, answer_body,
    connect_with_window, plan, send_request, wait_listening,
};
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

const CONSUMERS: usize = 10;
/// Largest answer of the plain services in the site files.
const ANSWER_BYTES: usize = 4_800;
/// A header of the answer that does not fit in a consumer's window.
const HEADER_BYTES: usize = 3_000;
const PAUSE: Duration = Duration::from_secs(2);
/// Time budget of the consumers, and the route's timeout.
const BUDGET_MS: u64 = 3_000;
/// The rule: more than three times.
const ALLOWED: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start()?;
    Config {
        version: 1,
        kind: "non_idempotent",
        timeout_ms: BUDGET_MS,
        aim_ms: 300,
        service: SERVICE,
    }
    .put(&store);
    let mut replicas = Vec::new();
    for id in ["i-1", "i-2"] {
        let mut plan = plan(id, "a", Manner::Serve)?;
        plan.answer_bytes = ANSWER_BYTES;
        plan.header_bytes = HEADER_BYTES;
        let replica = Replica::start(plan, &folder)?;
        wait_listening(replica.plan.address)?;
        replica.register(&store);
        replicas.push(replica);
    }
    let router = Router::start(&folder, &store, SCEM)?;
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (record, listen) = (Arc::clone(record), router.listen);
            thread::spawn(move || consume(number, listen, trouble, &record))
        })
        .collect();
    let mut lost = Vec::new();
    for consumer in consumers {
        let (id, is_complete) =
            consumer.join().map_err(|_| io::Error::other("a consumer panicked"))??;
        if !is_complete {
            lost.push(id);
        }
    }
    let mut ran_and_lost = 0;
    for replica in &replicas {
        for (at, event, id) in replica.events() {
            record.note_at(at, &format!("replica {}: {event} {id}", replica.plan.id));
            ran_and_lost += usize::from(event == "answered" && lost.contains(&id));
        }
    }
    record.note(&format!(
        "{} requests on kept channels, {} without a complete answer, {ran_and_lost} of these run and answered by their \
         replica",
        CONSUMERS,
        lost.len()
    ));
    Ok(ran_and_lost > ALLOWED)
}

/// Sends two requests on one channel and reads the second answer slowly; returns the id of the second, and whether its
/// answer came completely.
fn consume(
    number: usize,
    listen: SocketAddr,
    trouble: bool,
    record: &Record,
) -> io::Result<(String, bool)> {
    let mut channel = Channel::new(connect_with_window(listen, 1_024)?);
    channel.stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let first = format!("c{number}-1");
    send_request(&mut channel, "/stamp/1", &first, BUDGET_MS)?;
    let body = read_answer(&mut channel, Duration::ZERO)?;
    if body != answer_body(&first, ANSWER_BYTES) {
        return Err(io::Error::other("the first answer is not the replica's"));
    }
    let second = format!("c{number}-2");
    record.note(&format!("consumer {number}: sends {second} on the channel that it kept"));
    send_request(&mut channel, "/stamp/2", &second, BUDGET_MS)?;
    let answer = read_answer(&mut channel, if trouble { PAUSE } else { Duration::ZERO });
    let is_complete = match &answer {
        Ok(body) => *body == answer_body(&second, ANSWER_BYTES),
        Err(_) => false,
    };
    let text = match answer {
        Ok(body) => format!("answer of {} bytes", body.len()),
        Err(error) => format!("no complete answer: {error}"),
    };
    record.note(&format!("consumer {number}: {second}: {text}"));
    Ok((second, is_complete))
}

/// Reads an answer after a pause.
fn read_answer(channel: &mut Channel, pause: Duration) -> io::Result<Vec<u8>> {
    thread::sleep(pause);
    let head = channel.read_head()?.ok_or_else(|| io::Error::other("closed before an answer"))?;
    if head.word(1) != "200" {
        return Err(io::Error::other(head.start));
    }
    channel.read_body(head.length().unwrap_or(0))
}
