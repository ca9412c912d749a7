//! The targets as one router sees them: the list, the loaders' reports, and its own calls.

mod advertised;
mod capacity;
mod departed;
mod limits;
mod silence;
pub mod software;

use self::departed::DepartedTarget;
use super::{
    call::{AdapterId, AdapterRelease},
    capacity::ServiceCapacity,
    config::{EngineSpec, RouteConfig},
    demand::FleetDemand,
    health::CallOutcome,
    limits::LimitTag,
    load_shedding::ConcurrencyGauge,
    membership::{InstanceId, ListChange, TargetEntry, TargetIncarnation, TargetList},
    messages::LoaderReport,
    streams::{RouteTag, claims::InheritedClaims, history::SoftwareHistory},
    target::{LoadRequestState, TargetState},
    waits::WaitEstimates,
};
use crate::ids::{AdapterVersion, ServiceName, Timestamp};
use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// All targets of all services.
#[derive(Debug)]
pub struct TargetPool {
    config: Arc<RouteConfig>,
    list: TargetList,
    targets: HashMap<InstanceId, TargetState>,
    by_service: HashMap<ServiceName, Vec<InstanceId>>,
    releases: HashMap<AdapterId, AdapterVersion>,
    demand: FleetDemand,
    concurrency: HashMap<ServiceName, ConcurrencyGauge>,
    wait_estimates: WaitEstimates,
    capacities: HashMap<ServiceName, ServiceCapacity>,
    /// Targets that were removed from the list, and may return in the same incarnation.
    departed: HashMap<LimitTag, DepartedTarget>,
    /// Software versions that each service has had.
    software: SoftwareHistory,
    /// Whether a list of targets has been read.
    is_listed: bool,
    /// Routes of streams by host and prefix, and when their services last changed.
    rerouted: HashMap<RouteTag, Timestamp>,
    /// Time for which a stream of any route may live.
    longest_life: Duration,
    /// What other routers claimed of routes before this one followed the list.
    inherited: InheritedClaims,
}

impl Default for TargetPool {
    fn default() -> Self {
        Self::new()
    }
}

impl TargetPool {
    /// Starts with no configuration and no target.
    pub fn new() -> Self {
        Self {
            config: Arc::new(RouteConfig::default()),
            list: TargetList::default(),
            targets: HashMap::new(),
            by_service: HashMap::new(),
            releases: HashMap::new(),
            demand: FleetDemand::default(),
            concurrency: HashMap::new(),
            wait_estimates: WaitEstimates::default(),
            capacities: HashMap::new(),
            departed: HashMap::new(),
            software: SoftwareHistory::default(),
            is_listed: false,
            rerouted: HashMap::new(),
            longest_life: software::DEFAULT_LIFE,
            inherited: InheritedClaims::default(),
        }
    }

    /// The current configuration.
    pub fn config(&self) -> &Arc<RouteConfig> {
        &self.config
    }

    /// Applies a configuration if it is newer; returns whether it was. An older one may come from a peer that lags,
    /// and must never undo a change that callers have seen in effect.
    pub fn take_config(&mut self, config: Arc<RouteConfig>) -> bool {
        if config.number <= self.config.number {
            return false;
        }
        self.note_routes(&config);
        self.config = config;
        self.mark_superseded();
        true
    }

    /// Applies a release; an adapter's version never decreases.
    pub fn take_release(&mut self, release: AdapterRelease) {
        let known = self.releases.entry(release.adapter).or_insert(release.version);
        *known = release.version.max(*known);
    }

    /// Newest version of an adapter; 1 where none was announced.
    pub fn newest_version(&self, adapter: &AdapterId) -> AdapterVersion {
        self.releases.get(adapter).copied().unwrap_or(1)
    }

    /// Newest announced version of each adapter.
    pub fn releases(&self) -> impl Iterator<Item = (&AdapterId, AdapterVersion)> {
        self.releases.iter().map(|(adapter, version)| (adapter, *version))
    }

    /// Records that the store of the list cannot be reached; the last list stays in use.
    pub fn note_outage(&mut self) {
        self.list.note_outage();
        self.software.note_gap();
    }

    /// Records that the store of the list answers again.
    pub fn note_contact(&mut self, now: Timestamp) {
        self.list.note_contact(now);
    }

