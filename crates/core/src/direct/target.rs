//! One target as one router sees it.

use super::{
    advertised_state::AdvertisedState,
    backlog::prefill_left_after,
    call::AdapterId,
    health::TargetHealth,
    load_shedding::LatencyGauge,
    membership::{BaseHolding, TargetEntry},
    messages::{AdapterUse, LoadRequest, LoaderReport},
    target_limit::KnownLimit,
};
use crate::ids::{AdapterVersion, Timestamp};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Age after which a loader's report no longer says what its engine holds: within this, an engine whose
/// adapters are all wanted elsewhere has replaced most of those that nobody uses.
pub const REPORT_TTL: Duration = Duration::from_millis(2_500);
/// Age up to which a report is believed in what an engine holds without asking again. An adapter that was
/// evicted meanwhile costs the call a refusal, and the fleet one of its repeats.
const SUFFICIENT_TTL: Duration = Duration::from_millis(300);
/// Time without an answer after which a loader counts as silent. It answers within a millisecond, but a
/// host may be held up for the rest of a tenth of a second when it has used up its share of a core.
const SILENCE: Duration = Duration::from_millis(150);
/// Time after which a silent loader is asked again.
const SILENCE_TTL: Duration = Duration::from_secs(2);

/// Time for which a limit that was used up keeps adapters away from its target.
const SATURATION_TTL: Duration = Duration::from_secs(10);

/// What a loader last reported of its engine.
#[derive(Clone, Debug)]
pub struct LoaderView {
    /// The report.
    pub report: LoaderReport,
    /// When it came.
    pub received: Timestamp,
}

/// A router's own calls that use an adapter of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UseCounts {
    pub(super) running: u16,
    pub(super) started: u16,
    pub(super) started_tokens: u32,
}

/// A router's request that a target hold an adapter.
#[derive(Clone, Debug)]
pub(super) struct LoadRequestState {
    pub(super) version: AdapterVersion,
    /// When the adapter must be there for each call that waits to meet its objective.
    pub(super) waiters: Vec<Timestamp>,
    pub(super) priority: u8,
    pub(super) made: Timestamp,
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

/// One target.
#[derive(Debug)]
pub struct TargetState {
    /// What the list says.
    pub entry: Arc<TargetEntry>,
    /// Calls of this router that it has and has not ended.
    pub in_flight: u32,
    /// Prompt tokens of those of them that have no first event yet.
    pub prefill_tokens: u32,
    /// Calls whose first byte is overdue.
    pub overdue: u32,
    /// How it did lately.
    pub health: TargetHealth,
    /// How long its answers take.
    pub latency: LatencyGauge,
    /// The requests that it takes from all routers together.
    pub limit: KnownLimit,
    /// What it has advertised of itself.
    pub advertised: AdvertisedState,
    /// Until when its limit is taken to be used up.
    pub(super) saturated_until: Timestamp,
    /// What its loader reported.
    pub loader: Option<LoaderView>,
    /// When the pending report of its loader was first requested.
    pub(super) report_requested: Option<Timestamp>,
    /// The report request whose silence was noted.
    pub(super) noted_silence: Option<Timestamp>,
    /// Whether another incarnation was met at its address, so that this one has ended.
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
            report_requested: None,
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

    /// Takes its loader's report.
    pub(super) fn take_report(&mut self, report: LoaderReport, now: Timestamp) {
        self.report_requested = None;
        self.loader = Some(LoaderView { report, received: now });
    }

    /// Requests a report of its loader; returns whether no request was pending.
    pub(super) fn request_report(&mut self, now: Timestamp) -> bool {
        let is_new = self.report_requested.is_none_or(|at| now.saturating_sub(at) >= SILENCE_TTL);
        if is_new {
            self.report_requested = Some(now);
        }
        is_new
    }

    /// Prompt tokens of all routers' calls that it has most likely not prefilled yet: those that its loader
    /// reported, less what it has processed since, and at least this router's own.
    pub fn fleet_prefill_tokens(&self, now: Timestamp) -> f64 {
        let told = self.loader.as_ref().map_or(0.0, |view| {
            let age = now.saturating_sub(view.received);
            prefill_left_after(f64::from(view.report.prefill_tokens), age)
        });
        told.max(f64::from(self.prefill_tokens))
    }

    /// Whether a report was requested of its loader and may still come.
    pub fn is_report_pending(&self, now: Timestamp) -> bool {
        self.report_requested.is_some_and(|at| now.saturating_sub(at) < SILENCE)
    }

