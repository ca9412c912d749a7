//! Dispatch to the target: requests whose adapter is resident, and loads that have a permit.

use crate::{
    agent::{AgentState, WorkPhase, events::AgentAction},
    ids::Timestamp,
    protocol::WorkItem,
};

/// Load permits that an agent may request or hold at the same time.
const PERMIT_LIMIT: usize = 16;

impl AgentState {
    /// Starts the requests that can run, orders the loads that have a permit and a slot, and requests
    /// further permits.
    pub(super) fn dispatch_work(&mut self, now: Timestamp) {
        self.start_ready();
        if !self.leased || !self.target_up {
            return;
        }
        self.order_loads(now);
        self.request_permits(now);
    }

    fn start_ready(&mut self) {
        if !self.target_up {
            return;
        }
        while self.running < self.options.batch_limit {
            let residents = &self.residents;
            let next = self.queue.pop(|item| match item {
                WorkItem::Completion { key, .. } => residents.is_ready(key),
                WorkItem::Service { .. } => true,
            });
            let Some(work) = next else { return };
            let Some(record) = self.requests.get_mut(&work) else { continue };
            record.phase = WorkPhase::Running;
            self.running += 1;
            let load_stall = record.stall.unwrap_or_default();
            self.actions.push(AgentAction::Start { work, load_stall });
        }
    }

    fn order_loads(&mut self, now: Timestamp) {
        while self.loads.started() < self.options.load_limit
            && let Some(key) = self.loads.next_permitted()
        {
            if self.residents.take_slot(&key, now) {
                self.loads.start(&key, now);
                self.actions.push(AgentAction::Load { key });
                continue;
            }
            if self.residents.is_evicting() {
                return;
            }
            let Some(victim) = self.residents.begin_evict(now) else { return };
            self.actions.push(AgentAction::Evict { key: victim });
            return;
        }
    }

    fn request_permits(&mut self, now: Timestamp) {
        let loadable = self.residents.loadable();
        // Requests more permits than the engine can load at once, because only the broker, which sees
        // the requests of all agents, can order them by urgency.
        while self.loads.outstanding() < PERMIT_LIMIT.min(loadable) {
            let Some((key, urgency)) = self.loads.next_unrequested(now) else { return };
            self.loads.mark_requested(&key);
            self.actions.push(AgentAction::AskPermit { key, urgency });
        }
    }
}
