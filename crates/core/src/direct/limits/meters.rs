//! Which meters a router can reach, and which of them serves a limit.

use super::{
    LimitTag,
    messages::{EnrolmentId, MeterTag, meter_tag},
};
use crate::{direct::membership::InstanceId, ids::Timestamp};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Shortest pause between reports without requests to one meter.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Reports without requests that a meter receives a second from all routers together. With hundreds of routers each
/// one reports less often, so that a meter's load on its host stays constant.
const REPORT_RATE: f64 = 200.0;
/// Report intervals without an answer after which a meter counts as unreachable.
const MISSED_REPORTS: f64 = 2.5;
/// Pause before an unanswered report is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(80);
/// Time without an answer after which a meter counts as unreachable. Calls wait meanwhile; a host that has used up
/// its CPU quota is throttled for up to 100 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a meter must answer before it is used again, so that it has reports of all its routers before it
/// grants units.
const STEADY_TIME: Duration = Duration::from_secs(1);
/// Time for which calls wait for a meter's first answer, from the moment when the first meter is known.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause between reports without requests to one meter, in a fleet of `routers`.
pub fn report_pause(routers: usize) -> Duration {
    REPORT_PAUSE.max(Duration::from_secs_f64(routers as f64 / REPORT_RATE))
}

/// Time after its last report for which a router counts as a user of its meter.
pub fn report_ttl(routers: usize) -> Duration {
    report_pause(routers).mul_f64(MISSED_REPORTS)
}

/// The meter that serves a limit among the reachable ones, by rendezvous hashing.
pub fn assigned_meter(tag: LimitTag, reachable: &[MeterTag]) -> Option<MeterTag> {
    let rank = |meter: &MeterTag| (xxh3_64_with_seed(&meter.to_le_bytes(), tag), *meter);
    reachable.iter().copied().max_by_key(rank)
}

/// A router's link to one meter.
#[derive(Debug)]
pub struct MeterLink {
    /// The target whose loader runs the meter.
    pub target: InstanceId,
    /// The meter's tag.
    pub tag: MeterTag,
    /// Enrolment that it assigned to this router; 0 before its first answer.
    pub enrolment: EnrolmentId,
    /// When the last report was sent to it.
    pub last_report: Option<Timestamp>,
    /// When the first report without an answer was sent to it.
    unanswered_since: Option<Timestamp>,
    last_answer: Option<Timestamp>,
    /// Since when it has answered without a gap.
    steady_since: Option<Timestamp>,
    is_reachable: bool,
}

impl MeterLink {
    fn new(target: InstanceId) -> Self {
        Self {
            tag: meter_tag(&target),
            target,
            enrolment: 0,
            last_report: None,
            unanswered_since: None,
            last_answer: None,
            steady_since: None,
            is_reachable: false,
        }
    }

    /// Notes that a report was sent.
    pub fn note_report(&mut self, now: Timestamp) {
        self.last_report = Some(now);
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether a report is due although there is no request.
    pub fn is_due(&self, pause: Duration, now: Timestamp) -> bool {
        // A datagram may be lost: a reachable meter gets several reports before it counts as unreachable.
        let pause =
            if self.unanswered_since.is_some() && self.is_reachable { RETRY_PAUSE } else { pause };
        self.last_report.is_none_or(|at| now.saturating_sub(at) >= pause)
    }

    /// Notes that the meter answered.
    pub fn note_answer(&mut self, now: Timestamp) {
        self.unanswered_since = None;
        self.last_answer = Some(now);
        self.steady_since.get_or_insert(now);
    }

    fn is_answering(&self, routers: usize, now: Timestamp) -> bool {
        let is_overdue =
            self.unanswered_since.is_some_and(|at| now.saturating_sub(at) >= ANSWER_TIMEOUT);
        let ttl = report_ttl(routers);
        !is_overdue && self.last_answer.is_some_and(|at| now.saturating_sub(at) < ttl)
    }
}

/// All meters of the fleet, with their reachability from one router.
#[derive(Debug, Default)]
pub struct MeterTable {
    links: Vec<MeterLink>,
    reachable: Vec<MeterTag>,
    /// When the first meter became known; `None` while there is none.
    known_since: Option<Timestamp>,
}

impl MeterTable {
    /// Sets the targets whose loaders run meters, the central rate limiters that grant units to routers.
    pub fn set_targets(&mut self, targets: Vec<InstanceId>, now: Timestamp) {
        self.known_since = if targets.is_empty() { None } else { self.known_since.or(Some(now)) };
        self.links.retain(|link| targets.contains(&link.target));
        for target in targets {
            if !self.links.iter().any(|link| link.target == target) {
                self.links.push(MeterLink::new(target));
            }
        }
        self.links.sort_unstable_by_key(|link| link.tag);
    }

    /// Recomputes which meters are reachable; returns whether that has changed.
    pub fn refresh(&mut self, routers: usize, now: Timestamp) -> bool {
        let has_none =
            !self.links.iter().any(|link| link.is_reachable && link.is_answering(routers, now));
        for link in &mut self.links {
            if !link.is_answering(routers, now) {
                link.is_reachable = false;
                link.steady_since = None;
                continue;
            }
            let is_steady =
                link.steady_since.is_some_and(|at| now.saturating_sub(at) >= STEADY_TIME);
            // If no meter is reachable, one that has just answered is used at once.
            link.is_reachable |= is_steady || has_none;
        }
        let reachable: Vec<MeterTag> =
            self.links.iter().filter(|link| link.is_reachable).map(|link| link.tag).collect();
        let is_changed = reachable != self.reachable;
        self.reachable = reachable;
        is_changed
    }

    /// Whether no meter is reachable yet, but a first answer may still arrive.
    pub fn is_awaited(&self, now: Timestamp) -> bool {
        let is_new = |since| now.saturating_sub(since) < FIRST_ANSWER_TIMEOUT;
        self.reachable.is_empty() && self.known_since.is_some_and(is_new)
    }

    /// Tags of the reachable meters, sorted.
    pub fn reachable(&self) -> &[MeterTag] {
        &self.reachable
    }

    /// Links to all meters, sorted by tag.
    pub fn links(&self) -> &[MeterLink] {
        &self.links
    }

    /// Mutable link to a meter; `None` if no meter has this tag.
    pub fn link_mut(&mut self, tag: MeterTag) -> Option<&mut MeterLink> {
        self.links.iter_mut().find(|link| link.tag == tag)
    }

    /// The link to a meter; `None` if no meter has this tag.
    pub fn link(&self, tag: MeterTag) -> Option<&MeterLink> {
        self.links.iter().find(|link| link.tag == tag)
    }
}
