//! Limits that targets advertise.

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
    /// Takes what an answer says of the requests that its target takes, to a call that was sent at `sent`;
    /// returns whether the target's limit has changed.
    pub fn record_limit(
        &mut self,
        incarnation: &TargetIncarnation,
        stated: AdvertisedLimit,
        sent: Timestamp,
        now: Timestamp,
    ) -> bool {
        self.target_mut(incarnation).is_some_and(|target| target.limit.record(stated, sent, now))
    }

    /// Applies what others know of targets' limits; returns the targets whose limits have changed.
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

    /// Updates of targets' limits to send to others.
    pub fn limit_updates(&self, now: Timestamp) -> Vec<LimitUpdate> {
        let limited = self.targets.values().filter(|target| target.limit.is_reported(now));
        let listed = limited.map(|target| (target.entry.incarnation.stable_hash(), &target.limit));
        let departed = self.departed.iter().map(|(tag, departed)| (*tag, &departed.limit));
        limit_updates(listed.chain(departed), now)
    }

    /// Whether limits of targets are to be kept, or their ends to be sent.
    pub fn has_limit_updates(&self, now: Timestamp) -> bool {
        self.targets.values().any(|target| target.limit.is_reported(now))
    }

    /// A target's limit was found to be used up until then.
    pub fn record_saturation(&mut self, incarnation: &TargetIncarnation, until: Timestamp) {
        if let Some(target) = self.target_mut(incarnation) {
            target.saturated_until = until;
        }
    }

    /// When a target of the service may take calls again, if one is saturated now.
    pub fn limit_retry_after(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let full = self.service_targets(service).filter(|target| target.is_saturated(now));
        full.map(|target| target.saturated_until.saturating_sub(now)).min()
    }
}