    /// Whether its loader does not answer.
    pub fn is_loader_silent(&self, now: Timestamp) -> bool {
        let waited = self.report_requested.map(|at| now.saturating_sub(at));
        waited.is_some_and(|waited| (SILENCE..SILENCE_TTL).contains(&waited))
    }

    /// Whether its loader is silent, and that was not noted before.
    pub(super) fn note_silence(&mut self, now: Timestamp) -> bool {
        let is_new = self.is_loader_silent(now) && self.noted_silence != self.report_requested;
        if is_new {
            self.noted_silence = self.report_requested;
        }
        is_new
    }

    /// Whether a report would say no more of an adapter here than is known.
    pub fn is_report_sufficient(&self, adapter: &AdapterId, now: Timestamp) -> bool {
        let Some(view) = &self.loader else { return self.is_loader_silent(now) };
        let age = now.saturating_sub(view.received);
        // The loader keeps an adapter for as long as it knows of a call that uses it.
        let is_kept = self.uses.get(adapter).is_some_and(|counts| counts.running > 0);
        age < SUFFICIENT_TTL || (is_kept && age < REPORT_TTL) || self.is_loader_silent(now)
    }

    /// Whether it is an engine that holds no base model.
    pub fn is_empty_engine(&self, now: Timestamp) -> bool {
        !self.is_draining() && !self.has_ended() && self.holdings(now).is_empty()
    }

    /// Whether calls of this router run here or wait for adapters, or adapters are wanted ahead of calls.
    pub fn is_engaged(&self) -> bool {
        self.has_load_request() || !self.uses.is_empty()
    }

    /// What the target holds: by its loader if that is heard, else by the list.
    pub fn holdings(&self, now: Timestamp) -> &[BaseHolding] {
        self.fresh_report(now).map_or(&self.entry.holdings, |report| &report.holdings)
    }

    /// Whether the base model is there.
    pub fn holds_base(&self, base: &str, now: Timestamp) -> bool {
        self.holdings(now).iter().any(|holding| &*holding.base == base)
    }

    /// Version of an adapter that is there.
    pub fn held_version(&self, adapter: &AdapterId, now: Timestamp) -> Option<AdapterVersion> {
        let holdings = self.holdings(now).iter();
        let holding = holdings.into_iter().find(|holding| holding.base == adapter.base)?;
        holding.adapters.get(&adapter.name).copied()
    }

    /// Whether an adapter is being loaded at the target, or replaced there.
    pub fn is_loading(&self, adapter: &AdapterId, now: Timestamp) -> bool {
        self.fresh_report(now).is_some_and(|report| {
            let mut loading = report.loading.iter();
            loading.any(|(base, name)| *base == adapter.base && *name == adapter.name)
        })
    }

    /// Whether it is draining, by the list, by its loader, or by its own answers.
    pub fn is_draining(&self) -> bool {
        let by_loader = self.loader.as_ref().is_some_and(|view| view.report.is_draining);
        self.entry.is_draining || by_loader || self.advertised.is_draining
    }

    /// Whether it has asked for no requests now.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        self.advertised.is_backing_off(now)
    }

    /// Whether this incarnation has ended, as far as is known.
    pub fn has_ended(&self) -> bool {
        self.is_displaced || self.is_superseded
    }

    /// Whether it takes only so many requests of all routers together.
    pub fn is_limited(&self) -> bool {
        self.limit.rate.is_some()
    }

    /// Whether its limit admitted no call lately, so that adapters had better be elsewhere.
    pub fn was_recently_saturated(&self, now: Timestamp) -> bool {
        self.is_limited()
            && !self.saturated_until.is_zero()
            && now.saturating_sub(self.saturated_until) < SATURATION_TTL
    }

    /// Whether its limit was found to be used up.
    pub fn is_saturated(&self, now: Timestamp) -> bool {
        self.is_limited() && now < self.saturated_until
    }

    /// Whether its loader reports that it does not answer.
    pub fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.fresh_report(now).is_some_and(|report| !report.is_answering)
    }

    /// Whether this router requests an adapter here.
    pub fn has_load_request(&self) -> bool {
        !self.load_requests.is_empty()
    }

    /// Adapters for which calls of this router wait here.
    pub fn awaited_adapters(&self) -> usize {
        self.load_requests.values().filter(|request| request.is_awaited()).count()
    }

    /// Whether the loader has no notice yet of calls that began here, or of an adapter that is no longer in
    /// use.
    pub fn has_unreported_calls(&self) -> bool {
        self.uses.values().any(|counts| counts.started > 0 || counts.running == 0)
    }

    /// This router's load requests, for the loader.
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

    /// What the loader is told about this router's calls; counts of started calls begin anew.
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
