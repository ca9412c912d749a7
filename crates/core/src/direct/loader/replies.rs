//! Which routers are sent a report now.
//!
//! A router that requests a report gets it at once. Other routers get one only on two changes that cannot wait for a
//! request: an adapter that the router's calls wait for has been loaded, or the engine has become unresponsive, begun
//! to drain, or restarted.

use super::LoaderMachine;
use crate::{direct::membership::TargetIncarnation, ids::Timestamp};
use std::{net::SocketAddr, time::Duration};

/// Interval of repeated reports to a router whose calls wait for an adapter that is loaded: datagrams may be lost.
const AWAITED_PAUSE: Duration = Duration::from_millis(50);

/// The engine's state; every change is reported at once to all routers that sent notices.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct EngineState {
    incarnation: TargetIncarnation,
    is_answering: bool,
    is_draining: bool,
}

/// The last report to a router about adapters that its calls wait for.
#[derive(Clone, Copy, Debug)]
pub(super) struct AwaitedReport {
    at: Timestamp,
    adapters: usize,
}

impl LoaderMachine {
    /// Returns the routers that are due a report, and records the report as sent.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let Some(state) = self.engine_state() else { return Vec::new() };
        let has_changes = self.reported_state.as_ref() != Some(&state);
        let due = self.notices.keys().filter(|router| has_changes || self.is_due(router, now));
        let due: Vec<SocketAddr> = due.copied().collect();
        for router in &due {
            let adapters = self.awaited_adapters(router);
            let Some(state) = self.notices.get_mut(router) else { continue };
            state.wants_report = false;
            state.last_awaited = Some(AwaitedReport { at: now, adapters });
        }
        self.reported_state = Some(state);
        due
    }

    fn engine_state(&self) -> Option<EngineState> {
        let is_draining = self.report.as_ref()?.is_draining;
        Some(EngineState {
            incarnation: self.incarnation()?,
            is_answering: self.is_answering,
            is_draining,
        })
    }

    fn is_due(&self, router: &SocketAddr, now: Timestamp) -> bool {
        let Some(state) = self.notices.get(router) else { return false };
        let adapters = self.awaited_adapters(router);
        let was_reported = state.last_awaited.is_some_and(|last| {
            last.adapters == adapters && now.saturating_sub(last.at) < AWAITED_PAUSE
        });
        state.wants_report || (adapters > 0 && !was_reported)
    }

    /// Number of loaded adapters that a router's calls wait for, by its last notice.
    fn awaited_adapters(&self, router: &SocketAddr) -> usize {
        let load_requests =
            self.notices.get(router).into_iter().flat_map(|state| &state.notice.load_requests);
        load_requests.filter(|request| request.waiting > 0 && self.is_fulfilled(request)).count()
    }
}
