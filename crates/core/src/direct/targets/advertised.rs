//! What targets advertise of themselves, also after they have left the list.

use super::{
    super::{advertised_state::AdvertisedState, membership::TargetIncarnation},
    TargetPool,
};
use crate::ids::Timestamp;
use std::time::Duration;

impl TargetPool {
    /// A target's answer says that it drains; returns whether that is new.
    pub fn record_draining(&mut self, incarnation: &TargetIncarnation, now: Timestamp) -> bool {
        self.update_advertised(incarnation, |advertised| advertised.record_draining(now))
    }

    /// A target's answer asks for no requests for `backoff`; returns whether the target was not backing off
    /// before.
    pub fn record_backoff(
        &mut self,
        incarnation: &TargetIncarnation,
        backoff: Duration,
        now: Timestamp,
    ) -> bool {
        self.update_advertised(incarnation, |advertised| advertised.record_backoff(backoff, now))
    }

    /// When a target of the service may take requests again, if all that are left have asked for none.
    pub fn backoff_left(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let alive = self.service_targets(service).filter(|target| {
            !target.is_draining() && !target.has_ended() && !target.is_unresponsive(now)
        });
        let first = alive.map(|target| target.advertised.backoff_until).min()?;
        Some(first.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// An answer may come after its target's entry has lapsed.
    fn update_advertised(
        &mut self,
        incarnation: &TargetIncarnation,
        change: impl FnOnce(&mut AdvertisedState) -> bool,
    ) -> bool {
        if let Some(target) = self.target_mut(incarnation) {
            return change(&mut target.advertised);
        }
        let departed = self.departed.entry(incarnation.stable_hash()).or_default();
        let is_news = change(&mut departed.advertised);
        self.bound_departed();
        is_news
    }
}
