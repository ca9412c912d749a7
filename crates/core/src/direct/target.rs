//! The state of one target at one router.

use super::{
    advertised_state::AdvertisedState,
    backlog::{TOKENS_PER_MS, prefill_left_after},
    call::AdapterId,
    capacity::{CallSamples, KnownCapacity},
    health::TargetHealth,
    load_shedding::LatencyGauge,
    membership::{BaseHolding, TargetEntry},
    messages::{AdapterUse, LoadRequest, LoaderReport},
    target_limit::KnownLimit,
};
use crate::ids::{AdapterVersion, SoftwareVersion, Timestamp};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Age after which a loader's report no longer describes its engine: within this time, an engine under demand for
/// other adapters may replace most of its unused ones.
pub const REPORT_TTL: Duration = Duration::from_millis(2_500);
/// Age up to which a report's holdings are used without a new report. If the adapter was evicted meanwhile, the target
/// refuses the call, and the fleet spends one of its retries.
pub(super) const SUFFICIENT_TTL: Duration = Duration::from_millis(300);
/// Time without an answer after which a loader counts as silent. It answers within a millisecond, but a host that has
/// used up its CPU quota may be throttled for the rest of a 100 ms period.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which another report is requested of a silent loader.
const REPORT_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Time after the end of a target's saturation during which adapters are loaded at other targets instead.
const SATURATION_TTL: Duration = Duration::from_secs(10);

/// The last report of a target's loader.
#[derive(Clone, Debug)]
pub struct LoaderView {
    /// The report.
    pub report: LoaderReport,
    /// When it arrived.
    pub received: Timestamp,
}

/// This router's calls that use one adapter at a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UseCounts {
    pub(super) running: u16,
    pub(super) started: u16,
    pub(super) started_tokens: u32,
}

/// This router's request that a target load one adapter.
#[derive(Clone, Debug)]
pub(super) struct LoadRequestState {
    pub(super) version: AdapterVersion,
    /// For each waiting call, the time by which the adapter must be loaded for the call to meet its objective.
    pub(super) waiters: Vec<Timestamp>,
    pub(super) priority: u8,
    pub(super) requested: Timestamp,
}

impl LoadRequestState {
    pub(super) fn is_awaited(&self) -> bool {
        !self.waiters.is_empty()
    }

    fn slack_ms(&self, now: Timestamp) -> u16 {
        let latest = self.waiters.iter().max().copied().unwrap_or_default();
        u16::try_from(latest.saturating_sub(now).as_millis()).unwrap_or(u16::MAX)
    }
}

/// A target's entry, its advertised and reported state, and this router's calls there.
#[derive(Debug)]
pub struct TargetState {
    /// Its entry in the list of targets.
    pub entry: Arc<TargetEntry>,
    /// Calls of this router that are in flight at the target.
    pub in_flight: u32,
    /// Prompt tokens of those calls that have no first byte yet.
    pub prefill_tokens: u32,
    /// Calls of this router whose first byte is overdue.
    pub overdue: u32,
    /// Recent failures, and backoff after failed connections.
    pub health: TargetHealth,
    /// Smoothed time to its answers.
    pub latency: LatencyGauge,
    /// Rate limit that it advertises, over all routers.
    pub limit: KnownLimit,
    /// Draining and backoff that it advertises.
    pub advertised: AdvertisedState,
    /// Until when its limit counts as used up.
    pub(super) saturated_until: Timestamp,
    /// Last report of its loader; `None` before the first one.
    pub loader: Option<LoaderView>,
    /// Capacity that its loader last reported, kept longer than the rest of the report.
    pub(super) capacity: KnownCapacity,
    /// Measurements of this router's calls since the last notice to its loader.
    pub(super) samples: CallSamples,
    /// When the pending report of its loader was requested.
    pub(super) report_requested: Option<Timestamp>,
    /// Time of the first report request since the target or its loader was last heard from.
    pub(super) unheard_since: Option<Timestamp>,
    /// When bytes of the target or its loader last arrived.
    pub(super) heard: Timestamp,
    /// When the target was last probed directly.
    pub(super) probed: Timestamp,
    /// Time of the last report request that was noted as unanswered.
    pub(super) noted_silence: Option<Timestamp>,
    /// Whether another incarnation answered at its address, so that this one has ended.
    pub(super) is_displaced: bool,
    /// Whether the list shows a later incarnation at its address.
    pub(super) is_superseded: bool,
    pub(super) uses: HashMap<AdapterId, UseCounts>,
    pub(super) load_requests: HashMap<AdapterId, LoadRequestState>,
}

impl TargetState {
    pub(super) fn new(entry: Arc<TargetEntry>) -> Self {
        Self {
            entry,
            in_flight: 0,
            prefill_tokens: 0,
            overdue: 0,
            health: TargetHealth::default(),
            latency: LatencyGauge::default(),
            limit: KnownLimit::default(),
            advertised: AdvertisedState::default(),
            saturated_until: Duration::ZERO,
            loader: None,
            capacity: KnownCapacity::default(),
            samples: CallSamples::default(),
            report_requested: None,
            unheard_since: None,
            heard: Duration::ZERO,
            probed: Duration::ZERO,
            noted_silence: None,
            is_displaced: false,
            is_superseded: false,
            uses: HashMap::new(),
            load_requests: HashMap::new(),
        }
    }

