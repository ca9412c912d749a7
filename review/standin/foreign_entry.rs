//! Another writer puts an entry into the list of replicas; later a replica reports that it is draining.

use super::{
    Config, Folder, Manner, Record, Replica, Router, SCEM, SERVICE, Store, now_ms, plan,
    wait_listening,
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Entry of a service that no configuration names; its time is no number of milliseconds that a replica could mean.
const FOREIGN: &str = "{\"Service\":\"other\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"a\",\
                       \"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\
                       \"ColdRemainingMs\":1.7976931348623157e308,\"Seq\":1}";
/// Time from that entry to the replica's report; above `ContactMs` (4,000).
const CALM: Duration = Duration::from_secs(6);
/// `DrainMs`.
const DRAIN_MS: u128 = 3_000;
/// Time for which requests are sent after the report; a replica goes on serving for `DrainMs` and at times many seconds
/// more.
const WATCHED: Duration = Duration::from_secs(15);

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start()?;
    let config = |version, timeout_ms| Config {
        version,
        kind: "non_idempotent",
        timeout_ms,
        aim_ms: 300,
        service: SERVICE,
    };
    config(1, 1_500).put(&store);
    let mut replicas = Vec::new();
    for id in ["i-leaving", "i-2", "i-3"] {
        let replica = Replica::start(plan(id, "a", Manner::Serve)?, &folder)?;
        wait_listening(replica.plan.address)?;
        replica.register(&store);
        replicas.push(replica);
    }
    let router = Router::start(&folder, &store, SCEM)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let consumer = {
        let (is_over, listen) = (Arc::clone(&is_over), router.listen);
        thread::spawn(move || super::consume(listen, &is_over))
    };
    thread::sleep(Duration::from_secs(3));
    if trouble {
        store.put("servers", "x-1", FOREIGN);
        record.note(&format!("another writer puts an entry into the list: {FOREIGN}"));
    }
    thread::sleep(CALM);
    replicas[0].register_as(&store, "draining");
    let acknowledged = now_ms();
    record.note("the store acknowledges that i-leaving is draining");
    thread::sleep(WATCHED);
    is_over.store(true, Ordering::SeqCst);
    let sent = consumer.join().map_err(|_| io::Error::other("the consumer panicked"))?;
    for (id, at, answer) in &sent {
        record.note_at(*at, &format!("{id}: {answer}"));
    }
    let (mut late, mut last) = (0, 0);
    for (at, event, id) in replicas[0].events() {
        if event == "arrives" && at > acknowledged + DRAIN_MS {
            late += 1;
            last = at - acknowledged;
            record.note_at(at, &format!("LATE: {id} reaches i-leaving"));
        }
    }
    for line in super::panics(&folder) {
        record.note(&format!("the router's log: {line}"));
    }
    // Not part of the verdict.
    drop(router);
    let second = Router::start(&folder, &store, SCEM);
    let text = if second.is_ok() { "is ready" } else { "is not ready after 10 s" };
    record.note(&format!("the router is ended, and one that starts now {text}"));
    record.note(&format!(
        "{} requests; {late} reached the draining replica over {DRAIN_MS} ms after the ack, the last {last} ms after it",
        sent.len()
    ));
    Ok(late > 0)
}
