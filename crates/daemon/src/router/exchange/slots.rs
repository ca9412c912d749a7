//! Slots of plain services: a call takes one at a target before it is sent there.

use super::{
    super::{constants, slots::SlotGuard},
    CallExchange,
    shedding::shed_pause,
};
use crate::clock;
use metrics::counter;
use plantain_core::direct::{
    concurrency::account::{SlotCall, SlotDecision},
    membership::TargetIncarnation,
    selection::{TargetChoice, choose_target},
};
use std::time::Duration;

/// Targets, the cheapest first, of which a call takes the first one with a free slot.
const MAX_CANDIDATES: usize = 16;

impl CallExchange {
    /// Whether a coordinator divides the slots of the call's service. Calls are then not shed by latency.
    pub(super) fn needs_slot(&self) -> bool {
        self.head.model.is_none() && self.context.slots.is_managed(&self.service)
    }

    /// Takes a slot for a call of a plain service, at `best` or at the cheapest other target with a free one; waits if
    /// there is none. `None` if the target no longer takes calls; the error is the retry delay for the caller.
    ///
    /// If no coordinator answers, the call goes to `best`, or is shed by latency if it had waited for a slot.
    pub(super) async fn take_slot(
        &mut self,
        best: TargetIncarnation,
    ) -> Result<Option<(TargetIncarnation, Option<SlotGuard>)>, Duration> {
        if self.head.model.is_some() {
            return Ok(Some((best, None)));
        }
        let was_managed = self.needs_slot();
        let candidates = if was_managed { self.candidates(best) } else { vec![best] };
        let began = clock::now();
        let call = SlotCall {
            targets: candidates.iter().map(TargetIncarnation::stable_hash).collect(),
            priority: self.priority(),
            began: self.started,
            objective: self.slot_objective(),
            deadline: self.end().saturating_sub(constants::SERVE_TIME),
        };
        let (decision, slot) = self.context.slots.acquire(&self.service, call).await;
        let waited = clock::now().saturating_sub(began);
        let view = self.context.slots.view(&self.service);
        let age = view.age.unwrap_or_default().as_millis();
        let state = format!(
            "{} waiting, {} of {} slots used, granted {age} ms ago",
            view.waiting, view.in_use, view.allowed
        );
        if decision != SlotDecision::Unmanaged && waited >= Duration::from_millis(1) {
            self.note(&format!("waited {} ms for a slot: {state}", waited.as_millis()));
        }
        match decision {
            SlotDecision::Start(tag) => {
                let mut chosen = candidates.into_iter();
                let chosen = chosen.find(|candidate| candidate.stable_hash() == tag);
                Ok(chosen.filter(|chosen| self.context.is_open(chosen)).map(|it| (it, slot)))
            }
            SlotDecision::Refused { expected } => {
                counter!("plantain_slot_refusals_total").increment(1);
                self.note(&format!("no slot in time, wait {} ms: {state}", expected.as_millis()));
                Err(shed_pause())
            }
            SlotDecision::Unmanaged => {
                // Shedding was already decided, before the choice of a target, if no coordinator answered then.
                if was_managed && let Some(pause) = self.shed() {
                    return Err(pause);
                }
                Ok(candidates.into_iter().next().map(|first| (first, slot)))
            }
        }
    }

    /// Objective for the start of the next send, from the call's arrival. A repeat may wait as long as a new call.
    fn slot_objective(&self) -> Duration {
        let past = if self.record.sends > 0 { self.age() } else { Duration::ZERO };
        past + self.route.objective
    }

    /// Targets that can take the call, the cheapest first.
    fn candidates(&self, best: TargetIncarnation) -> Vec<TargetIncarnation> {
        let settings = self.context.settings.borrow();
        let pool = self.context.pool.borrow();
        let mut candidates = vec![best];
        let mut excluded = self.excluded.clone();
        while candidates.len() < MAX_CANDIDATES {
            excluded.extend(candidates.last().cloned());
            let mut need = self.need(&settings.zone, None);
            need.excluded = &excluded;
            match choose_target(&pool, &need, clock::now(), rand::random::<f64>) {
                TargetChoice::Send(next, _) => candidates.push(next),
                _ => break,
            }
        }
        candidates
    }
}
