//! The next order: priority of load requests, limit on concurrent loads, and eviction.

use super::{
    EVICTION_PATIENCE, LoaderMachine, MAX_CONCURRENT_LOADS,
    order::{LoadOrder, LoadRank, LoadTurn},
    requested_adapter,
};
use crate::{
    direct::{
        call::AdapterId,
        messages::LoadRequest,
        orders::{EngineReport, OrderVerb},
    },
    ids::{BaseName, Timestamp},
};
use std::{sync::Arc, time::Duration};

/// Loads for calls that can still meet their objective after which a late call goes first. Without it late calls
/// starve until their callers give up: of the calls in the ten seconds after a cold start, 4 more in 100 were not
/// served at all.
const TIMELY_LOADS: u8 = 3;

impl LoaderMachine {
    /// Counts a load for a call that can still meet its objective; a load for a late call resets the count.
    pub(super) fn count_timely_load(&mut self, adapter: &AdapterId, now: Timestamp) {
        let load_requests = self.notices.values().flat_map(|state| &state.notice.load_requests);
        let mut own = load_requests
            .filter(|request| requested_adapter(request) == *adapter && request.waiting > 0);
        let is_timely = own.any(|request| self.is_in_time(request, now));
        self.timely_loads = if is_timely { self.timely_loads.saturating_add(1) } else { 0 };
    }

    pub(super) fn next_order(&self, now: Timestamp) -> Option<OrderVerb> {
        let report = self.report.as_ref()?;
        if report.holdings.is_empty() {
            return self.wanted_base().map(OrderVerb::LoadBase);
        }
        if report.loading.len() >= MAX_CONCURRENT_LOADS {
            return None;
        }
        let room = self.room(report)?;
        let load_requests = self.sorted_requests(report, now);
        let store_loads = self.store_loads();
        let (request, since) = load_requests.iter().find(|(request, _)| {
            room.may_fit(&request.base) && self.may_begin(request, store_loads)
        })?;
        let adapter = requested_adapter(request);
        let is_replacement = report.held(&adapter).is_some();
        if is_replacement || room.fits(&adapter.base) {
            return Some(OrderVerb::LoadAdapter(adapter, request.version));
        }
        self.victim(report, request, now.saturating_sub(*since), now).map(OrderVerb::UnloadAdapter)
    }

    /// Number of loads in progress from the weight store.
    pub(super) fn store_loads(&self) -> usize {
        self.loading.values().filter(|start| !start.from_host_memory).count()
    }

    /// Whether a load may begin while `store_loads` others from the weight store are in progress. A load from
    /// host memory does not use the store, and a prefetch waits while the store is congested.
    fn may_begin(&self, request: &LoadRequest, store_loads: usize) -> bool {
        if self.memory.holds(&requested_adapter(request)) {
            return true;
        }
        store_loads < self.load_limiter.window()
            && (request.waiting > 0 || !self.load_limiter.is_congested())
    }

    /// The base model to load on an empty engine: the one that most calls wait for, else the first that fits.
    fn wanted_base(&self) -> Option<BaseName> {
        let offer = self.offer.as_ref()?;
        let fitting = offer.bases.iter().filter(|base| base.weights_mb <= offer.memory_mb);
        let waiting = |base: &BaseName| -> u32 {
            let load_requests = self.notices.values().flat_map(|state| &state.notice.load_requests);
            let own = load_requests.filter(|request| request.base == *base);
            own.map(|request| u32::from(request.waiting)).sum()
        };
        // Reversed, as `max_by_key` returns the last of equal elements.
        let best = fitting.rev().max_by_key(|base| waiting(&base.base));
        best.map(|base| Arc::clone(&base.base))
    }

    /// Unfulfilled load requests in the order of their loads: first for calls that can still meet their objective,
    /// then for calls that are late already, then prefetches. While the weight store is overloaded, a load for
    /// a late call makes another call late too; so a late call goes first only after [`TIMELY_LOADS`] others.
    fn sorted_requests(
        &self,
        report: &EngineReport,
        now: Timestamp,
    ) -> Vec<(&LoadRequest, Timestamp)> {
        let mut ranked = self.ranked_requests(report, now);
        let order = LoadOrder::of(ranked.iter().map(|(_, rank)| rank));
        let is_late_first = self.timely_loads >= TIMELY_LOADS;
        ranked.sort_by_key(|(_, rank)| order.key(rank, is_late_first, now));
        ranked.into_iter().map(|(request, rank)| (request, rank.since)).collect()
    }

