//! Orders that got no answer, and that an engine may still carry out in a later incarnation.
//!
//! An engine checks the order count that an order names only when it carries the order out. Within one
//! incarnation that is enough: the count never comes back. An engine that starts again under the same id
//! counts from 0, passes the same counts once more, and a load that was lost before may then take effect on
//! top of what the loader has ordered since. An engine that is made to hold more than it has room for
//! crashes.

use crate::{direct::membership::InstanceId, ids::Timestamp};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Time after which an order that got no answer is taken to be gone for good. They are carried out some
/// seconds late; this is several times that, and costs one slot of an engine for as long.
const LOST_TTL: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct LostOrder {
    id: InstanceId,
    incarnation_number: u32,
    order_count: u64,
    given: Timestamp,
}

/// Loads without an answer, by the incarnation of the engine to which they were given.
#[derive(Debug, Default)]
pub(super) struct LostOrders {
    orders: Vec<LostOrder>,
    incarnation_number: u32,
}

impl LostOrders {
    /// A load at an order count got no answer.
    pub(super) fn note(&mut self, id: &InstanceId, order_count: u64, now: Timestamp) {
        self.orders.push(LostOrder {
            id: Arc::clone(id),
            incarnation_number: self.incarnation_number,
            order_count,
            given: now,
        });
    }

    /// The engine began another incarnation.
    pub(super) fn begin_incarnation(&mut self) {
        self.incarnation_number += 1;
    }

    /// Forgets what has outlived its time.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.orders.retain(|order| now.saturating_sub(order.given) < LOST_TTL);
    }

    /// Slots that loads lost in earlier incarnations under the same id may yet take from an engine that has
    /// reached `order_count`. Of those at one count at most one takes effect.
    pub(super) fn slots(&self, id: &InstanceId, order_count: u64) -> usize {
        let earlier = self.orders.iter().filter(|order| {
            order.incarnation_number != self.incarnation_number
                && order.id == *id
                && order.order_count >= order_count
        });
        earlier.map(|order| order.order_count).collect::<BTreeSet<_>>().len()
    }
}
