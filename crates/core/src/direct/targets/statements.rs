//! What targets state of themselves, also after they have left the list.

use super::{
    super::{membership::TargetIncarnation, target_statement::TargetStatement},
    TargetPool,
};
use crate::ids::Timestamp;
use std::time::Duration;

impl TargetPool {
    /// A target's answer says that it leaves; returns whether that is news.
    pub fn record_leaving(&mut self, incarnation: &TargetIncarnation, now: Timestamp) -> bool {
        self.change_statement(incarnation, |statement| statement.record_leaving(now))
    }

    /// A target's answer asks for no requests for `rest`; returns whether the target was not at rest before.
    pub fn record_rest(
        &mut self,
        incarnation: &TargetIncarnation,
        rest: Duration,
        now: Timestamp,
    ) -> bool {
        self.change_statement(incarnation, |statement| statement.record_rest(rest, now))
    }

    /// When a target of the service may take requests again, if all that are left have asked for none.
    pub fn rest_left(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let alive = self
            .service_targets(service)
            .filter(|target| !target.is_leaving() && !target.has_ended() && !target.is_dark(now));
        let first = alive.map(|target| target.statement.rest_until).min()?;
        Some(first.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// An answer may come after its target's entry has lapsed.
    fn change_statement(
        &mut self,
        incarnation: &TargetIncarnation,
        change: impl FnOnce(&mut TargetStatement) -> bool,
    ) -> bool {
        if let Some(target) = self.target_mut(incarnation) {
            return change(&mut target.statement);
        }
        let departed = self.departed.entry(incarnation.incarnation_hash()).or_default();
        let is_news = change(&mut departed.statement);
        self.bound_departed();
        is_news
    }
}
