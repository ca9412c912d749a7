//! Capacity of engines as one router knows it, and the router's own measurements for their loaders.

use super::TargetPool;
use crate::{
    direct::{
        call::AdapterId,
        capacity::{EngineCapacity, ServiceCapacity},
        membership::TargetIncarnation,
        target::TargetState,
    },
    ids::{ServiceName, Timestamp},
};
use std::{sync::Arc, time::Duration};

impl TargetPool {
    /// Capacity of an engine. Where the engines of its service do not differ, or no capacity is known, it is the same
    /// for all of them.
    pub fn capacity(&self, target: &TargetState, now: Timestamp) -> EngineCapacity {
        let usual = EngineCapacity::usual(self.wait_estimates.run_ms());
        match self.capacities.get(&target.entry.service) {
            Some(service) => service.engine_capacity(&target.capacity, usual, now),
            None => usual,
        }
    }

    /// Whether the engines of a service differ so much that their capacities count.
    pub fn uses_capacity(&self, service: &str) -> bool {
        self.capacities.get(service).is_some_and(ServiceCapacity::is_in_effect)
    }

    /// Records that the first byte of a call's answer arrived `time` after the call was sent, so that its prompt is
    /// prefilled.
    pub fn call_answered(
        &mut self,
        incarnation: &TargetIncarnation,
        adapter: Option<&AdapterId>,
        tokens: u32,
        time: Duration,
    ) {
        let Some(target) = self.target_mut(incarnation) else { return };
        target.prefill_tokens = target.prefill_tokens.saturating_sub(tokens);
        target.samples.record_answer(tokens, time);
        if adapter.is_some() {
            // Only calls for adapters are reported to the loader as started.
            target.samples.record_answered_tokens(tokens);
        }
    }

    /// Records that a call's answer ended `time` after the call was sent.
    pub fn run_ended(&mut self, incarnation: &TargetIncarnation, time: Duration) {
        if self.target(incarnation).is_none_or(|target| self.engine_of(target).is_none()) {
            return;
        }
        self.wait_estimates.record_run(time);
        if let Some(target) = self.target_mut(incarnation) {
            target.samples.record_run(time);
        }
    }

    /// Compares the known capacities of a service's engines again.
    pub(super) fn update_capacity(&mut self, service: &ServiceName, now: Timestamp) {
        let alive = self.service_targets(service).filter(|target| !target.has_ended());
        let capacity = ServiceCapacity::new(alive.map(|target| &target.capacity), now);
        self.capacities.insert(Arc::clone(service), capacity);
    }

    /// Compares the known capacities of all services again, as targets leave and values expire.
    pub(super) fn update_capacities(&mut self, now: Timestamp) {
        self.capacities.retain(|service, _| self.by_service.contains_key(service));
        let services: Vec<ServiceName> = self.capacities.keys().cloned().collect();
        for service in services {
            self.update_capacity(&service, now);
        }
    }
}
