//! The software versions at which streams began: records of this router's own streams, notices to loaders and queries of
//! loaders.

use super::context::RouterContext;
use crate::clock;
use metrics::{counter, gauge};
use plantain_core::{
    direct::streams::{
        REPLICAS, SPARE_REPLICAS, SoftwareTag, StreamKey, StreamOrigin,
        messages::{StreamAnswer, StreamNotice, StreamQuery},
        outbox::StreamOutbox,
        query::{OriginQuery, QueryResult},
        records::StreamRecords,
        replica_hosts,
    },
    ids::Timestamp,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::IpAddr,
    rc::Rc,
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// Tag of a version that is not known. No version of a service has it, so that a stream which is recorded with it is not
/// resumed.
pub(crate) const UNKNOWN_SOFTWARE: SoftwareTag = 0;

/// A query that waits for answers.
struct PendingQuery {
    stream: StreamKey,
    query: OriginQuery,
    answered: Rc<Notify>,
}

/// State of a router's streams beside the calls that carry them.
#[derive(Default)]
pub(crate) struct StreamTracker {
    records: RefCell<StreamRecords>,
    outbox: RefCell<StreamOutbox>,
    queries: RefCell<HashMap<u64, PendingQuery>>,
    last_query: Cell<u64>,
    /// Hosts of loaders at which streams are recorded.
    recording: RefCell<Vec<IpAddr>>,
    /// Notified when datagrams are due.
    pub(crate) wake: Notify,
}

impl StreamTracker {
    /// Records the version at which a stream began, before its first event reaches the caller.
    pub(crate) fn record(&self, context: &RouterContext, stream: StreamKey, software: SoftwareTag) {
        let now = clock::now();
        if self.recording.borrow().is_empty() {
            self.recording.replace(loader_hosts(context, false));
        }
        self.records.borrow_mut().record(stream, StreamOrigin::Known(software), now);
        let hosts = replica_hosts(stream, self.recording.borrow().iter().copied(), REPLICAS);
        self.outbox.borrow_mut().push(&hosts, stream, software, now);
        self.wake.notify_one();
    }

    /// Queries the version at which a stream began. A router that has just started waits until it knows loaders, at most
    /// until `deadline`.
    pub(crate) async fn find_origin(
        &self,
        context: &RouterContext,
        stream: StreamKey,
        deadline: Timestamp,
    ) -> QueryResult {
        let is_known = || !loader_hosts(context, true).is_empty();
        context.poll_while_starting(deadline, is_known).await;
        let now = clock::now();
        let loaders = loader_hosts(context, true);
        let own = self.records.borrow_mut().find(stream, now);
        let count = REPLICAS + SPARE_REPLICAS;
        let hosts = replica_hosts(stream, loaders.into_iter(), count);
        let query = OriginQuery::new(&hosts, own, now);
        let answered = Rc::new(Notify::new());
        let pending = PendingQuery { stream, query, answered: Rc::clone(&answered) };
        let guard = QueryGuard::new(self, pending);
        loop {
            let now = clock::now();
            let (result, next) = {
                let queries = self.queries.borrow();
                let query = &queries[&guard.number].query;
                (query.result(now), query.next_step(now))
            };
            match result {
                // Loaders that the list does not show may have a record.
                Some(QueryResult::Unknown) if !context.pool.borrow().is_list_current() => {
                    return QueryResult::Unanswered;
                }
                Some(result) => return result,
                None => {}
            }
            self.wake.notify_one();
            let _ = timeout(next.saturating_sub(now), answered.notified()).await;
        }
    }

    /// Applies a loader's answer to a query.
    pub(crate) fn take_answer(&self, host: IpAddr, answer: &StreamAnswer) {
        let stream = answer.stream();
        for pending in self.queries.borrow_mut().values_mut() {
            if pending.stream == stream {
                pending.query.take_answer(host, answer.origin);
                pending.answered.notify_one();
            }
        }
    }

    /// Applies a loader's acknowledgement of a notice.
    pub(crate) fn acknowledge(&self, host: IpAddr, sequence: u32) {
        self.outbox.borrow_mut().acknowledge(host, sequence);
    }

    /// Notices to loaders that are due.
    pub(crate) fn take_notices(&self, now: Timestamp) -> Vec<(IpAddr, StreamNotice)> {
        self.outbox.borrow_mut().take_due(now)
    }

    /// Queries of loaders that are due.
    pub(crate) fn take_queries(&self, now: Timestamp) -> Vec<(IpAddr, StreamQuery)> {
        let mut queries = self.queries.borrow_mut();
        let due = queries.values_mut().flat_map(|pending| {
            let hosts = pending.query.take_due(now).into_iter();
            let query = StreamQuery::new(pending.stream);
            hosts.map(move |host| (host, query.clone()))
        });
        due.collect()
    }

    /// Waits until a notice is due.
    pub(crate) async fn next_notice(&self) {
        let due = self.outbox.borrow().next_due();
        match due {
            Some(due) => sleep(due.saturating_sub(clock::now())).await,
            None => std::future::pending().await,
        }
    }

    /// Updates the loaders and drops expired records.
    pub(crate) fn refresh(&self, context: &RouterContext, now: Timestamp) {
        self.recording.replace(loader_hosts(context, false));
        let mut records = self.records.borrow_mut();
        records.expire(now);
        gauge!("plantain_stream_records").set(records.len() as f64);
        gauge!("plantain_stream_notices_pending").set(self.outbox.borrow().pending() as f64);
    }
}

/// Hosts of the loaders, with or without those of engines that are draining.
fn loader_hosts(context: &RouterContext, takes_draining: bool) -> Vec<IpAddr> {
    let pool = context.pool.borrow();
    let engines = pool
        .engines()
        .filter(|engine| !engine.has_ended() && (takes_draining || !engine.is_draining()));
    engines.map(|engine| engine.entry.address.ip()).collect()
}

/// Counts a call that asks to resume a stream.
pub(crate) fn count_resumption(outcome: &'static str) {
    counter!("plantain_resumptions_total", "outcome" => outcome).increment(1);
}

/// Removes a query when its call ends.
struct QueryGuard<'a> {
    tracker: &'a StreamTracker,
    number: u64,
}

impl<'a> QueryGuard<'a> {
    fn new(tracker: &'a StreamTracker, pending: PendingQuery) -> Self {
        let number = tracker.last_query.get() + 1;
        tracker.last_query.set(number);
        tracker.queries.borrow_mut().insert(number, pending);
        Self { tracker, number }
    }
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.tracker.queries.borrow_mut().remove(&self.number);
    }
}
