//! The entry's decisions: which target to offer a request to.

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

/// Rate, in requests a second, that one preferred target is expected to carry for one adapter
/// before the next one joins in.
const RATE_PER_PREFERRED: f64 = 4.0;
/// Preferred targets beyond those that demand asks for, to go to when the first are full or gone.
const SPARE_PREFERRED: usize = 2;
/// Most preferred targets of one adapter.
const PREFERRED_LIMIT: usize = 16;
/// Adapters whose order of preferred targets is kept.
const ORDER_LIMIT: usize = 8_192;
/// Share of a load's usual time that each step down the order of preferred targets costs, for a
/// target that does not hold the adapter. Requests for a rare adapter then meet at one target, and
/// a second copy is only loaded where the first choice is worse by more than its own noise.
const RANK_SHARE: f64 = 0.25;
/// First guess of the time that a load takes, until targets have reported.
const USUAL_LOAD_GUESS: Duration = Duration::from_millis(500);

/// Time in which the demand that widens the order of preferred targets falls to half.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);

/// Round trips from this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneRoundTrips {
    /// To its own availability zone.
    pub own_zone: Duration,
    /// To another zone of its region.
    pub other_zone: Duration,
    /// To another region.
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
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Round trips from it.
    pub round_trips: ZoneRoundTrips,
    /// How a target is picked.
    pub policy: P,
}

/// What to find a target for.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// What to run.
    pub work: &'a WorkItem,
    /// Targets that already refused or failed this request.
    pub excluded: &'a [TargetName],
    /// A random number.
    pub draw: u64,
}

/// The target to offer to.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// Its name.
    pub target: TargetName,
    /// Address of its agent.
    pub peer: SocketAddr,
    /// Counter of the last resident set seen from it.
    pub known_residency: u64,
}

#[derive(Debug)]
struct PreferredOrder {
    generation: u64,
    order: Vec<usize>,
    demand: DecayedCount,
}

/// State of one entry's decisions.
#[derive(Debug)]
pub struct EntryState<P> {
    options: EntryOptions<P>,
    weights: CostWeights,
    targets: TargetTable,
    orders: HashMap<u64, PreferredOrder>,
    budget: RetryBudget,
    usual_load: RunningMean,
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
            usual_load: RunningMean::new(USUAL_LOAD_GUESS),
        }
    }

    /// Puts a preset's weights and limits in force.
    pub fn apply_preset(&mut self, preset: &PresetRecord) {
        self.weights = CostWeights { stall: preset.stall_weight, batch: preset.batch_weight };
        self.budget.set_ratio(preset.retry_ratio);
    }

    /// Replaces the known targets; what is known of those that stay is kept.
    pub fn set_targets(&mut self, records: Vec<TargetRecord>) {
        self.targets.replace(records);
    }

    /// The known targets.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// The retry budget.
    pub fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Chooses a target, or proves that the request was not run because there is none.
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

    /// Takes in a report that came with an exchange.
    pub fn apply_report(&mut self, target: &TargetName, report: TargetReport) {
        self.usual_load.record(report.load_wait);
        self.targets.apply_report(target, report);
    }

    /// Notes that a request offered to `target` has ended with an answer.
    pub fn offer_answered(&mut self, target: &TargetName) {
        self.budget.record_success();
        if let Some(view) = self.targets.by_name_mut(target) {
            view.offer_ended();
            view.succeeded();
        }
    }

    /// Notes that `target` refused an offer.
    pub fn offer_refused(&mut self, target: &TargetName, refusal: &Refusal, now: Timestamp) {
        let Some(view) = self.targets.by_name_mut(target) else { return };
        view.offer_ended();
        match refusal.reason {
            RefusalReason::Leaving => view.leave(),
            // The agent answers, at once: after the pause all may ask it, and not only one request first
            // as after a failure, whose others would be told meanwhile that nobody can take them.
            RefusalReason::TargetDown | RefusalReason::NoLease | RefusalReason::QueueFull => {
                view.pause(refusal.retry_after, now);
            }
            _ => {}
        }
    }

    /// Notes that an offer to `target` failed, or that its agent could not be reached.
    pub fn offer_failed(&mut self, target: &TargetName, now: Timestamp) {
        if let Some(view) = self.targets.by_name_mut(target) {
            view.offer_ended();
        }
        self.targets.failed(target, now);
    }

    /// Notes that the caller of a request offered to `target` went away.
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
        // None of the preferred targets can take it: fall back to every target of the kind.
        let all = self.targets.of_kind(kind).to_vec();
        self.usable(&all, digest, excluded, now)
    }

    /// Targets that may be offered to. Other regions' come in only when this one has none, so that
    /// regions that lose each other each go on with what they have.
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
        let here: Vec<usize> = open.iter().copied().filter(own_region).collect();
        let chosen = if here.is_empty() { open } else { here };
        // A target without a report counts as good as the best: it must be asked to become known.
        let best = chosen.iter().filter_map(|&index| self.targets.view(index).load_wait()).min();
        let unknown_load = best.unwrap_or(USUAL_LOAD_GUESS);
        let ranked = chosen.into_iter().enumerate();
        ranked.map(|(rank, target)| self.candidate(target, rank, digest, unknown_load)).collect()
    }

    fn candidate(
        &self,
        target: usize,
        rank: usize,
        digest: Option<AdapterDigest>,
        unknown_load: Duration,
    ) -> PolicyCandidate {
        let view = self.targets.view(target);
        let usual_load = self.usual_load.read();
        let rank_wait = match digest {
            Some(digest) if !view.expects(digest) => usual_load.mul_f64(RANK_SHARE * rank as f64),
            _ => Duration::ZERO,
        };
        let round_trip = self.round_trip(&view.record) + rank_wait;
        PolicyCandidate { target, estimate: view.estimate(digest, round_trip, unknown_load) }
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

    /// The preferred targets of an adapter, more of them as its demand grows, and every other
    /// target known to hold it.
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
            // Ordering all regions' targets together would leave some adapters without a preferred
            // target here, and send their requests abroad while this region has room.
            let region = &self.options.region;
            let all = self.targets.of_kind(kind);
            let is_here = |index: &&usize| self.targets.view(**index).record.region == *region;
            let here: Vec<usize> = all.iter().filter(is_here).copied().collect();
            let nodes = if here.is_empty() { all } else { here.as_slice() };
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