    /// The loader's report, if it is fresh at `now`.
    pub fn fresh_report(&self, now: Timestamp) -> Option<&LoaderReport> {
        let view = self.loader.as_ref()?;
        (now.saturating_sub(view.received) < REPORT_TTL).then_some(&view.report)
    }

    /// Version of its software, if the entry that names it is of the incarnation that runs: a target may start again
    /// under its id before its entry shows it. An engine starts empty, so that its loader knows of the start before the
    /// engine can run a call for an adapter.
    pub fn confirmed_software(&self, now: Timestamp) -> Option<&SoftwareVersion> {
        let software = self.entry.software.as_ref()?;
        if self.entry.incarnation.started.is_none() {
            return Some(software);
        }
        let view = self.loader.as_ref()?;
        let is_fresh = now.saturating_sub(view.received) < SUFFICIENT_TTL;
        let is_same = view.report.incarnation == self.entry.incarnation;
        (is_fresh && is_same && view.report.is_answering).then_some(software)
    }

    /// Stores its loader's report, and ends the pending request.
    pub(super) fn take_report(&mut self, report: LoaderReport, now: Timestamp) {
        self.report_requested = None;
        self.note_heard(now);
        self.capacity = KnownCapacity::new(&report, now);
        self.loader = Some(LoaderView { report, received: now });
    }

    /// Notes a request for a report of its loader; returns whether it is to be sent, as none was pending.
    pub(super) fn request_report(&mut self, now: Timestamp) -> bool {
        let is_new =
            self.report_requested.is_none_or(|at| now.saturating_sub(at) >= REPORT_RETRY_PAUSE);
        if is_new {
            self.report_requested = Some(now);
            self.unheard_since.get_or_insert(now);
        }
        is_new
    }

    /// Notes that bytes of the target itself arrived, so that its host runs.
    pub(super) fn note_heard(&mut self, now: Timestamp) {
        self.unheard_since = None;
        self.heard = now;
    }

