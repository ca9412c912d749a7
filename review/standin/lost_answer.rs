//! One answer of the store is lost; later, with nothing disturbed, the operator moves a route.

use super::{
    Config, Folder, Manner, NEW_SERVICE, Record, Replica, Router, SERVICE, SRIPADA, Store, plan,
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

/// Time after the loss in which nothing is disturbed, before the operator moves the route; above `ContactMs`.
const CALM: Duration = Duration::from_secs(5);
/// `ConfigApplyMs`.
const APPLY_MS: u128 = 2_000;
/// Time for which requests are sent after the move.
const WATCHED: Duration = Duration::from_secs(25);

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start()?;
    let config = |version, timeout_ms, service| Config {
        version,
        kind: "non_idempotent",
        timeout_ms,
        aim_ms: 300,
        service,
    };
    config(1, 1_500, SERVICE).put(&store);
    let mut replicas = Vec::new();
    for (id, service) in [("i-old-1", SERVICE), ("i-old-2", SERVICE), ("i-new-1", NEW_SERVICE)] {
        let mut plan = plan(id, "a", Manner::Serve)?;
        plan.service = service;
        let replica = Replica::start(plan, &folder)?;
        wait_listening(replica.plan.address)?;
        replica.register(&store);
        replicas.push(replica);
    }
    let router = Router::start(&folder, &store, SRIPADA)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let consumer = {
        let (is_over, listen) = (Arc::clone(&is_over), router.listen);
        thread::spawn(move || super::consume(listen, &is_over))
    };
    thread::sleep(Duration::from_secs(3));
    if trouble {
        record.note("the store loses its next answer to a watch of the configuration");
        store.lose_answer();
    }
    config(3, 1_600, SERVICE).put(&store);
    record.note("the operator changes the route's timeout (version 3)");
    thread::sleep(CALM);
    let acknowledged = config(4, 1_600, NEW_SERVICE).put(&store);
    record.note("the store acknowledges version 4, which moves the route to the new service");
    thread::sleep(WATCHED);
    is_over.store(true, Ordering::SeqCst);
    let sent = consumer.join().map_err(|_| io::Error::other("the consumer panicked"))?;
    for (at, call) in store.lost_answers() {
        record.note_at(at, &format!("answer lost: {call}"));
    }
    let (mut late, mut last) = (0, 0);
    for (id, at, answer) in &sent {
        let ran = replicas.iter().find(|replica| {
            replica.events().iter().any(|(_, event, own)| event == "runs" && own == id)
        });
        let ran = ran.map_or("nowhere", |replica| &replica.plan.id);
        let is_late = *at > acknowledged + APPLY_MS && ran.starts_with("i-old");
        if is_late {
            late += 1;
            last = at - acknowledged;
        }
        let text = if is_late { ", LATE" } else { "" };
        record.note_at(*at, &format!("{id}: {answer}, run by {ran}{text}"));
    }
    record.note(&format!(
        "{} requests; {late} sent over {APPLY_MS} ms after the ack were run by the old service, the last {last} ms after \
         it",
        sent.len()
    ));
    Ok(late > 0)
}
