//! A burst fills all replicas, which refuse what has waited too long in their queues; some consumers leave meanwhile.

use super::{
    Config, Folder, Manner, Record, Replica, Router, SERVICE, SRIPADA, Store, plan, send_request,
    wait_listening,
};
use std::{collections::HashMap, io, net::Shutdown, sync::Arc, thread, time::Duration};

const REQUESTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(10);
/// Time budget of the consumers, the route's timeout and its aim, as those of stamp-verify.
const BUDGET_MS: u64 = 3_000;
const TIMEOUT_MS: u64 = 1_500;
const AIM_MS: u64 = 300;
/// Consumers leave after half the aim.
const LEAVE_AFTER: Duration = Duration::from_millis(AIM_MS / 2);
/// The rule: later than half a second after the consumer has left, more than a few times.
const LATE_MS: u128 = 500;
const A_FEW: usize = 3;
/// A router repeats freely once it has run for one window of the budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(11);

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start()?;
    Config {
        version: 1,
        kind: "non_idempotent",
        timeout_ms: TIMEOUT_MS,
        aim_ms: AIM_MS,
        service: SERVICE,
    }
    .put(&store);
    let mut replicas = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let replica = Replica::start(plan(id, "a", Manner::RefuseLate)?, &folder)?;
        wait_listening(replica.plan.address)?;
        replica.register(&store);
        replicas.push(replica);
    }
    let router = Router::start(&folder, &store, SRIPADA)?;
    thread::sleep(BUDGET_WINDOW);
    let mut consumers = Vec::new();
    for number in 0..REQUESTS {
        let (record, channel) = (Arc::clone(record), router.connect()?);
        let leaves = trouble && number % 10 < 3;
        consumers.push(thread::spawn(move || consume(number, channel, leaves, &record)));
        thread::sleep(PAUSE);
    }
    let mut left = HashMap::new();
    for consumer in consumers {
        let (id, at) = consumer.join().map_err(|_| io::Error::other("a consumer panicked"))??;
        left.extend(at.map(|at| (id, at)));
    }
    thread::sleep(Duration::from_secs(2));
    let (mut late, mut late_runs) = (0, 0);
    for replica in &replicas {
        for (at, event, id) in replica.events() {
            let after = left.get(&id).and_then(|left| at.checked_sub(*left));
            let is_late = event == "arrives" && after.is_some_and(|after| after > LATE_MS);
            late += usize::from(is_late);
            late_runs += usize::from(event == "runs" && after.is_some_and(|after| after > LATE_MS));
            let text = if is_late { ", its consumer had left 0.5 s before" } else { "" };
            record.note_at(at, &format!("replica {}: {event} {id}{text}", replica.plan.id));
        }
    }
    record.note(&format!(
        "{REQUESTS} requests, {} consumers left after {} ms, {late} requests reached a replica over {LATE_MS} ms later, {late_runs} \
         of them ran there",
        left.len(),
        LEAVE_AFTER.as_millis()
    ));
    Ok(late > A_FEW)
}

/// Sends one request; returns its id, and when its consumer left.
fn consume(
    number: usize,
    mut channel: super::Channel,
    leaves: bool,
    record: &Record,
) -> io::Result<(String, Option<u128>)> {
    let id = format!("c{number}");
    channel.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    send_request(&mut channel, "/stamp/1", &id, BUDGET_MS)?;
    if leaves {
        channel.stream.set_read_timeout(Some(LEAVE_AFTER))?;
        if let Ok(Some(head)) = channel.read_head() {
            record.note(&format!("consumer {number}: {}", head.start));
            return Ok((id, None));
        }
        channel.stream.shutdown(Shutdown::Both)?;
        let at = super::now_ms();
        record.note_at(at, &format!("consumer {number}: leaves, closes its channel"));
        return Ok((id, Some(at)));
    }
    let answer = channel.read_head()?.map_or_else(|| "closed".to_owned(), |head| head.start);
    record.note(&format!("consumer {number}: {answer}"));
    Ok((id, None))
}
