//! Whether a call may be sent at all, by the verdicts on requests and prompt parts that crash targets.

use super::{super::crashes::suspects_text, CallExchange, constants};
use crate::clock;
use metrics::counter;

impl CallExchange {
    /// Waits until a router that has just started has read the crashes that the others recorded, at most
    /// [`constants::VERDICT_WAIT`] and half of the call's time.
    pub(crate) async fn await_verdicts(&self) {
        let deadline = clock::now() + constants::VERDICT_WAIT.min(self.time_left() / 2);
        let context = &self.context;
        context.poll_while_starting(deadline, || context.routers_mut().is_listed()).await;
    }

    /// Whether the call is quarantined because too many targets ended under it or a part of its prompt.
    pub(super) fn is_quarantined(&mut self) -> bool {
        let Some(verdict) = self.context.crashes.refuse_for(&self.suspects) else {
            return false;
        };
        counter!("plantain_calls_held_total").increment(1);
        let (crashes, suspects) = (verdict.crashes, suspects_text(&verdict.suspects));
        self.note(&format!("held back: {crashes} targets have ended under {suspects}"));
        true
    }
}
