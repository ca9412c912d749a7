//! Orders without an answer, which an engine may still carry out in a later incarnation.
//!
//! An engine checks an order's count only when it carries the order out. Within one incarnation that is
//! enough: the count never repeats. An engine that restarts under the same id counts from 0 again; when it
//! reaches the same count, a load lost before may take effect on top of what the loader has ordered since.
//! An engine that has to hold more adapters than it has slots crashes.

use crate::{direct::membership::InstanceId, ids::Timestamp};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Time after which an order without an answer is assumed never to be carried out. Such orders are carried out some
/// seconds late; this is several times that. Until then each may reserve a slot of the engine.
const LOST_TTL: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct LostOrder {
    id: InstanceId,
    incarnation_number: u32,
    order_count: u64,
    given: Timestamp,
}

/// Loads without an answer, with the incarnation of the engine that they were sent to.
#[derive(Debug, Default)]
pub(super) struct LostOrders {
    orders: Vec<LostOrder>,
    incarnation_number: u32,
}

impl LostOrders {
    /// Records a load on an order count that got no answer.
    pub(super) fn note(&mut self, id: &InstanceId, order_count: u64, now: Timestamp) {
        self.orders.push(LostOrder {
            id: Arc::clone(id),
            incarnation_number: self.incarnation_number,
            order_count,
            given: now,
        });
    }

    /// Marks all recorded loads as sent to an earlier incarnation.
    pub(super) fn begin_incarnation(&mut self) {
        self.incarnation_number += 1;
    }

    /// Drops loads older than [`LOST_TTL`].
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.orders.retain(|order| now.saturating_sub(order.given) < LOST_TTL);
    }

    /// Slots that loads lost in earlier incarnations under the same id may still occupy at an engine that has
    /// reached `order_count`. Of those on one count at most one takes effect.
    pub(super) fn slots(&self, id: &InstanceId, order_count: u64) -> usize {
        let earlier = self.orders.iter().filter(|order| {
            order.incarnation_number != self.incarnation_number
                && order.id == *id
                && order.order_count >= order_count
        });
        earlier.map(|order| order.order_count).collect::<BTreeSet<_>>().len()
    }
}
