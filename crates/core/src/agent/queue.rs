//! Queue of accepted work that waits for its adapter or a batch slot; admission bounds its length.

use crate::{
    agent::events::{OfferSummary, WorkId},
    ids::CallerName,
    priority::Priority,
    protocol::WorkItem,
};
use std::collections::HashMap;

/// One waiting request.
#[derive(Clone, Debug)]
pub struct QueuedWork {
    work: WorkId,
    item: WorkItem,
    priority: Priority,
    caller: CallerName,
    share: u32,
    order: u64,
}

impl QueuedWork {
    /// Copies the fields of an offer that the queue's order depends on.
    pub fn new(offer: &OfferSummary) -> Self {
        Self {
            work: offer.work,
            item: offer.item.clone(),
            priority: offer.priority,
            caller: offer.caller.clone(),
            share: offer.share.max(1),
            order: 0,
        }
    }
}

/// A queue of requests, ordered by priority. Within a priority it is fair among callers, and the
/// requests of one caller are served in the order of their arrival.
///
/// Fairness is start-time fair queueing: each started request advances its caller's virtual time by
/// `1 / share`, and the caller with the least virtual time goes next. Scans are linear; the queue
/// holds at most the preset's `queue_limit`.
#[derive(Debug, Default)]
pub struct WorkQueue {
    waiting: Vec<QueuedWork>,
    virtual_times: HashMap<CallerName, f64>,
    virtual_floor: f64,
    next_order: u64,
}

impl WorkQueue {
    /// Adds work behind all other work of its caller and priority.
    pub fn push(&mut self, mut work: QueuedWork) {
        work.order = self.next_order;
        self.next_order += 1;
        self.waiting.push(work);
    }

    /// Removes work, if it is in the queue.
    pub fn remove(&mut self, work: WorkId) {
        self.waiting.retain(|waiting| waiting.work != work);
    }

    /// Removes and returns the next work for which `can_start` is true.
    pub fn pop(&mut self, can_start: impl Fn(&WorkItem) -> bool) -> Option<WorkId> {
        let ready = self.waiting.iter().enumerate().filter(|(_, work)| can_start(&work.item));
        let (index, _) = ready.min_by(|(_, a), (_, b)| self.compare(a, b))?;
        let work = self.waiting.remove(index);
        self.charge(&work);
        Some(work.work)
    }

    /// The newest work of the lowest priority below `priority`.
    pub fn newest_below(&self, priority: Priority) -> Option<WorkId> {
        let lower = self.waiting.iter().filter(|work| work.priority > priority);
        lower.max_by_key(|work| (work.priority, work.order)).map(|work| work.work)
    }

    fn compare(&self, a: &QueuedWork, b: &QueuedWork) -> std::cmp::Ordering {
        a.priority
            .cmp(&b.priority)
            .then(self.virtual_time(&a.caller).total_cmp(&self.virtual_time(&b.caller)))
            .then(a.order.cmp(&b.order))
    }

    // A caller that was idle starts at the floor, so that idle time earns it no credit.
    fn virtual_time(&self, caller: &CallerName) -> f64 {
        self.virtual_times.get(caller).copied().unwrap_or(0.0).max(self.virtual_floor)
    }

    fn charge(&mut self, work: &QueuedWork) {
        let start = self.virtual_time(&work.caller);
        self.virtual_floor = start;
        if self.waiting.is_empty() {
            self.virtual_times.clear();
            self.virtual_floor = 0.0;
            return;
        }
        self.virtual_times.insert(work.caller.clone(), start + 1.0 / f64::from(work.share));
    }
}
