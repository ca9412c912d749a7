//! Calls of an overloaded plain service: a share of them is refused at once.

use super::{super::constants, CallExchange};
use crate::clock;
use plantain_core::direct::{load_shedding::shed_share, selection::queued_plain_ms};
use std::time::Duration;

/// Retry delay for the caller of a call that an overloaded plain service cannot serve.
pub(super) fn shed_pause() -> Duration {
    constants::SHED_PAUSE.mul_f64(0.25 + 0.75 * rand::random::<f64>())
}

impl CallExchange {
    /// Sheds the call with a probability that grows with the overload of its plain service. Returns the caller's retry
    /// delay if the call is shed.
    pub(super) fn shed(&mut self) -> Option<Duration> {
        let expected = self.queued_plain_ms()?;
        if rand::random::<f64>() >= shed_share(expected, self.route.objective) {
            return None;
        }
        self.note(&format!("turned away: an answer is expected to take {expected:.0} ms"));
        Some(shed_pause())
    }

    /// Expected time to an answer of a plain service with queued calls, in milliseconds; `None` for engines.
    fn queued_plain_ms(&self) -> Option<f64> {
        if self.head.model.is_some() {
            return None;
        }
        let settings = self.context.settings.borrow();
        let need = self.need(&settings.zone, None);
        Some(queued_plain_ms(&self.context.pool.borrow(), &need, clock::now()))
    }

    /// Whether a plain service is close to overload. Retries of failed runs, most of which fail again, would then
    /// take slots from calls that have not run at all.
    pub(super) fn is_overloaded(&self) -> bool {
        let expected = self.queued_plain_ms();
        expected.is_some_and(|expected| shed_share(expected, self.route.objective) > 0.0)
    }
}
