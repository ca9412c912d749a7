//! Estimate of the demand for each adapter over the fleet, at one router.
//!
//! With thirty routers, each sees a thirtieth of an adapter's calls. That count times the number of routers is right
//! on average, but useless for a single adapter: one recent call would count as twenty a second, and every rare
//! adapter would get three copies. Loaders know all calls for the adapters of their engines, so their reported rates
//! come first. A router's own count only adds adapters whose demand rose within the last moments, once it has seen
//! several calls. A balancer may send most calls to one router for a while; that router compares its own counts with
//! the reported rates, and does not multiply them by the number of routers.

use super::{
    call::AdapterId,
    membership::{BaseHolding, InstanceId},
    messages::LoaderReport,
};
use crate::{demand::DecayedCount, ids::Timestamp};
use std::{collections::HashMap, time::Duration};

/// Half-life of the counts that decide how many copies an adapter gets. Popularity changes within seconds, and until
/// there are more copies, one engine gets all calls for the adapter.
pub const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Maximum of adapters whose calls are counted; above it those with the lowest counts are dropped. Bounds memory, at
/// about 100 bytes each.
const COUNT_LIMIT: usize = 4_096;
/// Count at or below which an adapter is dropped when there are too many, and counts as unused.
const COUNT_FLOOR: f64 = 0.1;
/// Recent calls for an adapter at this router, apart from the current one, below which its own count is ignored. One
/// or two may coincide by chance; multiplied by the number of routers, they would give a rare adapter as many copies
/// as a busy one: with 68 routers, adapters of two calls a minute were loaded at five engines.
const MIN_OWN_CALLS: f64 = 2.5;
/// Multiple of an even share of the fleet's calls from which a router counts as preferred: by chance, the shares of
/// routers differ by less.
const PREFERRED_SHARE: f64 = 2.0;
/// Unit of reported rates, in calls a second.
const RATE_STEP: f64 = 0.1;

/// Encodes a rate for a report, in units of `RATE_STEP`.
pub fn encode_rate(calls_a_second: f64) -> u16 {
    (calls_a_second / RATE_STEP).round().clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Time for which reported rates are used: a router gets an engine's reports only while it has calls there.
const RATE_TTL: Duration = Duration::from_secs(5);

/// Rates of calls a second that one engine's loader reported.
#[derive(Debug)]
struct ReportedRates {
    at: Timestamp,
    rates: Vec<(AdapterId, f64)>,
}

/// This router's own call counts, and the rates that loaders report.
#[derive(Debug, Default)]
pub struct FleetDemand {
    own: HashMap<AdapterId, DecayedCount>,
    by_engine: HashMap<InstanceId, ReportedRates>,
    /// Sums of the reported rates over all engines.
    reported: HashMap<AdapterId, f64>,
    /// Calls of the fleet for each call of this router, by the reported rates; `None` if it has too few calls to tell.
    calls_per_own: Option<f64>,
}

impl FleetDemand {
    /// Counts a call for an adapter at this router.
    pub fn record(&mut self, adapter: &AdapterId, now: Timestamp) {
        let count = self.own.entry(adapter.clone());
        count.or_insert_with(|| DecayedCount::new(RECENT_HALF_LIFE)).record(now);
    }

    /// Drops the lowest counts if there are too many, and reported rates that are too old.
    pub fn expire(&mut self, now: Timestamp) {
        if self.own.len() > COUNT_LIMIT {
            self.own.retain(|_, count| count.read(now) > COUNT_FLOOR);
        }
        let is_expired =
            |engine_rates: &ReportedRates| now.saturating_sub(engine_rates.at) >= RATE_TTL;
        let expired = self.by_engine.extract_if(|_, engine_rates| is_expired(engine_rates));
        for (_, engine_rates) in expired.collect::<Vec<_>>() {
            self.subtract(&engine_rates);
        }
        self.compare_rates(now);
    }

    /// Compares this router's calls for the reported adapters with those of the fleet.
    fn compare_rates(&mut self, now: Timestamp) {
        let own = self.reported.keys().filter_map(|adapter| self.own.get(adapter));
        let own: f64 = own.map(|count| count.read(now)).sum();
        let reported: f64 = self.reported.values().sum();
        self.calls_per_own = (own >= MIN_OWN_CALLS).then(|| reported / own_rate(own));
    }

    /// Number by which this router's counts are multiplied: that of all routers, or less if the platform's balancer sends
    /// this router far more calls than the others.
    fn fleet_factor(&self, routers: usize) -> f64 {
        let routers = routers as f64;
        let seen = self.calls_per_own.filter(|seen| seen * PREFERRED_SHARE <= routers);
        seen.map_or(routers, |seen| seen.max(1.0))
    }

    /// Replaces the rates of an engine by those of its loader's new report.
    pub fn take_report(&mut self, report: &LoaderReport, now: Timestamp) {
        let adapters = report.holdings.iter().flat_map(BaseHolding::adapter_ids);
        let rates = adapters.zip(&report.rates).filter(|(_, rate)| **rate > 0);
        let rates = rates.map(|(adapter, rate)| (adapter, f64::from(*rate) * RATE_STEP));
        let engine_rates = ReportedRates { at: now, rates: rates.collect() };
        for (adapter, rate) in &engine_rates.rates {
            *self.reported.entry(adapter.clone()).or_default() += rate;
        }
        if let Some(earlier) = self.by_engine.insert(report.incarnation.id.clone(), engine_rates) {
            self.subtract(&earlier);
        }
    }

    fn subtract(&mut self, engine_rates: &ReportedRates) {
        for (adapter, rate) in &engine_rates.rates {
            let Some(sum) = self.reported.get_mut(adapter) else { continue };
            *sum -= rate;
            // A sum of less than half a step is a rounding error of zero.
            if *sum < RATE_STEP / 2.0 {
                self.reported.remove(adapter);
            }
        }
    }

    /// Calls a second for an adapter over the fleet of `routers`.
    pub fn rate(&self, adapter: &AdapterId, routers: usize, now: Timestamp) -> f64 {
        let reported = self.reported.get(adapter).copied().unwrap_or(0.0);
        // The call for which the rate is read is not evidence of other calls.
        let others = self.own.get(adapter).map_or(0.0, |count| count.read(now) - 1.0);
        let others = if others < MIN_OWN_CALLS { 0.0 } else { others };
        reported.max(own_rate(others) * self.fleet_factor(routers))
    }

    /// Adapters that this router's callers used within the last seconds, with at least `rate` calls a second over the
    /// fleet of `routers`. Only routers that have calls for an adapter maintain its copies; if all did, their load
    /// requests would grow with the number of routers times that of adapters.
    pub fn wanted(&self, rate: f64, routers: usize, now: Timestamp) -> Vec<AdapterId> {
        let recent = self.own.iter().filter(|(_, count)| count.read(now) > COUNT_FLOOR);
        let wanted = recent.filter(|(adapter, _)| self.rate(adapter, routers, now) >= rate);
        wanted.map(|(adapter, _)| adapter.clone()).collect()
    }
}

/// Calls a second that a decayed count stands for.
fn own_rate(count: f64) -> f64 {
    count * std::f64::consts::LN_2 / RECENT_HALF_LIFE.as_secs_f64()
}
