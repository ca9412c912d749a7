//! A replica crashes in the middle of answers without a length and starts again at once, as a new lifetime.

use super::{
    Channel, Config, Folder, Manner, Record, Replica, Router, SERVICE, SRIPADA, Store, answer_body,
    plan, send_request, wait_listening,
};
use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

const CRASHES: usize = 6;
const REQUESTS: usize = 4;
/// Time between the two halves of an answer.
const WORK_MS: u64 = 300;
/// Time from the requests to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(150);
/// Three heartbeats, after which the store removes the entry of the ended lifetime.
const SILENCE: Duration = Duration::from_millis(3_600);
const ANSWER_BYTES: usize = 800;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start()?;
    Config { version: 1, kind: "idempotent", timeout_ms: 3_000, aim_ms: 300, service: SERVICE }
        .put(&store);
    let start = |id: &str, address: Option<SocketAddr>| -> io::Result<Replica> {
        let mut plan = plan(id, "a", Manner::Unframed)?;
        plan.work_ms = WORK_MS;
        plan.answer_bytes = ANSWER_BYTES;
        plan.address = address.unwrap_or(plan.address);
        let replica = Replica::start(plan, &folder)?;
        replica.register(&store);
        Ok(replica)
    };
    let mut replica = start("i-0", None)?;
    wait_listening(replica.plan.address)?;
    let router = Router::start(&folder, &store, SRIPADA)?;
    let mut truncated = 0;
    for crash in 0..CRASHES {
        let consumers: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let (id, listen) = (format!("c{crash}-{number}"), router.listen);
                thread::spawn(move || (id.clone(), call(listen, &id)))
            })
            .collect();
        thread::sleep(CRASH_AFTER);
        if trouble {
            let old = replica.plan.id.clone();
            record.note(&format!("replica {old} crashes and starts again"));
            replica.process.kill();
            for (at, event, id) in replica.events() {
                record.note_at(at, &format!("replica {old}: {event} {id}"));
            }
            replica = start(&format!("i-{}", crash + 1), Some(replica.plan.address))?;
            let store = store.clone();
            thread::spawn(move || {
                thread::sleep(SILENCE);
                store.remove("servers", &old);
            });
        }
        for consumer in consumers {
            let (id, answer) =
                consumer.join().map_err(|_| io::Error::other("a consumer panicked"))?;
            let text = match answer {
                Ok((status, _)) if !status.contains(" 200 ") => status,
                Ok((_, body)) if body == answer_body(&id, ANSWER_BYTES) => "whole answer".into(),
                Ok((status, body)) => {
                    truncated += 1;
                    format!("{status}, complete, with {} of {ANSWER_BYTES} bytes", body.len())
                }
                Err(error) => format!("no complete answer: {error}"),
            };
            record.note(&format!("{id}: {text}"));
        }
        thread::sleep(SILENCE);
    }
    record.note(&format!("{truncated} successes with a body that is not the replica's whole body"));
    Ok(truncated > 0)
}

/// Sends a request; returns the status line and the complete body of the answer.
fn call(listen: SocketAddr, id: &str) -> io::Result<(String, Vec<u8>)> {
    let mut channel = Channel::new(TcpStream::connect(listen)?);
    channel.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    send_request(&mut channel, "/stamp/1", id, 3_000)?;
    let head = channel.read_head()?.ok_or_else(|| io::Error::other("closed before an answer"))?;
    let body = match head.length() {
        Some(length) => channel.read_body(length)?,
        None => {
            let mut body = std::mem::take(&mut channel.buffer);
            channel.stream.read_to_end(&mut body)?;
            body
        }
    };
    Ok((head.start, body))
}
