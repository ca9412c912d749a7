//! The entry's routing decisions: the target to which a request is offered.

pub mod targets;

use crate::{
    config::PresetRecord,
    cost::CostWeights,
    demand::DecayedCount,
    entry::targets::TargetTable,
    ids::{AdapterDigest, RegionName, TargetName, Timestamp, ZoneName},
    outcome::{NotRunProof, Refusal, RefusalReason},
    policy::{PolicyCandidate, TargetPolicy},
    protocol::{TargetReport, WorkItem},
    rendezvous,
    retry::RetryBudget,
    stats::RunningMean,
    target::{TargetKind, TargetRecord},
};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Requests per second for an adapter that one preferred target is expected to take; a higher rate adds the
/// next target in order to the preferred ones.
const RATE_PER_PREFERRED: f64 = 4.0;
/// Preferred targets in addition to those that the demand requires, for when the first ones are saturated or
/// gone.
const SPARE_PREFERRED: usize = 2;
/// Maximum number of preferred targets of one adapter.
const PREFERRED_LIMIT: usize = 16;
/// Maximum number of adapters whose order of preferred targets is cached.
const ORDER_LIMIT: usize = 8_192;
/// Share of the mean load wait that is added to a target's cost for each rank in the order of preferred
/// targets, unless the target holds the adapter. So requests for a rare adapter go to one target, and a
/// second copy is only loaded if the cost of the first choice is higher by more than noise.
const RANK_SHARE: f64 = 0.25;
/// Estimate of the wait for a load until a target has reported.
const INITIAL_LOAD_WAIT: Duration = Duration::from_millis(500);

/// Half-life of the demand that sets the number of preferred targets.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);

/// Round-trip times from this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneRoundTrips {
    /// To targets in the entry's own availability zone.
    pub own_zone: Duration,
    /// To targets in another zone of the entry's region.
    pub other_zone: Duration,
    /// To targets in another region.
    pub other_region: Duration,
}

impl Default for ZoneRoundTrips {
    fn default() -> Self {
        Self {
            own_zone: Duration::ZERO,
            other_zone: Duration::from_millis(3),
            other_region: Duration::from_millis(80),
        }
    }
}

/// Fixed properties of an entry.
#[derive(Clone, Debug)]
pub struct EntryOptions<P> {
    /// Region of the entry. Targets of other regions are used only if this region has none that is open.
    pub region: RegionName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Round-trip times from it to other zones and regions.
    pub round_trips: ZoneRoundTrips,
    /// Policy that picks a target among candidates.
    pub policy: P,
}

/// A request for which a target is chosen.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Adapter or service that the request needs.
    pub work: &'a WorkItem,
    /// Targets that already refused or failed this request.
    pub excluded: &'a [TargetName],
    /// A random number, to break ties.
    pub draw: u64,
}

/// The target that a request is offered to.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// Name of the target.
    pub target: TargetName,
    /// Address of its agent.
    pub peer: SocketAddr,
    /// Counter of the last resident set that the entry has received from the target.
    pub known_residency: u64,
}

#[derive(Debug)]
struct PreferredOrder {
    generation: u64,
    order: Vec<usize>,
    demand: DecayedCount,
}

/// Routing state of one entry.
#[derive(Debug)]
pub struct EntryState<P> {
    options: EntryOptions<P>,
    weights: CostWeights,
    targets: TargetTable,
    orders: HashMap<u64, PreferredOrder>,
    budget: RetryBudget,
    mean_load_wait: RunningMean,
}

impl<P: TargetPolicy> EntryState<P> {
    /// Starts without targets.
    pub fn new(options: EntryOptions<P>) -> Self {
        let preset = PresetRecord::new("initial");
        Self {
            options,
            weights: CostWeights { stall: preset.stall_weight, batch: preset.batch_weight },
            targets: TargetTable::default(),
            orders: HashMap::new(),
            budget: RetryBudget::new(preset.retry_ratio),
            mean_load_wait: RunningMean::new(INITIAL_LOAD_WAIT),
        }
    }

    /// Puts a preset's weights and limits in force.
    pub fn apply_preset(&mut self, preset: &PresetRecord) {
        self.weights = CostWeights { stall: preset.stall_weight, batch: preset.batch_weight };
        self.budget.set_ratio(preset.retry_ratio);
    }

