//! Which meters a router can reach, and which of them keeps a limit.

use super::{
    LimitTag,
    messages::{EnrolmentId, MeterTag, meter_tag},
};
use crate::{direct::membership::InstanceId, ids::Timestamp};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Shortest pause between reports to a meter from which nothing is wanted.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Reports a second that a meter hears of all routers together, beyond those that want something: with
/// hundreds of routers each one reports less often, so that a meter's part of its host stays the same.
const REPORT_RATE: f64 = 200.0;
/// Reports without an answer after which a meter is taken to be out of reach.
const LOST_REPORTS: f64 = 2.5;
/// Pause before a report without an answer is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(80);
/// Time without an answer after which a meter is taken to be out of reach. Calls wait meanwhile; a host whose
/// processor share is used up stands still for up to 100 ms.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// Time for which a meter must answer before it is used again, so that it has heard of all routers that
/// use it before it grants anything.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Time for a first answer once meters are known.
const FIRST_ANSWER_TIME: Duration = Duration::from_millis(400);

/// Pause between reports to a meter from which nothing is wanted, with so many routers.
pub fn report_pause(routers: usize) -> Duration {
    REPORT_PAUSE.max(Duration::from_secs_f64(routers as f64 / REPORT_RATE))
}

/// Time for which a router that has reported is taken to use its meter.
pub fn report_ttl(routers: usize) -> Duration {
    report_pause(routers).mul_f64(LOST_REPORTS)
}

/// The meter that keeps a limit among those that can be reached.
pub fn first_meter(tag: LimitTag, reachable: &[MeterTag]) -> Option<MeterTag> {
    let weight = |meter: &MeterTag| (xxh3_64_with_seed(&meter.to_le_bytes(), tag), *meter);
    reachable.iter().copied().max_by_key(weight)
}

/// One meter as a router sees it.
#[derive(Debug)]
pub struct MeterLink {
    /// The target beside which it stands.
    pub target: InstanceId,
    /// Its hash.
    pub tag: MeterTag,
    /// The number that it gave this router; 0 before it did.
    pub enrolment: EnrolmentId,
    /// When it was last told something.
    pub reported: Option<Timestamp>,
    /// Since when it owes an answer.
    asked: Option<Timestamp>,
    answered: Option<Timestamp>,
    /// Since when it answers without a gap.
    steady: Option<Timestamp>,
    is_reachable: bool,
}

impl MeterLink {
    fn new(target: InstanceId) -> Self {
        Self {
            tag: meter_tag(&target),
            target,
            enrolment: 0,
            reported: None,
            asked: None,
            answered: None,
            steady: None,
            is_reachable: false,
        }
    }

    /// A report went out.
    pub fn note_report(&mut self, now: Timestamp) {
        self.reported = Some(now);
        self.asked.get_or_insert(now);
    }

    /// Whether it is to be told something although nothing is wanted of it.
    pub fn is_due(&self, pause: Duration, now: Timestamp) -> bool {
        // Datagrams are lost at times; only a meter that is silent to several is given up.
        let pause = if self.asked.is_some() && self.is_reachable { REPEAT_PAUSE } else { pause };
        self.reported.is_none_or(|at| now.saturating_sub(at) >= pause)
    }

    /// It answered.
    pub fn note_answer(&mut self, now: Timestamp) {
        self.asked = None;
        self.answered = Some(now);
        self.steady.get_or_insert(now);
    }

    fn is_answering(&self, routers: usize, now: Timestamp) -> bool {
        let is_overdue = self.asked.is_some_and(|at| now.saturating_sub(at) >= ANSWER_LIMIT);
        let ttl = report_ttl(routers);
        !is_overdue && self.answered.is_some_and(|at| now.saturating_sub(at) < ttl)
    }
}

/// The meters of the fleet as one router sees them.
#[derive(Debug, Default)]
pub struct MeterTable {
    links: Vec<MeterLink>,
    reachable: Vec<MeterTag>,
    /// When meters became known where there was none.
    known_since: Option<Timestamp>,
}

impl MeterTable {
    /// Takes the targets beside which meters stand.
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

    /// Determines again which meters can be reached; returns whether that has changed.
    pub fn refresh(&mut self, routers: usize, now: Timestamp) -> bool {
        let has_none =
            !self.links.iter().any(|link| link.is_reachable && link.is_answering(routers, now));
        for link in &mut self.links {
            if !link.is_answering(routers, now) {
                link.is_reachable = false;
                link.steady = None;
                continue;
            }
            let is_steady = link.steady.is_some_and(|at| now.saturating_sub(at) >= RETURN_TIME);
            // Where there is no other, one that has just answered is better than none.
            link.is_reachable |= is_steady || has_none;
        }
        let reachable: Vec<MeterTag> =
            self.links.iter().filter(|link| link.is_reachable).map(|link| link.tag).collect();
        let is_changed = reachable != self.reachable;
        self.reachable = reachable;
        is_changed
    }

    /// Whether no meter can be reached yet, and the first answer may still come.
    pub fn is_awaited(&self, now: Timestamp) -> bool {
        let is_new = |since| now.saturating_sub(since) < FIRST_ANSWER_TIME;
        self.reachable.is_empty() && self.known_since.is_some_and(is_new)
    }

    /// Meters that can be reached, in order.
    pub fn reachable(&self) -> &[MeterTag] {
        &self.reachable
    }

    /// All meters.
    pub fn links(&self) -> &[MeterLink] {
        &self.links
    }

    /// One meter, to change it.
    pub fn link_mut(&mut self, tag: MeterTag) -> Option<&mut MeterLink> {
        self.links.iter_mut().find(|link| link.tag == tag)
    }

    /// One meter.
    pub fn link(&self, tag: MeterTag) -> Option<&MeterLink> {
        self.links.iter().find(|link| link.tag == tag)
    }
}
