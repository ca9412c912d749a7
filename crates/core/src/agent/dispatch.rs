//! What goes to the target next: requests whose adapter is there, loads that have a permit.

use crate::{
    agent::{AgentState, WorkPhase, events::AgentAction},
    ids::Timestamp,
    protocol::WorkItem,
};

/// Load permits that an agent asks for at once.
const PERMIT_LIMIT: usize = 16;

impl AgentState {
    /// Starts what can start and orders the loads that have a permit and a slot.
    pub(super) fn pump(&mut self, now: Timestamp) {
        self.start_ready();
        if !self.leased || !self.target_up {
            return;
        }
        self.order_loads(now);
        self.ask_permits(now);
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
            let Some(record) = self.works.get_mut(&work) else { continue };
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

    fn ask_permits(&mut self, now: Timestamp) {
        let room = self.residents.loadable();
        // More requests than the engine can load at once: only the broker, which sees those of all
        // agents, can tell which of them goes first.
        while self.loads.outstanding() < PERMIT_LIMIT.min(room) {
            let Some((key, urgency)) = self.loads.next_unasked(now) else { return };
            self.loads.ask(&key);
            self.actions.push(AgentAction::AskPermit { key, urgency });
        }
    }
}
