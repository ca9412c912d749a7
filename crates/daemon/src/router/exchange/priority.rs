//! Decisions of a call under contention: whether it can still be served before its deadline, and its urgency.

use super::{
    super::{admission::spread, constants},
    CallExchange,
};
use crate::clock;
use metrics::counter;
use plantain_core::direct::{
    membership::TargetIncarnation,
    timeliness::find_overrun,
    urgency::{UseShare, call_urgency},
};
use std::time::Duration;

impl CallExchange {
    /// Refuses the call if no engine can serve it before its deadline. Returns the caller's retry delay if the call
    /// is refused.
    pub(super) fn refuse_early(
        &mut self,
        waiting_at: Option<&TargetIncarnation>,
    ) -> Option<Duration> {
        let time_left = self.time_left().saturating_sub(constants::SERVE_TIME);
        let overrun = {
            let settings = self.context.settings.borrow();
            let need = self.need(&settings.zone, waiting_at);
            let pool = self.context.pool.borrow();
            find_overrun(&pool, &need, self.priority(), time_left, clock::now())
        }?;
        counter!("plantain_refused_early_total").increment(1);
        self.note(&format!(
            "refused early: its adapter takes {} ms or more at each of {} engines, by reports of up to {} ms ago, \
             and {} ms are left",
            overrun.shortest.as_millis(),
            overrun.engines,
            overrun.oldest.as_millis(),
            overrun.time_left.as_millis(),
        ));
        Some(spread(overrun.excess().max(constants::RETURN_PAUSE)))
    }

    /// Urgency with which an engine admits the call. Where several customers are configured, it also depends on what
    /// the call's customer used lately.
    pub(super) fn urgency(&mut self) -> u8 {
        let priority = self.priority();
        let customers = self.context.pool.borrow().config().customers.rules().len();
        if self.head.model.is_none() || customers < 2 {
            return call_urgency(priority, None);
        }
        let share = self.count_use();
        let steps = share.as_ref().map_or(0, UseShare::steps);
        let urgency = call_urgency(priority, Some(steps));
        if let Some(share) = share.filter(|_| steps > 0) {
            counter!("plantain_urgency_lowered_total", "steps" => steps.to_string()).increment(1);
            self.note(&format!(
                "urgency {urgency}: its customer used {} of {} tokens here in 2 s, its fair share is {:.3}",
                share.used, share.total, share.fair
            ));
        }
        urgency
    }

    /// Returns the customer's use before this call, if several customers have calls of the service, and counts the
    /// call's tokens when it is sent for the first time. A single long prompt of a customer that otherwise uses little
    /// thus does not lower its own urgency.
    fn count_use(&self) -> Option<UseShare> {
        let (customer, model) = (self.customer.as_ref()?, self.head.model.as_ref()?);
        let now = clock::now();
        let mut customer_use = self.context.customer_use.borrow_mut();
        let share = customer_use.share(&self.service, customer, now);
        if self.record.sends == 0 {
            let tokens = model.tokens_in.saturating_add(model.tokens_out);
            customer_use.record(&self.service, customer, tokens, now);
        }
        share
    }
}
