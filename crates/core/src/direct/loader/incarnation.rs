//! Restarts of the engine, under another id or the same one.

use super::{
    super::{
        backlog::PrefillBacklog,
        membership::{InstanceId, TargetIncarnation},
        orders::EngineReport,
        target::SUFFICIENT_TTL,
    },
    HostMemory, LoaderMachine,
};
use std::time::Duration;

/// Longest time that a report takes to a router.
const TRANSIT_TIME: Duration = Duration::from_millis(100);

impl LoaderMachine {
    /// The engine's incarnation; `None` until the engine was identified and has reported.
    pub fn incarnation(&self) -> Option<TargetIncarnation> {
        let id = self.instance.clone()?;
        Some(TargetIncarnation { id, started: self.report.as_ref()?.started })
    }

    /// Applies the id with which the engine answered. If it is a new one, the last report no longer applies.
    pub fn take_instance(&mut self, instance: InstanceId) {
        if self.instance.as_ref() != Some(&instance) {
            self.report = None;
            self.capacity.begin_incarnation();
            self.next_poll = Duration::ZERO;
        }
        self.instance = Some(instance);
    }

    /// Drops the state of the earlier incarnation. Load requests that it fulfilled count as open again, as the new
    /// incarnation holds no adapters.
    pub(super) fn begin_incarnation(&mut self, reports_start: bool) {
        self.instance = None;
        self.lost.begin_incarnation();
        self.loading.clear();
        self.backlog = PrefillBacklog::default();
        self.capacity.begin_incarnation();
        self.memory = HostMemory::default();
        for state in self.notices.values_mut() {
            state.fulfilled.clear();
        }
        if let Some(confirmed) = self.last_confirmed.take().filter(|_| reports_start) {
            // Routers that go by a report of the earlier incarnation would take a run of this one for its run.
            self.not_before = self.not_before.max(confirmed + SUFFICIENT_TTL + TRANSIT_TIME);
        }
    }
}

/// Whether the engine has restarted between two reports: its start time differs, or its order count has
/// fallen, which never happens within an incarnation.
pub(super) fn is_later_incarnation(known: &EngineReport, report: &EngineReport) -> bool {
    let is_other_start = match (known.started, report.started) {
        (Some(known), Some(started)) => known != started,
        _ => false,
    };
    is_other_start || report.order_count < known.order_count
}
