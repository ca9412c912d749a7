//! How much adapters are wanted over the fleet, as one router can tell.
//!
//! Pattern: thirty routers share the calls, and each sees a thirtieth of those for an adapter. What one
//! router sees, times their number, is right on the mean and useless for a single adapter: a call that has
//! just come would count as twenty a second, and every rare adapter would get three copies. The loader of
//! an engine hears of all calls for the adapters there, so its word goes first. A router's own count only
//! tells of an adapter that has become wanted within the last moments, once several calls came together.

use super::{
    call::AdapterId,
    membership::{BaseHolding, InstanceId},
    messages::LoaderReport,
};
use crate::{demand::DecayedCount, ids::Timestamp};
use std::{collections::HashMap, time::Duration};

/// Half-life of counts that decide how many copies an adapter gets: popularity moves within seconds, and
/// until copies follow, one engine gets all calls for an adapter.
pub const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Adapters whose calls are counted; beyond it the least wanted are forgotten. Bounds memory at about
/// 100 bytes each.
const COUNT_LIMIT: usize = 4_096;
/// Count below which an adapter is forgotten when there are too many.
const COUNT_FLOOR: f64 = 0.1;
/// Other calls for an adapter at this router within the last moments from which its own count says anything.
/// One or two come together by chance, and with them, times the routers, a rare adapter would get as many
/// copies as a busy one: with 68 routers, adapters of two calls a minute were loaded at five engines.
const CHANCE_CALLS: f64 = 2.5;
/// Reported rates are in tenths of a call a second.
const RATE_STEP: f64 = 0.1;

/// A rate as reports carry it.
pub fn encode_rate(calls_a_second: f64) -> u16 {
    (calls_a_second / RATE_STEP).round().clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Time for which reported rates are believed: a router hears of an engine only while it has calls there.
const RATE_TTL: Duration = Duration::from_secs(5);

/// Rates that one engine's loader reported.
#[derive(Debug)]
struct ReportedRates {
    at: Timestamp,
    rates: Vec<(AdapterId, f64)>,
}

/// Counts of this router, and rates that loaders report.
#[derive(Debug, Default)]
pub struct FleetDemand {
    own: HashMap<AdapterId, DecayedCount>,
    by_engine: HashMap<InstanceId, ReportedRates>,
    /// Sums of the reported rates.
    reported: HashMap<AdapterId, f64>,
}

impl FleetDemand {
    /// Counts a call that came to this router.
    pub fn record(&mut self, adapter: &AdapterId, now: Timestamp) {
        let count = self.own.entry(adapter.clone());
        count.or_insert_with(|| DecayedCount::new(RECENT_HALF_LIFE)).record(now);
    }

    /// Forgets what is wanted least, if there is too much, and what was reported too long ago.
    pub fn expire(&mut self, now: Timestamp) {
        if self.own.len() > COUNT_LIMIT {
            self.own.retain(|_, count| count.read(now) > COUNT_FLOOR);
        }
        let is_old = |told: &ReportedRates| now.saturating_sub(told.at) >= RATE_TTL;
        let old = self.by_engine.extract_if(|_, told| is_old(told));
        for (_, told) in old.collect::<Vec<_>>() {
            self.subtract(&told);
        }
    }

    /// Takes the rates that a loader reports, in place of its earlier ones.
    pub fn take_report(&mut self, report: &LoaderReport, now: Timestamp) {
        let adapters = report.holdings.iter().flat_map(BaseHolding::adapter_ids);
        let rates = adapters.zip(&report.rates).filter(|(_, rate)| **rate > 0);
        let rates = rates.map(|(adapter, rate)| (adapter, f64::from(*rate) * RATE_STEP));
        let told = ReportedRates { at: now, rates: rates.collect() };
        for (adapter, rate) in &told.rates {
            *self.reported.entry(adapter.clone()).or_default() += rate;
        }
        if let Some(earlier) = self.by_engine.insert(report.incarnation.id.clone(), told) {
            self.subtract(&earlier);
        }
    }

    fn subtract(&mut self, told: &ReportedRates) {
        for (adapter, rate) in &told.rates {
            let Some(sum) = self.reported.get_mut(adapter) else { continue };
            *sum -= rate;
            // Less than a step is what rounding leaves of nothing.
            if *sum < RATE_STEP / 2.0 {
                self.reported.remove(adapter);
            }
        }
    }

    /// Calls a second for an adapter over the fleet of `routers`.
    pub fn rate(&self, adapter: &AdapterId, routers: usize, now: Timestamp) -> f64 {
        let reported = self.reported.get(adapter).copied().unwrap_or(0.0);
        // The call for which this is asked says nothing of others.
        let others = self.own.get(adapter).map_or(0.0, |count| count.read(now) - 1.0);
        let others = if others < CHANCE_CALLS { 0.0 } else { others };
        let own = others * std::f64::consts::LN_2 / RECENT_HALF_LIFE.as_secs_f64();
        reported.max(own * routers as f64)
    }

    /// Adapters that callers of this router wanted lately, and that are wanted at least `rate` times a
    /// second over the fleet of `routers`. Only the routers that have calls for an adapter care for its
    /// copies: with all of them, what they tell loaders would grow with routers times adapters.
    pub fn wanted(&self, rate: f64, routers: usize, now: Timestamp) -> Vec<AdapterId> {
        let lately = self.own.iter().filter(|(_, count)| count.read(now) > COUNT_FLOOR);
        let wanted = lately.filter(|(adapter, _)| self.rate(adapter, routers, now) >= rate);
        wanted.map(|(adapter, _)| adapter.clone()).collect()
    }
}
