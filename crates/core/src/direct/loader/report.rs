//! The loader's report to routers.

use super::{LoaderMachine, as_millis, requested_adapter};
use crate::{
    direct::{
        call::AdapterId,
        demand::encode_rate,
        membership::BaseHolding,
        messages::{LoadRequest, LoaderReport},
        orders::EngineReport,
    },
    ids::Timestamp,
};
use std::{sync::Arc, time::Duration};

impl LoaderMachine {
    /// Makes the next report; `None` while the engine is not identified or has not reported.
    pub fn make_report(&mut self, now: Timestamp) -> Option<LoaderReport> {
        let incarnation = self.incarnation()?;
        let report = self.report.as_ref()?;
        self.sequence += 1;
        if self.is_answering {
            self.last_confirmed = Some(now);
        }
        let load_requests = self.unfulfilled_requests(report);
        let awaited = load_requests
            .into_iter()
            .map(|(request, _)| request)
            .filter(|request| request.waiting > 0);
        let awaited: Vec<&LoadRequest> = awaited.collect();
        let loading = report.loading.iter();
        let loading = loading.map(|(id, _)| (Arc::clone(&id.base), Arc::clone(&id.name)));
        Some(LoaderReport {
            boot: self.boot,
            sequence: self.sequence,
            incarnation,
            is_answering: self.is_answering,
            is_draining: report.is_draining,
            rates: self.rates(&report.holdings, now),
            free_slots: self.free_slots(report, &awaited, now),
            holdings: report.holdings.clone(),
            loading: loading.collect(),
            load_ms: as_millis(self.load_limiter.expected()),
            queue_ms: as_millis(self.load_queue(&awaited, now)),
            active: report.active,
            queued: report.queued,
            kv_used: report.kv_used,
            prefill_tokens: self.backlog.read(now),
            prefill_rate: self.capacity.prefill_rate(),
            run_ms: self.capacity.run_ms(),
            host_memory: self.memory.fingerprints(|id| report.held(id).is_some()),
        })
    }

    /// Calls per second for an adapter, plus those that wait for it.
    fn rate(&self, adapter: &AdapterId, now: Timestamp) -> f64 {
        let started = self.demand.get(adapter).map_or(0.0, |demand| demand.recent.rate(now));
        started + f64::from(self.waiting_calls(adapter))
    }

    /// Slots that are free or held by unused adapters, minus the loads that wait for a slot.
    fn free_slots(&self, report: &EngineReport, awaited: &[&LoadRequest], now: Timestamp) -> i32 {
        let slots = self.room(report).map_or(0, |room| room.slots());
        let running = self.running();
        let all = report.settled_adapters();
        let idle = all.filter(|id| self.uses(id, &running, now) == 0).count();
        let taken = report.occupied() + awaited.len();
        i32::from((slots + idle) as u16) - i32::from(taken as u16)
    }

    fn rates(&self, holdings: &[BaseHolding], now: Timestamp) -> Vec<u16> {
        let adapters = holdings.iter().flat_map(BaseHolding::adapter_ids);
        adapters.map(|adapter| encode_rate(self.rate(&adapter, now))).collect()
    }

    /// Wait before a load from the weight store can begin for a call that can still meet its objective; such
    /// calls go before late ones.
    fn load_queue(&self, awaited: &[&LoadRequest], now: Timestamp) -> Duration {
        let waiting = awaited.iter().filter(|request| {
            self.is_in_time(request, now) && !self.memory.holds(&requested_adapter(request))
        });
        let before = waiting.count() + self.store_loads();
        let window = self.load_limiter.window();
        // While the window is not full, a load begins at once.
        let rounds = (before + 1).saturating_sub(window) as f64 / window as f64;
        self.load_limiter.expected().mul_f64(rounds)
    }
}
