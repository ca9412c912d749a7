//! Admission of offers: accepts an offer, or refuses it at once with a time after which to retry.

use crate::{
    agent::{AgentState, events::OfferSummary},
    ids::Timestamp,
    outcome::{Refusal, RefusalReason},
    priority::Priority,
    protocol::WorkItem,
    target::TargetKind,
};
use std::time::Duration;

/// Lower bound of `retry_after` in refusals.
const RETRY_AFTER_FLOOR: Duration = Duration::from_millis(100);
/// Share of the mean service time that a request must have left when it starts. Below 1, because
/// requests shorter than the mean may still end in time.
const SERVICE_SHARE: f64 = 0.7;
/// Share of the queue that each priority may fill, by rank: part of the queue is reserved for the
/// higher priorities.
const QUEUE_SHARES: [f64; 3] = [1.0, 0.8, 0.5];

impl AgentState {
    pub(super) fn check_offer(
        &mut self,
        offer: &OfferSummary,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::new(RefusalReason::Leaving));
        }
        if !self.leased {
            return Err(Refusal::new(RefusalReason::NoLease));
        }
        if !self.serves(&offer.item) {
            return Err(Refusal::new(RefusalReason::WrongTarget));
        }
        if offer.revision < self.revision {
            return Err(Refusal::new(RefusalReason::ConfigBehind));
        }
        if !self.target_up {
            return Err(self.refusal(RefusalReason::TargetDown));
        }
        if self.advertised.is_backing_off(now) {
            return Err(self.backoff_refusal(now));
        }
        let expected = self.expected_start(&offer.item, now);
        if self.is_too_late(expected, offer.time_left) {
            let delay = expected.max(RETRY_AFTER_FLOOR);
            return Err(Refusal::new(RefusalReason::TooLate).with_retry_after(delay));
        }
        self.reserve_queue_slot(offer.priority)
    }

    /// Whether a request is expected to miss its deadline; accepting it would take a slot from one that
    /// does not. A request that can start at once is accepted whatever the mean service time is:
    /// otherwise no request would run any more and the mean would never change. An offer without time
    /// left may come from an entry whose process was suspended before it sent the offer.
    fn is_too_late(&self, expected: Duration, time_left: Duration) -> bool {
        if expected.is_zero() {
            return time_left.is_zero();
        }
        expected + self.service_time.read().mul_f64(SERVICE_SHARE) >= time_left
    }

    fn serves(&self, item: &WorkItem) -> bool {
        match (item, &self.options.kind) {
            (WorkItem::Completion { base, .. }, TargetKind::Engine(served)) => base == served,
            (WorkItem::Service { name }, TargetKind::Service(served)) => name == served,
            _ => false,
        }
    }

    pub(super) fn refusal(&self, reason: RefusalReason) -> Refusal {
        let limit = f64::from(self.options.batch_limit.max(1));
        let batches = f64::from(self.queued() + self.running) / limit;
        let delay = self.service_time.read().mul_f64(batches).max(RETRY_AFTER_FLOOR);
        Refusal::new(reason).with_retry_after(delay)
    }

    pub(super) fn backoff_refusal(&self, now: Timestamp) -> Refusal {
        let left = self.advertised.backoff_until.saturating_sub(now);
        Refusal::new(RefusalReason::TargetDown).with_retry_after(left.max(RETRY_AFTER_FLOOR))
    }

    /// Expected time until the target could start a request for `item`.
    fn expected_start(&self, item: &WorkItem, now: Timestamp) -> Duration {
        let limit = self.options.batch_limit.max(1);
        let ahead = (self.queued() + self.running + 1).saturating_sub(limit);
        let queue = self.service_time.read().mul_f64(f64::from(ahead) / f64::from(limit));
        let stall = match item {
            WorkItem::Completion { key, .. } if !self.residents.is_ready(key) => {
                self.loads.expected_wait_of(key, self.options.load_limit, now)
            }
            _ => Duration::ZERO,
        };
        queue.max(stall)
    }

    /// Makes sure that the queue has a free slot for the priority, if necessary by refusing the newest
    /// work of the lowest priority below it.
    fn reserve_queue_slot(&mut self, priority: Priority) -> Result<(), Refusal> {
        let free = self.options.batch_limit.saturating_sub(self.running);
        let limit = (f64::from(self.queue_limit) * QUEUE_SHARES[priority.rank()]) as u32 + free;
        if self.queued() < limit {
            return Ok(());
        }
        let Some(shed) = self.queue.newest_below(priority) else {
            return Err(self.refusal(RefusalReason::QueueFull));
        };
        self.refuse_accepted(shed, RefusalReason::QueueFull);
        Ok(())
    }
}
