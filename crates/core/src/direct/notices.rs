//! Which loaders a router tells of its calls and asks for reports, and when.
//!
//! Pattern: while every router told every loader of itself and every loader told every router of its engine,
//! what one host sent, read and computed grew with the fleet: 69 kB a second at a router of a fleet of 300
//! hosts. A router needs to know an engine only when it is about to send a call there, and a loader needs to
//! know of a router only while that has calls or load requests at its engine. So a router asks before it
//! sends, which costs a trip of about a millisecond, and what a host sends grows with its own calls alone.

use super::{
    membership::TargetIncarnation, messages::RouterNotice, target::TargetState, targets::TargetPool,
};
use crate::ids::{BootId, Timestamp};
use std::{collections::HashMap, time::Duration};

/// Pause after which a report request that was not answered is sent again: datagrams are lost at times.
const REPORT_REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// Shortest pause between notices to one loader that a new load request does not hurry: what began or ended
/// within it is told together.
const NOTICE_GAP: Duration = Duration::from_millis(100);
/// Pause between notices to a loader at whose engine calls run and nothing changes; it forgets a router
/// after 2.5 s, and the adapters of its calls would then be evicted under them.
const NOTICE_PAUSE: Duration = Duration::from_millis(800);
/// Pause between report requests to a loader where calls wait: it tells unasked that an adapter has come, but
/// not how much longer one will take.
const WAIT_PAUSE: Duration = Duration::from_millis(300);

/// When a loader was last told.
#[derive(Clone, Copy, Debug)]
struct SentNotice {
    at: Timestamp,
    asked: Timestamp,
    /// Whether it was told of load requests or uses, so that it must be told once more when they have ended.
    was_engaged: bool,
}

/// The notices of one router.
#[derive(Debug)]
pub struct NoticeSchedule {
    boot: BootId,
    sequence: u32,
    sent: HashMap<TargetIncarnation, SentNotice>,
}

impl NoticeSchedule {
    /// Starts having told nobody; `boot` tells this start of the router from others.
    pub fn new(boot: BootId) -> Self {
        Self { boot, sequence: 0, sent: HashMap::new() }
    }

    /// Engines whose loaders are due, with `routers` routers in all; `draw` gives numbers uniform in 0 to 1.
    pub fn due(
        &mut self,
        pool: &TargetPool,
        routers: usize,
        now: Timestamp,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<TargetIncarnation> {
        self.sent.retain(|incarnation, _| pool.target(incarnation).is_some());
        let engines = pool.engines().filter(|target| {
            let sent = self.sent.get(&target.entry.incarnation);
            match pause(target, sent, now) {
                Some(pause) => sent.is_none_or(|sent| now.saturating_sub(sent.at) >= pause),
                // Somebody must tell the loader of an empty engine what to put there. One router in all
                // at each look is enough, and no number of routers too many.
                None => target.is_empty_engine(now) && draw() * (routers as f64) < 1.0,
            }
        });
        engines.map(|target| target.entry.incarnation.clone()).collect()
    }

    /// The notice to an engine's loader, which counts as sent.
    pub fn make(
        &mut self,
        pool: &mut TargetPool,
        incarnation: &TargetIncarnation,
        now: Timestamp,
    ) -> Option<RouterNotice> {
        let target = pool.target(incarnation)?;
        let spec = pool.engine_of(target)?;
        let (adapter_slots, memory_mb) = (spec.adapter_slots as u16, spec.memory_mb as f32);
        let is_empty = target.is_empty_engine(now);
        let last = self.sent.get(incarnation).copied();
        let is_offer = is_empty || last.is_none();
        let bases = if is_offer { TargetPool::base_offers(spec) } else { Vec::new() };
        let asked_lately = last.is_some_and(|sent| now.saturating_sub(sent.asked) < WAIT_PAUSE);
        let wants_report = target.is_report_pending(now)
            || is_empty
            || (target.has_load_request() && !asked_lately);
        let asked = if wants_report { now } else { last.map_or(Duration::ZERO, |sent| sent.asked) };
        let was_engaged = target.is_engaged();
        let target = pool.target_mut(incarnation)?;
        if is_empty {
            // Calls wait for its base model, but not if nobody is there to load it.
            target.request_report(now);
        }
        self.sent.insert(incarnation.clone(), SentNotice { at: now, asked, was_engaged });
        self.sequence += 1;
        Some(RouterNotice {
            boot: self.boot,
            sequence: self.sequence,
            incarnation: incarnation.clone(),
            adapter_slots,
            memory_mb,
            bases,
            load_requests: target.list_load_requests(now),
            uses: target.take_uses(),
            wants_report,
        })
    }
}

/// Pause between notices to a target's loader; `None` if it need not be told.
fn pause(target: &TargetState, sent: Option<&SentNotice>, now: Timestamp) -> Option<Duration> {
    let was_engaged = sent.is_some_and(|sent| sent.was_engaged);
    if target.is_report_pending(now) {
        Some(REPORT_REQUEST_PAUSE)
    } else if target.awaited_adapters() > 0 || target.has_unreported_calls() {
        Some(NOTICE_GAP)
    } else if target.is_engaged() {
        Some(NOTICE_PAUSE)
    } else {
        was_engaged.then_some(NOTICE_GAP)
    }
}
