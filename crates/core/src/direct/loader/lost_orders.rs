//! Orders without an answer, which an engine may still carry out in a later incarnation.
//!
//! An engine checks an order's count only when it carries the order out. Within one incarnation that is
//! enough: the count never repeats. An engine that restarts under the same id counts from 0 again; when it
//! reaches the same count, a load lost before may take effect on top of what the loader has ordered since.
//! An engine that has to hold more adapters than fit into its slots or its memory crashes.

use super::room::LostRoom;
use crate::{
    direct::{
        membership::InstanceId,
        orders::{EngineOrder, OrderVerb},
    },
    ids::{BaseName, Timestamp},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Time after which an order without an answer is assumed never to be carried out. Such orders are carried out some
/// seconds late; this is several times that. Until then each may reserve room at the engine.
const LOST_TTL: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct LostOrder {
    id: InstanceId,
    incarnation_number: u32,
    order_count: u64,
    /// Base model of the adapter.
    base: BaseName,
    given: Timestamp,
}

/// Loads without an answer, with the incarnation of the engine that they were sent to.
#[derive(Debug, Default)]
pub(super) struct LostOrders {
    orders: Vec<LostOrder>,
    incarnation_number: u32,
}

impl LostOrders {
    /// Records an order that got no answer, if it loads an adapter.
    pub(super) fn note(&mut self, order: &EngineOrder, now: Timestamp) {
        let OrderVerb::LoadAdapter(adapter, _) = &order.verb else { return };
        self.orders.push(LostOrder {
            id: Arc::clone(&order.incarnation.id),
            incarnation_number: self.incarnation_number,
            order_count: order.order_count,
            base: Arc::clone(&adapter.base),
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

    /// Room that loads lost in earlier incarnations under the same id may still take at an engine that has reached
    /// `order_count`. Of those on one count at most one takes effect. `size` is the size in MB of an adapter of a base
    /// model.
    pub(super) fn room(
        &self,
        id: &InstanceId,
        order_count: u64,
        size: impl Fn(&BaseName) -> f64,
    ) -> LostRoom {
        let earlier = self.orders.iter().filter(|order| {
            order.incarnation_number != self.incarnation_number
                && order.id == *id
                && order.order_count >= order_count
        });
        let mut largest: BTreeMap<u64, f64> = BTreeMap::new();
        for order in earlier {
            let known = largest.entry(order.order_count).or_default();
            *known = known.max(size(&order.base));
        }
        LostRoom { slots: largest.len(), memory_mb: largest.values().sum() }
    }
}
