//! Which order comes next: the turn of wishes, the window of loads, and what gives way.

use super::{LoaderMachine, PATIENCE, TRANSIT_LIMIT, wish_adapter};
use crate::{
    direct::{
        call::AdapterId,
        messages::AdapterWish,
        orders::{EngineReport, OrderVerb},
    },
    ids::{BaseName, Timestamp},
};
use std::{cmp::Reverse, sync::Arc, time::Duration};

/// Loads for calls in time after which a late call has its turn. Without it late calls wait until their
/// callers leave: of the calls in the ten seconds after a cold start 4 in 100 more were not served at all.
const TIMELY_LOADS: u8 = 3;

impl LoaderMachine {
    /// Counts a load towards the turn of late calls.
    pub(super) fn count_turn(&mut self, adapter: &AdapterId, now: Timestamp) {
        let wishes = self.notices.values().flat_map(|state| &state.notice.wishes);
        let mut own = wishes.filter(|wish| wish_adapter(wish) == *adapter && wish.waiting > 0);
        let is_timely = own.any(|wish| self.is_in_time(wish, now));
        self.timely_loads = if is_timely { self.timely_loads.saturating_add(1) } else { 0 };
    }

    pub(super) fn next_order(&self, now: Timestamp) -> Option<OrderVerb> {
        let report = self.report.as_ref()?;
        if report.holdings.is_empty() {
            return self.wanted_base().map(OrderVerb::LoadBase);
        }
        let newest = self.notices.values().max_by_key(|state| state.received)?;
        let places = usize::from(newest.notice.adapter_places);
        if report.coming.len() >= TRANSIT_LIMIT {
            return None;
        }
        let wishes = self.wishes_in_turn(report, now);
        let far = self.far_loads();
        let (wish, since) = wishes.iter().find(|(wish, _)| self.may_begin(wish, far))?;
        let adapter = wish_adapter(wish);
        let is_replacement = report.held(&adapter).is_some();
        let reserved = self.reserved_places(report);
        if is_replacement || report.occupied() + reserved < places {
            return Some(OrderVerb::LoadAdapter(adapter, wish.version));
        }
        self.victim(report, wish, now.saturating_sub(*since), now).map(OrderVerb::UnloadAdapter)
    }

    /// Loads on their way from the weight store.
    pub(super) fn far_loads(&self) -> usize {
        self.loading.values().filter(|start| !start.is_near).count()
    }

    /// Whether a load may begin while `far` others are on their way from the weight store. One from the
    /// host's memory takes nothing of the store, and one ahead of calls waits while others need it.
    fn may_begin(&self, wish: &AdapterWish, far: usize) -> bool {
        if self.memory.holds(&wish_adapter(wish)) {
            return true;
        }
        far < self.transit.window() && (wish.waiting > 0 || !self.transit.is_congested())
    }

    /// Places kept free for loads that an earlier incarnation of the engine never answered.
    fn reserved_places(&self, report: &EngineReport) -> usize {
        self.instance.as_ref().map_or(0, |id| self.lost.places(id, report.order_count))
    }

    /// The base model to put on an empty engine: the one that most calls wait for, else the first.
    fn wanted_base(&self) -> Option<BaseName> {
        let offer = self.offer.as_ref()?;
        let fitting = offer.bases.iter().filter(|base| base.weights_mb <= offer.memory_mb);
        let waiting = |base: &BaseName| -> u32 {
            let wishes = self.notices.values().flat_map(|state| &state.notice.wishes);
            let own = wishes.filter(|wish| wish.base == *base);
            own.map(|wish| u32::from(wish.waiting)).sum()
        };
        // Of equals the first: `max_by_key` would take the last.
        let best = fitting.rev().max_by_key(|base| waiting(&base.base));
        best.map(|base| Arc::clone(&base.base))
    }

    /// Open wishes in the order of their loads: first those of calls that can still meet their objective,
    /// then those of calls that are late already, then those ahead of calls. While the weight store is
    /// overloaded, a load for a late call makes another one late too; but late calls have their turn now
    /// and then.
    fn wishes_in_turn(
        &self,
        report: &EngineReport,
        now: Timestamp,
    ) -> Vec<(&AdapterWish, Timestamp)> {
        let mut wishes = self.open_wishes(report);
        let is_late_turn = self.timely_loads >= TIMELY_LOADS;
        wishes.sort_by_cached_key(|(wish, since)| {
            let callers = Reverse(self.waiting_calls(&wish_adapter(wish)));
            let is_behind = self.is_in_time(wish, now) == is_late_turn;
            (wish.waiting == 0, is_behind, callers, wish.priority, *since)
        });
        wishes
    }

    /// Wishes that nothing held or coming meets, and since when each was seen.
    pub(super) fn open_wishes(&self, report: &EngineReport) -> Vec<(&AdapterWish, Timestamp)> {
        let mut wishes: Vec<(&AdapterWish, Timestamp)> = Vec::new();
        for state in self.notices.values() {
            for wish in &state.notice.wishes {
                let adapter = wish_adapter(wish);
                let is_met = report.held(&adapter).is_some_and(|version| version >= wish.version);
                let is_coming = report.is_coming(&adapter);
                let has_base = report.holdings.iter().any(|holding| holding.base == wish.base);
                if !is_met && !state.met.contains(&adapter) && !is_coming && has_base {
                    let since = state.wished.get(&adapter).copied().unwrap_or(state.received);
                    wishes.push((wish, since));
                }
            }
        }
        wishes
    }

    /// Calls of all routers that wait for an adapter.
    pub(super) fn waiting_calls(&self, adapter: &AdapterId) -> u32 {
        let wishes = self.notices.values().flat_map(|state| &state.notice.wishes);
        let own = wishes.filter(|wish| wish.adapter == adapter.name && wish.base == adapter.base);
        own.map(|wish| u32::from(wish.waiting)).sum()
    }

    /// Whether a call that waits meets its objective if its adapter is loaded now.
    pub(super) fn is_in_time(&self, wish: &AdapterWish, now: Timestamp) -> bool {
        let adapter = wish_adapter(wish);
        let load = self.expected_load(&adapter);
        let mut states = self.notices.values();
        states.any(|state| {
            let own = state.notice.wishes.iter().find(|own| wish_adapter(own) == adapter);
            own.is_some_and(|own| {
                own.slack_ms > 0
                    && now + load < state.received + Duration::from_millis(own.slack_ms.into())
            })
        })
    }

    /// The adapter that gives way: not in use, not wished for, least wanted lately. One in use gives way
    /// only to a call that has waited for longer than [`PATIENCE`].
    fn victim(
        &self,
        report: &EngineReport,
        wish: &AdapterWish,
        waited: Duration,
        now: Timestamp,
    ) -> Option<AdapterId> {
        let running = self.running();
        let scored = report.settled_adapters().map(|id| {
            let in_use = self.uses(&id, &running, now);
            let calls = self.demand.get(&id).map_or(0.0, |demand| demand.lasting.read(now));
            (in_use, calls, id)
        });
        let least = |a: &(u32, f64, AdapterId), b: &(u32, f64, AdapterId)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then_with(|| a.2.cmp(&b.2))
        };
        let (in_use, _, id) = scored.min_by(least)?;
        let may_go = in_use == 0 || (wish.waiting > 0 && waited > PATIENCE);
        may_go.then_some(id)
    }
}
