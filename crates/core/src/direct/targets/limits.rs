//! Limits that targets state, also of those that have left the list.

use super::{
    super::{
        limits::LimitTag,
        membership::TargetLife,
        target::TargetState,
        target_limit::{LimitNews, StatedLimit, limit_news},
    },
    TargetPool,
};
use crate::ids::Timestamp;
use std::{collections::HashMap, time::Duration};

/// Targets that have left the list whose limits are kept.
const DEPARTED_LIMIT: usize = 256;

impl TargetPool {
    /// Takes what an answer says of the requests that its target takes, to a call that was sent at `sent`;
    /// returns whether the target's limit has changed.
    pub fn record_limit(
        &mut self,
        life: &TargetLife,
        stated: StatedLimit,
        sent: Timestamp,
        now: Timestamp,
    ) -> bool {
        self.target_mut(life).is_some_and(|target| target.limit.record(stated, sent, now))
    }

    /// Takes what others know of targets' limits; returns the targets whose limits have changed.
    pub fn take_limit_news(&mut self, news: &[LimitNews], now: Timestamp) -> Vec<TargetLife> {
        if news.is_empty() {
            return Vec::new();
        }
        let by_tag: HashMap<LimitTag, &LimitNews> =
            news.iter().map(|news| (news.tag, news)).collect();
        let mut changed = Vec::new();
        for target in self.targets.values_mut() {
            let Some(news) = by_tag.get(&target.entry.life.life_hash()) else { continue };
            if target.limit.take_news(news, now) {
                changed.push(target.entry.life.clone());
            }
        }
        for (tag, limit) in &mut self.departed_limits {
            if let Some(news) = by_tag.get(tag) {
                limit.take_news(news, now);
            }
        }
        changed
    }

    /// What to tell others of targets' limits.
    pub fn limit_news(&self, now: Timestamp) -> Vec<LimitNews> {
        let limited = self.targets.values().filter(|target| target.limit.is_news(now));
        let listed = limited.map(|target| (target.entry.life.life_hash(), &target.limit));
        let departed = self.departed_limits.iter().map(|(tag, limit)| (*tag, limit));
        limit_news(listed.chain(departed), now)
    }

    /// Whether limits of targets are to be kept, or their ends to be told.
    pub fn has_limit_news(&self, now: Timestamp) -> bool {
        self.targets.values().any(|target| target.limit.is_news(now))
    }

    /// A target's limit was found to have no room until then.
    pub fn note_full(&mut self, life: &TargetLife, until: Timestamp) {
        if let Some(target) = self.target_mut(life) {
            target.full_until = until;
        }
    }

    /// When a target of the service may have room again, if the limit of one has none now.
    pub fn room_in(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let full = self.service_targets(service).filter(|target| target.is_full(now));
        full.map(|target| target.full_until.saturating_sub(now)).min()
    }

    /// Keeps the limits of targets that have left the list.
    pub(super) fn keep_departed_limits(&mut self, departed: impl Iterator<Item = TargetState>) {
        let limited = departed.filter(TargetState::is_limited);
        self.departed_limits
            .extend(limited.map(|target| (target.entry.life.life_hash(), target.limit)));
        while self.departed_limits.len() > DEPARTED_LIMIT {
            let oldest = self.departed_limits.iter().min_by_key(|(_, limit)| limit.as_of);
            let Some(tag) = oldest.map(|(tag, _)| *tag) else { break };
            self.departed_limits.remove(&tag);
        }
    }
}