    /// Records that the store of the list has returned from an older copy of itself.
    pub fn note_return(&mut self, now: Timestamp) {
        self.list.note_return(now);
        self.software.note_gap();
    }

    /// Number of targets that are draining although the list of the store does not show it.
    pub fn held_draining(&self) -> usize {
        self.list.held_draining()
    }

    /// Replaces the list by a snapshot.
    pub fn replace_list(&mut self, entries: Vec<Arc<TargetEntry>>, now: Timestamp) {
        self.list.replace(entries, now);
        self.is_listed = true;
        // What came and went since the last list is not known.
        self.software.note_gap();
        self.rebuild();
        self.observe_software(now);
    }

    /// Applies changes of the list.
    pub fn apply_changes(&mut self, changes: &[ListChange], now: Timestamp) {
        for change in changes {
            self.list.apply(change, now);
            if let ListChange::Put(entry) = change {
                self.software.note_entry(entry, now);
            }
        }
        self.rebuild();
    }

    /// Drops expired entries of the list and expired demand.
    pub fn expire(&mut self, now: Timestamp) {
        if self.list.expire(now) {
            self.rebuild();
        }
        self.observe_software(now);
        self.demand.expire(now);
        self.update_capacities(now);
    }

    /// Entries of the list in use.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.list.entries()
    }

    /// A target, if its current incarnation may equal this one.
    pub fn target(&self, incarnation: &TargetIncarnation) -> Option<&TargetState> {
        self.targets
            .get(&incarnation.id)
            .filter(|target| target.entry.incarnation.may_equal(incarnation))
    }

    /// Mutable form of [`Self::target`]. Calls to an earlier incarnation may end after its end, and must not count for
    /// the next incarnation.
    pub fn target_mut(&mut self, incarnation: &TargetIncarnation) -> Option<&mut TargetState> {
        self.targets
            .get_mut(&incarnation.id)
            .filter(|target| target.entry.incarnation.may_equal(incarnation))
    }

    /// Targets of a service, ordered by id.
    pub fn service_targets(&self, service: &str) -> impl Iterator<Item = &TargetState> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.targets.get(id))
    }

    /// Targets that are engines.
    pub fn engines(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values().filter(|target| self.engine_of(target).is_some())
    }

    /// Mean wait times of the fleet, used for engines without a report.
    pub fn wait_estimates(&self) -> &WaitEstimates {
        &self.wait_estimates
    }

    /// Specification of the engines of a target's service, if the target is an engine.
    pub fn engine_of(&self, target: &TargetState) -> Option<&EngineSpec> {
        self.config.services.get(&target.entry.service)?.engine.as_ref()
    }

    /// Applies a report of the loader on a host, unless it is older than the last one of the same start. Returns
    /// whether it was applied.
    pub fn take_report(&mut self, host: IpAddr, report: LoaderReport, now: Timestamp) -> bool {
        self.displace_others(host, &report.incarnation);
        let Some(target) = self.target_mut(&report.incarnation) else { return false };
        let is_old = target.loader.as_ref().is_some_and(|view| {
            view.report.boot == report.boot && view.report.sequence >= report.sequence
        });
        if is_old {
            return false;
        }
        self.wait_estimates.record(&report);
        self.demand.take_report(&report, now);
        let Some(target) = self.target_mut(&report.incarnation) else { return false };
        // A late report, or a late answer, of another incarnation may have displaced this one.
        let was_displaced = std::mem::take(&mut target.is_displaced);
        target.take_report(report, now);
        let satisfied: HashSet<AdapterId> = target
            .load_requests
            .iter()
            .filter(|(adapter, request)| {
                target.held_version(adapter, now).is_some_and(|held| held >= request.version)
            })
            .map(|(adapter, _)| adapter.clone())
            .collect();
        target
            .load_requests
            .retain(|adapter, request| request.is_awaited() || !satisfied.contains(adapter));
        let service = Arc::clone(&target.entry.service);
        if was_displaced {
            self.mark_superseded();
        }
        self.update_capacity(&service, now);
        true
    }

    /// A host runs one engine only: any other engine's entry with its address belongs to an incarnation that has
    /// ended.
    fn displace_others(&mut self, host: IpAddr, incarnation: &TargetIncarnation) {
        let mut is_changed = false;
        for target in self.targets.values_mut() {
            let is_engine = !target.entry.holdings.is_empty() || target.loader.is_some();
            let is_here = target.entry.address.ip() == host;
            let is_other = !target.entry.incarnation.may_equal(incarnation);
            if is_engine && is_here && is_other && !target.is_displaced {
                target.is_displaced = true;
                is_changed = true;
            }
        }
        if is_changed {
            self.mark_superseded();
        }
    }

    /// Adds a call for an adapter to the adapter's demand.
    pub fn record_demand(&mut self, adapter: &AdapterId, now: Timestamp) {
        self.demand.record(adapter, now);
    }

    /// Adds a sample of the number of this router's calls in flight at a service's targets; called when a new call
    /// arrives.
    pub fn record_concurrency(&mut self, service: &ServiceName) {
        let in_flight = self.service_targets(service).map(|target| target.in_flight).sum();
        self.concurrency.entry(Arc::clone(service)).or_default().record(in_flight);
    }

    /// Whether calls queue at a service's targets, by this router's concurrency in a fleet of `routers`.
    pub fn shows_queue(&self, service: &str, routers: usize) -> bool {
        let alive = self.service_targets(service).filter(|target| !target.has_ended());
        let slots = alive.map(|target| target.entry.slots).sum();
        let gauge = self.concurrency.get(service);
        gauge.is_some_and(|gauge| gauge.shows_queue(routers, slots))
    }

    /// Demand for adapters over the fleet.
    pub fn demand(&self) -> &FleetDemand {
        &self.demand
    }

    /// Records that a call is sent to a target; returns whether it is this router's only call for its adapter there.
    pub fn call_started(
        &mut self,
        incarnation: &TargetIncarnation,
        adapter: Option<&AdapterId>,
        tokens: u32,
    ) -> bool {
        let Some(target) = self.target_mut(incarnation) else { return false };
        target.in_flight += 1;
        target.prefill_tokens = target.prefill_tokens.saturating_add(tokens);
        let Some(adapter) = adapter else { return false };
        let counts = target.uses.entry(adapter.clone()).or_default();
        counts.running += 1;
        counts.started += 1;
        counts.started_tokens = counts.started_tokens.saturating_add(tokens);
        counts.running == 1
    }

    /// Records that a call ended; `tokens` is the length of its prompt if no first byte arrived, else 0.
    pub fn call_ended(&mut self, incarnation: &TargetIncarnation, tokens: u32) {
        let Some(target) = self.target_mut(incarnation) else { return };
        target.in_flight = target.in_flight.saturating_sub(1);
        target.prefill_tokens = target.prefill_tokens.saturating_sub(tokens);
    }

    /// Records that a call no longer uses its adapter at a target. Returns whether no other call of this router uses
    /// the adapter at this target.
    pub fn use_ended(&mut self, incarnation: &TargetIncarnation, adapter: &AdapterId) -> bool {
        let counts = self.target_mut(incarnation).and_then(|target| target.uses.get_mut(adapter));
        let Some(counts) = counts else { return false };
        counts.running = counts.running.saturating_sub(1);
        counts.running == 0
    }

    /// Records that another incarnation answered at the address of this one, which has therefore ended.
    pub fn note_displaced(&mut self, incarnation: &TargetIncarnation) {
        if let Some(target) = self.target_mut(incarnation) {
            target.is_displaced = true;
            self.mark_superseded();
        }
    }

    /// Marks all but the latest incarnation at each address as superseded: an older one no longer listens there, but
    /// its entry may stay in the list for long, and lists arrive in any order. An incarnation that was displaced by
    /// another one's answer at its address does not supersede others.
    fn mark_superseded(&mut self) {
        let mut latest: HashMap<SocketAddr, u64> = HashMap::new();
        // An entry of a service that is not configured was not written by a target.
        let known = self.targets.values().filter(|target| {
            !target.is_displaced && self.config.services.contains_key(&target.entry.service)
        });
        for target in known {
            let generation = latest.entry(target.entry.address).or_default();
            *generation = target.entry.generation.max(*generation);
        }
        for target in self.targets.values_mut() {
            let generation = latest.get(&target.entry.address);
            target.is_superseded =
                generation.is_some_and(|generation| *generation > target.entry.generation);
        }
    }

    /// Records the latency of an answer.
    pub fn record_latency(
        &mut self,
        incarnation: &TargetIncarnation,
        latency: Duration,
        now: Timestamp,
    ) {
        if let Some(target) = self.target_mut(incarnation) {
            target.latency.record(latency, now);
        }
    }

    /// Records the outcome of a call.
    pub fn record_outcome(
        &mut self,
        incarnation: &TargetIncarnation,
        outcome: CallOutcome,
        now: Timestamp,
    ) {
        if let Some(target) = self.target_mut(incarnation) {
            target.health.record(outcome, now);
        }
    }

    /// Marks the first byte of one more or one fewer call as overdue.
    pub fn mark_overdue(&mut self, incarnation: &TargetIncarnation, is_overdue: bool) {
        let Some(target) = self.target_mut(incarnation) else { return };
        target.overdue =
            if is_overdue { target.overdue + 1 } else { target.overdue.saturating_sub(1) };
    }

    /// Adds a waiting call to an adapter's load request at a target. The call meets its objective if the adapter is
    /// loaded by `due`.
    pub fn add_waiter(
        &mut self,
        incarnation: &TargetIncarnation,
        adapter: &AdapterId,
        version: AdapterVersion,
        priority: u8,
        due: Timestamp,
        now: Timestamp,
    ) {
        let Some(target) = self.target_mut(incarnation) else { return };
        let request = target.load_requests.entry(adapter.clone()).or_insert(LoadRequestState {
            version,
            waiters: Vec::new(),
            priority,
            requested: now,
        });
        request.waiters.push(due);
        request.version = request.version.max(version);
        request.priority = request.priority.min(priority);
    }

    /// Removes a waiting call with this `due`; without waiting calls, the load request is dropped.
    pub fn remove_waiter(
        &mut self,
        incarnation: &TargetIncarnation,
        adapter: &AdapterId,
        due: Timestamp,
    ) {
        let Some(target) = self.target_mut(incarnation) else { return };
        if let Some(request) = target.load_requests.get_mut(adapter) {
            if let Some(index) = request.waiters.iter().position(|waiter| *waiter == due) {
                request.waiters.swap_remove(index);
            }
            if !request.is_awaited() {
                target.load_requests.remove(adapter);
            }
        }
    }

    /// Requests an adapter before any call waits for it; returns whether the request is new.
    pub fn prefetch(
        &mut self,
        incarnation: &TargetIncarnation,
        adapter: &AdapterId,
        version: AdapterVersion,
        now: Timestamp,
    ) -> bool {
        let Some(target) = self.target_mut(incarnation) else { return false };
        if let Some(request) = target.load_requests.get_mut(adapter) {
            request.version = request.version.max(version);
            return false;
        }
        let request =
            LoadRequestState { version, waiters: Vec::new(), priority: u8::MAX, requested: now };
        target.load_requests.insert(adapter.clone(), request);
        true
    }

    /// Drops prefetches that were not fulfilled within `max_age`.
    pub fn drop_old_prefetches(&mut self, max_age: Duration, now: Timestamp) {
        for target in self.targets.values_mut() {
            target.load_requests.retain(|_, request| {
                request.is_awaited() || now.saturating_sub(request.requested) < max_age
            });
        }
    }

    /// Rebuilds the targets from the list; the state of those that stay in the same incarnation is kept.
    fn rebuild(&mut self) {
        let mut previous = std::mem::take(&mut self.targets);
        let mut removed = Vec::new();
        self.by_service.clear();
        for entry in self.list.entries() {
            let is_same_incarnation =
                |state: &TargetState| state.entry.incarnation.may_equal(&entry.incarnation);
            let state = match previous.remove(&entry.incarnation.id) {
                Some(state) if is_same_incarnation(&state) => {
                    TargetState { entry: Arc::clone(entry), ..state }
                }
                other_incarnation => {
                    removed.extend(other_incarnation);
                    let mut state = TargetState::new(Arc::clone(entry));
                    let departed = self.departed.remove(&entry.incarnation.stable_hash());
                    let departed = departed.unwrap_or_default();
                    (state.limit, state.advertised) = (departed.limit, departed.advertised);
                    state
                }
            };
            let ids = self.by_service.entry(Arc::clone(&entry.service)).or_default();
            ids.push(Arc::clone(&entry.incarnation.id));
            self.targets.insert(Arc::clone(&entry.incarnation.id), state);
        }
        for ids in self.by_service.values_mut() {
            ids.sort_unstable();
        }
        self.keep_departed(removed.into_iter().chain(previous.into_values()));
        self.mark_superseded();
    }
}