    /// Replaces the known targets; the state of those that remain is kept.
    pub fn set_targets(&mut self, records: Vec<TargetRecord>) {
        self.targets.replace(records);
    }

    /// The known targets and the entry's view of them.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// The retry budget of this entry, shared by all its requests.
    pub fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Chooses a target. If there is none, the error proves that the request was not run.
    pub fn choose(
        &mut self,
        query: &RouteQuery<'_>,
        now: Timestamp,
    ) -> Result<RouteChoice, NotRunProof> {
        let kind = kind_of(query.work);
        let digest = digest_of(query.work);
        let candidates = self.candidates(&kind, digest, query.excluded, now);
        if candidates.is_empty() {
            return Err(self.no_target(&kind, now));
        }
        let picked = self.options.policy.pick(&candidates, self.weights, query.draw);
        let view = self.targets.view_mut(candidates[picked].target);
        view.offer_sent(digest);
        Ok(RouteChoice {
            target: view.record.name.clone(),
            peer: view.record.peer,
            known_residency: view.residency(),
        })
    }

    /// Applies a report that an agent sent with a frame.
    pub fn apply_report(&mut self, target: &TargetName, report: TargetReport) {
        self.mean_load_wait.record(report.load_wait);
        self.targets.apply_report(target, report);
    }

    /// Records that a request offered to `target` has ended with an answer.
    pub fn offer_answered(&mut self, target: &TargetName) {
        self.budget.record_success();
        if let Some(view) = self.targets.by_name_mut(target) {
            view.offer_ended();
            view.succeeded();
        }
    }

    /// Records that `target` refused an offer.
    pub fn offer_refused(&mut self, target: &TargetName, refusal: &Refusal, now: Timestamp) {
        let Some(view) = self.targets.by_name_mut(target) else { return };
        view.offer_ended();
        match refusal.reason {
            RefusalReason::Leaving => view.mark_draining(),
            // The agent answers quickly, so after the pause all requests may go to it. After a failure only
            // one request probes the target; the others would be refused meanwhile if it is the only one.
            RefusalReason::TargetDown | RefusalReason::NoLease | RefusalReason::QueueFull => {
                view.pause(refusal.retry_after, now);
            }
            _ => {}
        }
    }

    /// Records that an offer to `target` failed, or that its agent could not be reached.
    pub fn offer_failed(&mut self, target: &TargetName, now: Timestamp) {
        if let Some(view) = self.targets.by_name_mut(target) {
            view.offer_ended();
        }
        self.targets.failed(target, now);
    }

    /// Records that the caller of a request offered to `target` has left.
    pub fn offer_dropped(&mut self, target: &TargetName) {
        if let Some(view) = self.targets.by_name_mut(target) {
            view.offer_ended();
        }
    }

    fn candidates(
        &mut self,
        kind: &TargetKind,
        digest: Option<AdapterDigest>,
        excluded: &[TargetName],
        now: Timestamp,
    ) -> Vec<PolicyCandidate> {
        let pool = match digest {
            Some(digest) if self.options.policy.wants_preferred() => {
                self.preferred(kind, digest, now)
            }
            _ => self.targets.of_kind(kind).to_vec(),
        };
        let usable = self.usable(&pool, digest, excluded, now);
        if !usable.is_empty() {
            return usable;
        }
        // None of the preferred targets is open: fall back to all targets of the kind.
        let all = self.targets.of_kind(kind).to_vec();
        self.usable(&all, digest, excluded, now)
    }

    /// Targets of `pool` that are open and not excluded. Other regions' targets are used only if this
    /// region has none, so that regions which lose contact with each other continue on their own.
    fn usable(
        &self,
        pool: &[usize],
        digest: Option<AdapterDigest>,
        excluded: &[TargetName],
        now: Timestamp,
    ) -> Vec<PolicyCandidate> {
        let open = |index: &&usize| {
            let view = self.targets.view(**index);
            view.is_open(now) && !excluded.contains(&view.record.name)
        };
        let open: Vec<usize> = pool.iter().filter(open).copied().collect();
        let own_region =
            |index: &usize| self.targets.view(*index).record.region == self.options.region;
        let in_region: Vec<usize> = open.iter().copied().filter(own_region).collect();
        let chosen = if in_region.is_empty() { open } else { in_region };
        // A target that has not reported is assumed to have the shortest load wait of all: it reports only
        // after it has received an offer.
        let best = chosen.iter().filter_map(|&index| self.targets.view(index).load_wait()).min();
        let default_load_wait = best.unwrap_or(INITIAL_LOAD_WAIT);
        let ranked = chosen.into_iter().enumerate();
        ranked
            .map(|(rank, target)| self.candidate(target, rank, digest, default_load_wait))
            .collect()
    }

