//! Which routers are told of the engine now.
//!
//! A router that asks is answered at once. Nobody else is told anything, but for two pieces of news that
//! cannot wait for a question: an adapter has come for which calls of the router wait, and the engine has
//! become silent, drains or has started again.

use super::LoaderMachine;
use crate::{direct::membership::TargetIncarnation, ids::Timestamp};
use std::{net::SocketAddr, time::Duration};

/// Pause after which a router is told again that an adapter is there for which its calls wait: datagrams
/// are lost at times.
const AWAITED_PAUSE: Duration = Duration::from_millis(50);

/// What all routers with calls or load requests here must know at once when it changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct EngineState {
    incarnation: TargetIncarnation,
    is_answering: bool,
    is_draining: bool,
}

/// What a router was last told of the adapters for which its calls wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct ToldMet {
    at: Timestamp,
    adapters: usize,
}

impl LoaderMachine {
    /// Routers that are due a report, which count as told.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let Some(state) = self.engine_state() else { return Vec::new() };
        let has_changes = self.told_state.as_ref() != Some(&state);
        let due = self.notices.keys().filter(|router| has_changes || self.is_due(router, now));
        let due: Vec<SocketAddr> = due.copied().collect();
        for router in &due {
            let adapters = self.awaited_adapters(router);
            let Some(state) = self.notices.get_mut(router) else { continue };
            state.wants_report = false;
            state.told_met = Some(ToldMet { at: now, adapters });
        }
        self.told_state = Some(state);
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
        let was_told = state.told_met.is_some_and(|told| {
            told.adapters == adapters && now.saturating_sub(told.at) < AWAITED_PAUSE
        });
        state.wants_report || (adapters > 0 && !was_told)
    }

    /// Adapters that are there and for which calls of a router wait, as far as it has told.
    fn awaited_adapters(&self, router: &SocketAddr) -> usize {
        let load_requests =
            self.notices.get(router).into_iter().flat_map(|state| &state.notice.load_requests);
        load_requests.filter(|request| request.waiting > 0 && self.is_met(request)).count()
    }
}
