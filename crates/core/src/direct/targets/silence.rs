//! Requests for signs of life of loaders and engines, and hosts from which none came.

use super::{super::membership::TargetIncarnation, TargetPool};
use crate::ids::Timestamp;
use std::{net::SocketAddr, time::Duration};

/// Pause between direct probes of a target whose host is silent.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

impl TargetPool {
    /// Requests a report of a target's loader; returns whether no request was pending.
    pub fn request_report(&mut self, incarnation: &TargetIncarnation, now: Timestamp) -> bool {
        self.target_mut(incarnation).is_some_and(|target| target.request_report(now))
    }

    /// Whether a target's loader has become silent; true only once for each pending report.
    pub fn note_silence(&mut self, incarnation: &TargetIncarnation, now: Timestamp) -> bool {
        self.target_mut(incarnation).is_some_and(|target| target.note_silence(now))
    }

    /// Notes that bytes of a target arrived, of an answer or otherwise.
    pub fn note_heard(&mut self, incarnation: &TargetIncarnation, now: Timestamp) {
        if let Some(target) = self.target_mut(incarnation) {
            target.note_heard(now);
        }
    }

    /// Requests a report of an engine's loader if neither has been heard from for `limit`; returns whether it is to be
    /// sent.
    pub fn request_report_if_unheard(
        &mut self,
        incarnation: &TargetIncarnation,
        limit: Duration,
        now: Timestamp,
    ) -> bool {
        let is_due = self.target(incarnation).is_some_and(|target| {
            self.engine_of(target).is_some() && target.unheard_time(now) >= limit
        });
        is_due && self.request_report(incarnation, now)
    }

    /// Targets whose hosts are silent and that are due a direct probe, with their addresses; they count as probed.
    pub fn take_due_probes(&mut self, now: Timestamp) -> Vec<(TargetIncarnation, SocketAddr)> {
        let due = self.targets.values_mut().filter(|target| {
            target.is_host_silent(now)
                && !target.has_ended()
                && now.saturating_sub(target.probed) >= PROBE_PAUSE
        });
        let probes = due.map(|target| {
            target.probed = now;
            (target.entry.incarnation.clone(), target.entry.address)
        });
        probes.collect()
    }
}