    fn candidate(
        &self,
        target: usize,
        rank: usize,
        digest: Option<AdapterDigest>,
        default_load_wait: Duration,
    ) -> PolicyCandidate {
        let view = self.targets.view(target);
        let mean_load_wait = self.mean_load_wait.read();
        let rank_wait = match digest {
            Some(digest) if !view.has_or_loads(digest) => {
                mean_load_wait.mul_f64(RANK_SHARE * rank as f64)
            }
            _ => Duration::ZERO,
        };
        let round_trip = self.round_trip(&view.record) + rank_wait;
        PolicyCandidate { target, estimate: view.estimate(digest, round_trip, default_load_wait) }
    }

    fn round_trip(&self, record: &TargetRecord) -> Duration {
        let round_trips = &self.options.round_trips;
        if record.region != self.options.region {
            round_trips.other_region
        } else if record.zone != self.options.zone {
            round_trips.other_zone
        } else {
            round_trips.own_zone
        }
    }

    /// The preferred targets of an adapter, whose number grows with its demand, and other targets known
    /// to hold it, at most `PREFERRED_LIMIT` in all.
    fn preferred(
        &mut self,
        kind: &TargetKind,
        digest: AdapterDigest,
        now: Timestamp,
    ) -> Vec<usize> {
        let generation = self.targets.generation();
        if self.orders.len() >= ORDER_LIMIT {
            self.orders.retain(|_, order| order.demand.read(now) > 0.5);
        }
        let order = self.orders.entry(digest).or_insert_with(|| PreferredOrder {
            generation: 0,
            order: Vec::new(),
            demand: DecayedCount::new(DEMAND_HALF_LIFE),
        });
        order.demand.record(now);
        if order.generation != generation {
            // An order over all regions' targets would leave some adapters without a preferred target
            // in this region, and send their requests to other regions while this one has capacity.
            let region = &self.options.region;
            let all = self.targets.of_kind(kind);
            let is_in_region = |index: &&usize| self.targets.view(**index).record.region == *region;
            let in_region: Vec<usize> = all.iter().filter(is_in_region).copied().collect();
            let nodes = if in_region.is_empty() { all } else { in_region.as_slice() };
            let nodes = nodes.iter();
            let nodes = nodes.map(|&index| (index, self.targets.view(index).record.name.as_ref()));
            order.order = rendezvous::first_choices(digest, nodes, PREFERRED_LIMIT);
            order.generation = generation;
        }
        let wanted = 1 + (order.demand.rate(now) / RATE_PER_PREFERRED) as usize;
        let count = (wanted + SPARE_PREFERRED).min(order.order.len());
        let mut preferred = order.order[..count].to_vec();
        for &holder in self.targets.holders(digest) {
            if !preferred.contains(&holder) && preferred.len() < PREFERRED_LIMIT {
                preferred.push(holder);
            }
        }
        preferred
    }

    fn no_target(&self, kind: &TargetKind, now: Timestamp) -> NotRunProof {
        let views = self.targets.of_kind(kind).iter().map(|&index| self.targets.view(index));
        let reopening = views.filter_map(|view| view.reopens_in(now)).min();
        let reason = match reopening {
            Some(_) => RefusalReason::QueueFull,
            None => RefusalReason::Unreachable,
        };
        NotRunProof::never_offered(reason, reopening)
    }
}

fn kind_of(work: &WorkItem) -> TargetKind {
    match work {
        WorkItem::Completion { base, .. } => TargetKind::Engine(base.clone()),
        WorkItem::Service { name } => TargetKind::Service(name.clone()),
    }
}

fn digest_of(work: &WorkItem) -> Option<AdapterDigest> {
    match work {
        WorkItem::Completion { key, .. } => Some(key.digest()),
        WorkItem::Service { .. } => None,
    }
}
