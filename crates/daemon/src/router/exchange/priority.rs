//! Decisions of a call under contention: whether it can still be served before its deadline.

use super::{
    super::{admission::spread, constants},
    CallExchange,
};
use crate::clock;
use metrics::counter;
use plantain_core::direct::{membership::TargetIncarnation, timeliness::find_overrun};
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
}
