//! Whether an offer is taken: at once, and with when to come back if not.

use crate::{
    agent::{AgentState, events::OfferSummary},
    ids::Timestamp,
    outcome::{Refusal, RefusalReason},
    priority::Priority,
    protocol::WorkItem,
    target::TargetKind,
};
use std::time::Duration;

/// Lowest advice on when to come back.
const RETRY_AFTER_FLOOR: Duration = Duration::from_millis(100);
/// Share of the mean service time that a request must have left when it starts; shorter answers than
/// the mean may still make it.
const SERVICE_SHARE: f64 = 0.7;
/// Share of the queue that each priority may fill, by rank: the upper priority always finds room
/// that the lower ones cannot take.
const QUEUE_SHARES: [f64; 3] = [1.0, 0.8, 0.5];

impl AgentState {
    pub(super) fn judge(&mut self, offer: &OfferSummary, now: Timestamp) -> Result<(), Refusal> {
        if self.leaving {
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
        if self.statement.is_backing_off(now) {
            return Err(self.rest_refusal(now));
        }
        let expected = self.expected_start(&offer.item, now);
        if self.is_too_late(expected, offer.time_left) {
            let delay = expected.max(RETRY_AFTER_FLOOR);
            return Err(Refusal::new(RefusalReason::TooLate).with_retry_after(delay));
        }
        self.make_room(offer.priority)
    }

    /// What starts too late to end in time only takes its place from what could. What can start at
    /// once is taken, however long others run: refusing it would leave the mean as it is for ever.
    /// An offer without time left may come from an entry that was frozen before it sent it.
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

    pub(super) fn rest_refusal(&self, now: Timestamp) -> Refusal {
        let left = self.statement.backoff_until.saturating_sub(now);
        Refusal::new(RefusalReason::TargetDown).with_retry_after(left.max(RETRY_AFTER_FLOOR))
    }

    /// Expected time until the target could start such a request.
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

    /// Finds a queue place, taking it from the newest least important work if it must.
    fn make_room(&mut self, priority: Priority) -> Result<(), Refusal> {
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
