//! Rate limits that targets advertise.

use super::{
    super::{
        limits::LimitTag,
        membership::TargetIncarnation,
        target_limit::{AdvertisedLimit, LimitUpdate, limit_updates},
    },
    TargetPool,
};
use crate::ids::Timestamp;
use std::{collections::HashMap, time::Duration};

impl TargetPool {
    /// Records the limit that the answer to a call sent at `sent` advertises; returns whether the target's limit has
    /// changed.
    pub fn record_limit(
        &mut self,
        incarnation: &TargetIncarnation,
        advertised: AdvertisedLimit,
        sent: Timestamp,
        now: Timestamp,
    ) -> bool {
        self.target_mut(incarnation)
            .is_some_and(|target| target.limit.record(advertised, sent, now))
    }

    /// Applies updates of targets' limits from other processes; returns the targets whose limits have changed.
    pub fn apply_limit_updates(
        &mut self,
        updates: &[LimitUpdate],
        now: Timestamp,
    ) -> Vec<TargetIncarnation> {
        if updates.is_empty() {
            return Vec::new();
        }
        let by_tag: HashMap<LimitTag, &LimitUpdate> =
            updates.iter().map(|update| (update.tag, update)).collect();
        let mut changed = Vec::new();
        for target in self.targets.values_mut() {
            let Some(found) = by_tag.get(&target.entry.incarnation.stable_hash()) else { continue };
            if target.limit.apply_update(found, now) {
                changed.push(target.entry.incarnation.clone());
            }
        }
        for (tag, departed) in &mut self.departed {
            if let Some(update) = by_tag.get(tag) {
                departed.limit.apply_update(update, now);
            }
        }
        changed
    }

    /// Updates of targets' limits to send to other processes.
    pub fn limit_updates(&self, now: Timestamp) -> Vec<LimitUpdate> {
        let limited = self.targets.values().filter(|target| target.limit.is_reported(now));
        let listed = limited.map(|target| (target.entry.incarnation.stable_hash(), &target.limit));
        let departed = self.departed.iter().map(|(tag, departed)| (*tag, &departed.limit));
        limit_updates(listed.chain(departed), now)
    }

    /// Whether any listed target has a limit, or had one whose end is still sent to other processes.
    pub fn has_limit_updates(&self, now: Timestamp) -> bool {
        self.targets.values().any(|target| target.limit.is_reported(now))
    }

    /// Records that a target's limit is used up until `until`.
    pub fn record_saturation(&mut self, incarnation: &TargetIncarnation, until: Timestamp) {
        if let Some(target) = self.target_mut(incarnation) {
            target.saturated_until = until;
        }
    }

    /// Time until the first saturated target of the service admits calls again; `None` if none is saturated.
    pub fn limit_retry_after(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let saturated = self.service_targets(service).filter(|target| target.is_saturated(now));
        saturated.map(|target| target.saturated_until.saturating_sub(now)).min()
    }
}