    /// Time since bytes of the target or its loader last arrived.
    pub(super) fn unheard_time(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.heard)
    }

    /// Whether neither the target nor its loader has been heard from although its loader was requested to report. A host
    /// that stands still shows so, unlike one whose loader alone has ended.
    pub fn is_host_silent(&self, now: Timestamp) -> bool {
        self.unheard_since.is_some_and(|since| now.saturating_sub(since) >= REPORT_TIMEOUT)
    }

    /// Estimate of the prompt tokens of all routers' calls that it has not prefilled yet: those that its loader
    /// reported, less those processed since, but at least this router's own.
    pub fn fleet_prefill_tokens(&self, now: Timestamp) -> f64 {
        self.prefill_tokens_at_rate(TOKENS_PER_MS, now)
    }

    /// [`Self::fleet_prefill_tokens`] if the target prefills `tokens_per_ms`.
    pub(super) fn prefill_tokens_at_rate(&self, tokens_per_ms: f64, now: Timestamp) -> f64 {
        let reported = self.loader.as_ref().map_or(0.0, |view| {
            let age = now.saturating_sub(view.received);
            prefill_left_after(f64::from(view.report.prefill_tokens), age, tokens_per_ms)
        });
        reported.max(f64::from(self.prefill_tokens))
    }

    /// Whether a report was requested of its loader and may still arrive.
    pub fn is_report_pending(&self, now: Timestamp) -> bool {
        self.report_requested.is_some_and(|at| now.saturating_sub(at) < REPORT_TIMEOUT)
    }

    /// Whether its loader left a report request unanswered; false again once the request may be repeated.
    pub fn is_loader_silent(&self, now: Timestamp) -> bool {
        let waited = self.report_requested.map(|at| now.saturating_sub(at));
        waited.is_some_and(|waited| (REPORT_TIMEOUT..REPORT_RETRY_PAUSE).contains(&waited))
    }

    /// Whether its loader is silent; returns true only once for each report request.
    pub(super) fn note_silence(&mut self, now: Timestamp) -> bool {
        let is_new = self.is_loader_silent(now) && self.noted_silence != self.report_requested;
        if is_new {
            self.noted_silence = self.report_requested;
        }
        is_new
    }

    /// Whether a new report would add nothing about an adapter here: the last one is recent enough, or the loader is
    /// silent.
    pub fn is_report_sufficient(&self, adapter: &AdapterId, now: Timestamp) -> bool {
        let Some(view) = &self.loader else { return self.is_loader_silent(now) };
        let age = now.saturating_sub(view.received);
        // The loader keeps an adapter while a router reports a call that uses it.
        let is_kept = self.uses.get(adapter).is_some_and(|counts| counts.running > 0);
        age < SUFFICIENT_TTL || (is_kept && age < REPORT_TTL) || self.is_loader_silent(now)
    }

    /// Whether it holds no base model, and neither drains nor has ended.
    pub fn is_empty_engine(&self, now: Timestamp) -> bool {
        !self.is_draining() && !self.has_ended() && self.holdings(now).is_empty()
    }

    /// Whether calls of this router run here or wait for adapters, or prefetches are requested.
    pub fn has_activity(&self) -> bool {
        self.has_load_request() || !self.uses.is_empty()
    }

    /// Base models and adapters at the target: by a fresh report of its loader, else by the list.
    pub fn holdings(&self, now: Timestamp) -> &[BaseHolding] {
        self.fresh_report(now).map_or(&self.entry.holdings, |report| &report.holdings)
    }

    /// Whether the target holds the base model.
    pub fn holds_base(&self, base: &str, now: Timestamp) -> bool {
        self.holdings(now).iter().any(|holding| &*holding.base == base)
    }

    /// Version of an adapter that the target holds.
    pub fn held_version(&self, adapter: &AdapterId, now: Timestamp) -> Option<AdapterVersion> {
        let holdings = self.holdings(now).iter();
        let holding = holdings.into_iter().find(|holding| holding.base == adapter.base)?;
        holding.adapters.get(&adapter.name).copied()
    }

    /// Whether the target is loading an adapter, or replacing it by another version.
    pub fn is_loading(&self, adapter: &AdapterId, now: Timestamp) -> bool {
        self.fresh_report(now).is_some_and(|report| {
            let mut loading = report.loading.iter();
            loading.any(|(base, name)| *base == adapter.base && *name == adapter.name)
        })
    }

    /// Whether its host has an adapter in memory, so that a load of it does not use the weight store.
    pub fn is_in_host_memory(&self, adapter: &AdapterId, now: Timestamp) -> bool {
        let report = self.fresh_report(now);
        report.is_some_and(|report| report.host_memory.contains(&adapter.fingerprint()))
    }

    /// Whether it is draining, by the list, its loader or its own answers.
    pub fn is_draining(&self) -> bool {
        let by_loader = self.loader.as_ref().is_some_and(|view| view.report.is_draining);
        self.entry.is_draining || by_loader || self.advertised.is_draining
    }

    /// Whether it has requested a backoff that has not ended.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        self.advertised.is_backing_off(now)
    }

    /// Whether this incarnation is known to have ended.
    pub fn has_ended(&self) -> bool {
        self.is_displaced || self.is_superseded
    }

    /// Whether it advertises a rate limit.
    pub fn is_limited(&self) -> bool {
        self.limit.rate.is_some()
    }

    /// Whether its limit was used up within the last `SATURATION_TTL`, so that adapters should be loaded elsewhere.
    pub fn was_recently_saturated(&self, now: Timestamp) -> bool {
        self.is_limited()
            && !self.saturated_until.is_zero()
            && now.saturating_sub(self.saturated_until) < SATURATION_TTL
    }

    /// Whether its limit is used up.
    pub fn is_saturated(&self, now: Timestamp) -> bool {
        self.is_limited() && now < self.saturated_until
    }

    /// Whether its loader reports that the engine does not answer.
    pub fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.fresh_report(now).is_some_and(|report| !report.is_answering)
    }

    /// Whether this router requests any adapter here.
    pub fn has_load_request(&self) -> bool {
        !self.load_requests.is_empty()
    }

    /// Whether this router requests an adapter of a base model here.
    pub fn requests_base(&self, base: &str) -> bool {
        self.load_requests.keys().any(|adapter| &*adapter.base == base)
    }

    /// Number of adapters for which calls of this router wait here.
    pub fn awaited_adapters(&self) -> usize {
        self.load_requests.values().filter(|request| request.is_awaited()).count()
    }

    /// Whether calls that began here, or the end of an adapter's use, were not reported to the loader yet.
    pub fn has_unreported_calls(&self) -> bool {
        self.uses.values().any(|counts| counts.started > 0 || counts.running == 0)
    }

    /// This router's load requests, as sent to the loader.
    pub fn list_load_requests(&self, now: Timestamp) -> Vec<LoadRequest> {
        let load_requests = self.load_requests.iter().map(|(adapter, request)| LoadRequest {
            base: Arc::clone(&adapter.base),
            adapter: Arc::clone(&adapter.name),
            version: request.version,
            waiting: request.waiters.len() as u16,
            priority: request.priority,
            slack_ms: request.slack_ms(now),
        });
        load_requests.collect()
    }

    /// This router's calls, as reported to the loader; resets the counts of started calls.
    pub fn take_uses(&mut self) -> Vec<AdapterUse> {
        let uses = self.uses.iter_mut().map(|(adapter, counts)| AdapterUse {
            base: Arc::clone(&adapter.base),
            adapter: Arc::clone(&adapter.name),
            running: counts.running,
            started: std::mem::take(&mut counts.started),
            started_tokens: std::mem::take(&mut counts.started_tokens),
        });
        let list = uses.collect();
        self.uses.retain(|_, counts| counts.running > 0);
        list
    }
}