    /// Unfulfilled load requests with what decides their order.
    fn ranked_requests(
        &self,
        report: &EngineReport,
        now: Timestamp,
    ) -> Vec<(&LoadRequest, LoadRank)> {
        let load_requests = self.unfulfilled_requests(report).into_iter();
        let ranked = load_requests.map(|(request, since)| {
            let rank = LoadRank {
                is_awaited: request.waiting > 0,
                is_timely: self.is_in_time(request, now),
                priority: request.priority,
                callers: self.waiting_calls(&requested_adapter(request)),
                since,
            };
            (request, rank)
        });
        ranked.collect()
    }

    /// Why the load of an order begins now; `None` for other orders. Valid until the engine's answer is applied.
    pub fn load_turn(&self, verb: &OrderVerb, now: Timestamp) -> Option<LoadTurn> {
        let OrderVerb::LoadAdapter(adapter, _) = verb else { return None };
        let ranked = self.ranked_requests(self.report.as_ref()?, now);
        let order = LoadOrder::of(ranked.iter().map(|(_, rank)| rank));
        let own = ranked.iter().filter(|(request, _)| requested_adapter(request) == *adapter);
        let is_late_first = self.timely_loads >= TIMELY_LOADS;
        let (_, rank) = own.min_by_key(|(_, rank)| order.key(rank, is_late_first, now))?;
        let (class, waited) = (rank.class(now), now.saturating_sub(rank.since));
        Some(LoadTurn { order, rank: *rank, class, waited, requests: ranked.len() })
    }

    /// Load requests that no adapter held or loading fulfils, with the time when each was first seen.
    pub(super) fn unfulfilled_requests(
        &self,
        report: &EngineReport,
    ) -> Vec<(&LoadRequest, Timestamp)> {
        let mut load_requests: Vec<(&LoadRequest, Timestamp)> = Vec::new();
        for state in self.notices.values() {
            for request in &state.notice.load_requests {
                let adapter = requested_adapter(request);
                let is_fulfilled =
                    report.held(&adapter).is_some_and(|version| version >= request.version);
                let is_loading = report.is_loading(&adapter);
                let has_base = report.has_base(&request.base);
                if !is_fulfilled && !state.fulfilled.contains(&adapter) && !is_loading && has_base {
                    let since = state.requested.get(&adapter).copied().unwrap_or(state.received);
                    load_requests.push((request, since));
                }
            }
        }
        load_requests
    }

    /// Number of calls of all routers that wait for an adapter.
    pub(super) fn waiting_calls(&self, adapter: &AdapterId) -> u32 {
        let load_requests = self.notices.values().flat_map(|state| &state.notice.load_requests);
        let own = load_requests
            .filter(|request| request.adapter == adapter.name && request.base == adapter.base);
        own.map(|request| u32::from(request.waiting)).sum()
    }

    /// Whether a waiting call can meet its objective if its adapter is loaded now.
    pub(super) fn is_in_time(&self, request: &LoadRequest, now: Timestamp) -> bool {
        let adapter = requested_adapter(request);
        let load = self.expected_load(&adapter);
        let mut states = self.notices.values();
        states.any(|state| {
            let own =
                state.notice.load_requests.iter().find(|own| requested_adapter(own) == adapter);
            own.is_some_and(|own| {
                own.slack_ms > 0
                    && now + load < state.received + Duration::from_millis(own.slack_ms.into())
            })
        })
    }

    /// The adapter to evict: the one with the fewest calls that run or wait for it, then with the least recent
    /// demand. One with such calls is evicted only for a call that has waited for longer than [`EVICTION_PATIENCE`].
    fn victim(
        &self,
        report: &EngineReport,
        request: &LoadRequest,
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
        let may_evict = in_use == 0 || (request.waiting > 0 && waited > EVICTION_PATIENCE);
        may_evict.then_some(id)
    }
}
