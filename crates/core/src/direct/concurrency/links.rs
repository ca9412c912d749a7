//! Which loader coordinates a service, as one router sees it.

use super::ServiceTag;
use crate::{
    direct::{limits::messages::meter_tag, membership::InstanceId},
    ids::Timestamp,
};
use std::{cmp::Reverse, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time without an answer after which a coordinator is replaced by the next one. It answers within a few ms; a host
/// that has used up its CPU quota is throttled for up to 100 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of reports to a coordinator that does not answer, to see whether it is back.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Coordinators of a service that a router uses: the first one and those that take over from it.
const MAX_COORDINATORS: usize = 3;

#[derive(Debug)]
struct CoordinatorLink {
    target: InstanceId,
    unanswered_since: Option<Timestamp>,
    is_silent: bool,
    probed: Timestamp,
}

/// The coordinators of one service, the first by rendezvous hashing first.
#[derive(Debug, Default)]
pub(super) struct CoordinatorLinks {
    links: Vec<CoordinatorLink>,
}

impl CoordinatorLinks {
    /// Sets the targets whose loaders may coordinate the service.
    pub(super) fn set_targets(&mut self, service: ServiceTag, targets: &[InstanceId]) {
        let rank = |target: &InstanceId| {
            let tag = meter_tag(target);
            Reverse((xxh3_64_with_seed(&tag.to_le_bytes(), service), tag))
        };
        let mut ordered: Vec<&InstanceId> = targets.iter().collect();
        ordered.sort_unstable_by_key(|target| rank(target));
        ordered.truncate(MAX_COORDINATORS);
        let mut known = std::mem::take(&mut self.links);
        for target in ordered {
            let index = known.iter().position(|link| link.target == *target);
            self.links.push(index.map_or_else(
                || CoordinatorLink {
                    target: target.clone(),
                    unanswered_since: None,
                    is_silent: false,
                    probed: Duration::ZERO,
                },
                |index| known.swap_remove(index),
            ));
        }
    }

    /// The coordinator in use; `None` if all are silent.
    pub(super) fn current(&self) -> Option<&InstanceId> {
        self.links.iter().find(|link| !link.is_silent).map(|link| &link.target)
    }

    /// Marks coordinators that have not answered in time as silent.
    pub(super) fn refresh(&mut self, now: Timestamp) {
        for link in &mut self.links {
            let is_late = |since| now.saturating_sub(since) >= ANSWER_TIMEOUT;
            if !link.is_silent && link.unanswered_since.is_some_and(is_late) {
                (link.is_silent, link.probed) = (true, now);
            }
        }
    }

    /// Notes that a report was sent to the coordinator in use.
    pub(super) fn note_report(&mut self, now: Timestamp) {
        if let Some(link) = self.links.iter_mut().find(|link| !link.is_silent) {
            link.unanswered_since.get_or_insert(now);
        }
    }

    /// Whether the coordinator in use has an unanswered report.
    pub(super) fn is_unanswered(&self) -> bool {
        let link = self.links.iter().find(|link| !link.is_silent);
        link.is_some_and(|link| link.unanswered_since.is_some())
    }

    /// Notes an answer of a loader.
    pub(super) fn note_answer(&mut self, target: &InstanceId) {
        if let Some(link) = self.links.iter_mut().find(|link| link.target == *target) {
            (link.unanswered_since, link.is_silent) = (None, false);
        }
    }

    /// Silent coordinators before the one in use to which a report is due.
    pub(super) fn take_probes(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let silent = self.links.iter_mut().take_while(|link| link.is_silent);
        let due = silent.filter(|link| now.saturating_sub(link.probed) >= PROBE_PAUSE);
        let probes = due.map(|link| {
            link.probed = now;
            link.target.clone()
        });
        probes.collect()
    }
}
