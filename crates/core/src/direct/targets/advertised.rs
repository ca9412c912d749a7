//! Draining and backoff as targets advertise them, also after their entries were removed from the list.

use super::{
    super::{advertised_state::AdvertisedState, membership::TargetIncarnation},
    TargetPool,
};
use crate::ids::Timestamp;
use std::time::Duration;

impl TargetPool {
    /// Records that a target's answer advertises draining; returns whether that is new.
    pub fn record_draining(&mut self, incarnation: &TargetIncarnation, now: Timestamp) -> bool {
        self.update_advertised(incarnation, |advertised| advertised.record_draining(now))
    }

    /// Records that a target's answer requests a backoff; returns whether the target was not backing off before.
    pub fn record_backoff(
        &mut self,
        incarnation: &TargetIncarnation,
        backoff: Duration,
        now: Timestamp,
    ) -> bool {
        self.update_advertised(incarnation, |advertised| advertised.record_backoff(backoff, now))
    }

    /// Time until the first target of the service ends its backoff; `None` if a live one accepts requests now, or
    /// none is live.
    pub fn backoff_left(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let alive = self.service_targets(service).filter(|target| {
            !target.is_draining() && !target.has_ended() && !target.is_unresponsive(now)
        });
        let first = alive.map(|target| target.advertised.backoff_until).min()?;
        Some(first.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// Updates a target, or its record after its entry was removed: an answer may arrive later than that.
    fn update_advertised(
        &mut self,
        incarnation: &TargetIncarnation,
        change: impl FnOnce(&mut AdvertisedState) -> bool,
    ) -> bool {
        if let Some(target) = self.target_mut(incarnation) {
            return change(&mut target.advertised);
        }
        let departed = self.departed.entry(incarnation.stable_hash()).or_default();
        let is_new = change(&mut departed.advertised);
        self.bound_departed();
        is_new
    }
}
