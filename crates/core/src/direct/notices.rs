//! When a router sends notices to which loaders, and requests their reports.
//!
//! When every router sent its state to every loader and every loader to every router, the traffic and work of
//! one host grew with the fleet: 69 kB a second at a router of a fleet of 300 hosts. A router needs an engine's
//! state only when it is about to send a call there, and a loader needs a router's state only while that has
//! calls or load requests at its engine. So a router requests a report before it sends, which costs a round
//! trip of about a millisecond, and a host's traffic grows with its own calls only.

use super::{
    config::{BaseSpec, EngineSpec},
    membership::TargetIncarnation,
    messages::{BaseOffer, RouterNotice},
    target::TargetState,
    targets::TargetPool,
};
use crate::ids::{BootId, Timestamp};
use std::{collections::HashMap, time::Duration};

/// Pause after which an unanswered report request is sent again: datagrams may be lost.
const REPORT_REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// Minimum pause between notices to one loader; calls that begin or end within it are reported together. A new load
/// request does not wait for it.
const NOTICE_GAP: Duration = Duration::from_millis(100);
/// Interval of notices to a loader while this router's calls run at its engine and nothing changes. Without a notice
/// the loader drops the router's state after 2.5 s, and adapters that the router's calls use would be evicted.
const NOTICE_PAUSE: Duration = Duration::from_millis(800);
/// Interval of report requests to a loader at which this router has load requests. The loader reports a completed load
/// without a report request, but not how much longer a load will take.
const WAIT_PAUSE: Duration = Duration::from_millis(300);

/// The last notice to a loader.
#[derive(Clone, Copy, Debug)]
struct SentNotice {
    at: Timestamp,
    /// When a notice last requested a report; zero if none has.
    requested: Timestamp,
    /// Whether it contained load requests or uses. If so, one more notice must follow when they have ended.
    had_activity: bool,
}

/// Schedule of one router's notices.
#[derive(Debug)]
pub struct NoticeSchedule {
    boot: BootId,
    sequence: u32,
    sent: HashMap<TargetIncarnation, SentNotice>,
}

impl NoticeSchedule {
    /// Starts with no notices sent; `boot` identifies this start of the router.
    pub fn new(boot: BootId) -> Self {
        Self { boot, sequence: 0, sent: HashMap::new() }
    }

    /// Engines whose loaders are due a notice, in a fleet of `routers`; `draw` returns random numbers, uniform
    /// from 0 to 1.
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
                // The loader of an empty engine needs an offer of base models. One offer in each round is enough, so
                // each router sends one at random: one router of the fleet on average.
                None => target.is_empty_engine(now) && draw() * (routers as f64) < 1.0,
            }
        });
        engines.map(|target| target.entry.incarnation.clone()).collect()
    }

    /// Makes a notice to an engine's loader and records it as sent.
    pub fn make(
        &mut self,
        pool: &mut TargetPool,
        incarnation: &TargetIncarnation,
        now: Timestamp,
    ) -> Option<RouterNotice> {
        let target = pool.target(incarnation)?;
        let spec = pool.engine_of(target)?;
        let adapter_slots = u16::try_from(spec.adapter_slots).unwrap_or(u16::MAX);
        let memory_mb = spec.offered_memory();
        let sizes = stated_sizes(target, spec, now);
        let is_empty = target.is_empty_engine(now);
        let last = self.sent.get(incarnation).copied();
        let is_offer = is_empty || last.is_none();
        let bases = if is_offer { list_offers(spec, |_| true) } else { Vec::new() };
        let requested_recently =
            last.is_some_and(|sent| now.saturating_sub(sent.requested) < WAIT_PAUSE);
        let wants_report = target.is_report_pending(now)
            || is_empty
            || (target.has_load_request() && !requested_recently);
        let requested =
            if wants_report { now } else { last.map_or(Duration::ZERO, |sent| sent.requested) };
        let had_activity = target.has_activity();
        let target = pool.target_mut(incarnation)?;
        if is_empty {
            // Calls wait for the base model only while the loader answers, so request a report.
            target.request_report(now);
        }
        self.sent.insert(incarnation.clone(), SentNotice { at: now, requested, had_activity });
        self.sequence += 1;
        let samples = std::mem::take(&mut target.samples);
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
            answered_tokens: samples.answered_tokens,
            best_prefill: samples.best_prefill,
            ended_runs: samples.ended_runs,
            ended_ms: samples.ended_ms,
            sizes,
        })
    }
}

/// Sizes of the base models that an engine holds or that load requests at it name; empty without load requests.
fn stated_sizes(target: &TargetState, spec: &EngineSpec, now: Timestamp) -> Vec<BaseOffer> {
    if !target.has_load_request() {
        return Vec::new();
    }
    list_offers(spec, |base| target.holds_base(&base.name, now) || target.requests_base(&base.name))
}

fn list_offers(spec: &EngineSpec, is_listed: impl Fn(&BaseSpec) -> bool) -> Vec<BaseOffer> {
    spec.bases.iter().filter(|base| is_listed(base)).map(BaseSpec::offer).collect()
}

/// Pause between notices to a target's loader; `None` if it needs none.
fn pause(target: &TargetState, sent: Option<&SentNotice>, now: Timestamp) -> Option<Duration> {
    let had_activity = sent.is_some_and(|sent| sent.had_activity);
    if target.is_report_pending(now) {
        Some(REPORT_REQUEST_PAUSE)
    } else if target.awaited_adapters() > 0 || target.has_unreported_calls() {
        Some(NOTICE_GAP)
    } else if target.has_activity() {
        Some(NOTICE_PAUSE)
    } else {
        had_activity.then_some(NOTICE_GAP)
    }
}
