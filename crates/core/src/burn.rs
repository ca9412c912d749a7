//! Burn rates: how fast each class of requests uses up its error budgets.

use crate::{
    ids::{CallerName, Timestamp},
    priority::Priority,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

/// Length of one bucket.
const BUCKET_LENGTH: Duration = Duration::from_secs(10);
/// Number of buckets kept: one hour.
const BUCKET_COUNT: usize = 360;
/// Maximum number of names with a count. When a further name arrives, all names whose counts do not exceed the
/// median are dropped.
const NAME_LIMIT: usize = 512;
/// Number of names in a report: those with the largest counts.
const TOP_NAMES: usize = 10;

/// Lengths of the windows in a report, in seconds.
pub const BURN_WINDOWS: [u64; 3] = [60, 600, 3_600];

/// Service-level objectives of a class of requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceObjectives {
    /// Share of requests that get a complete answer.
    pub availability: f64,
    /// Limit of the time to the first byte, in milliseconds.
    pub first_byte_ms: u64,
    /// Share of answered requests whose first byte arrives within `first_byte_ms`.
    pub first_byte_share: f64,
    /// Limit of the load stall, in milliseconds.
    pub load_stall_ms: u64,
    /// Share of answered requests that stall no longer than `load_stall_ms`.
    pub load_stall_share: f64,
}

impl Default for ServiceObjectives {
    fn default() -> Self {
        Self {
            availability: 0.999,
            first_byte_ms: 1_900,
            first_byte_share: 0.95,
            load_stall_ms: 1_000,
            load_stall_share: 0.95,
        }
    }
}

impl ServiceObjectives {
    /// Checks the shares; the error names the field.
    pub fn check(&self) -> Result<(), String> {
        let shares = [
            ("availability", self.availability),
            ("first_byte_share", self.first_byte_share),
            ("load_stall_share", self.load_stall_share),
        ];
        for (field, share) in shares {
            if !(0.0..1.0).contains(&share) {
                return Err(format!("objectives.{field}: expected from 0 to below 1"));
            }
        }
        Ok(())
    }
}

/// How one request ended, as far as the objectives depend on it.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Priority of the request; requests are counted by priority.
    pub priority: Priority,
    /// Name of the caller.
    pub caller: CallerName,
    /// Name of the requested adapter or service.
    pub subject: String,
    /// Reason why the request got no complete answer; `None` if it got a complete one.
    pub failure: Option<&'static str>,
    /// Time until the first byte of the answer.
    pub first_byte: Duration,
    /// Time that it waited for its adapter.
    pub load_stall: Duration,
}

/// Counts of one class within one bucket or window.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BurnCounts {
    /// Requests that ended.
    pub ended: u64,
    /// Requests without a complete answer.
    pub failed: u64,
    /// Answered requests with a late first byte.
    pub late: u64,
    /// Answered requests with too long a load stall.
    pub stalled: u64,
}

impl BurnCounts {
    /// Adds the counts of another bucket or entry.
    pub fn add(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        self.late += other.late;
        self.stalled += other.stalled;
    }

    /// Burn rate of each budget: 1 uses it up exactly, 10 uses it up ten times as fast.
    pub fn rates(&self, objectives: &ServiceObjectives) -> BurnRates {
        let answered = self.ended - self.failed;
        BurnRates {
            availability: burn(self.failed, self.ended, objectives.availability),
            first_byte: burn(self.late, answered, objectives.first_byte_share),
            load_stall: burn(self.stalled, answered, objectives.load_stall_share),
        }
    }
}

fn burn(bad: u64, all: u64, objective: f64) -> f64 {
    if all == 0 {
        return 0.0;
    }
    bad as f64 / all as f64 / (1.0 - objective)
}

/// Burn rate of each budget; 0 while there are no requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BurnRates {
    /// Burn rate of the availability budget.
    pub availability: f64,
    /// Burn rate of the first-byte budget.
    pub first_byte: f64,
    /// Burn rate of the load-stall budget.
    pub load_stall: f64,
}

/// Counts from which an entry's burn rates are computed, and the names and reasons with the most failures.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// Counts by window in seconds, then by priority.
    pub windows: BTreeMap<u64, BTreeMap<String, BurnCounts>>,
    /// Adapters and services with the most failures and stalls.
    pub subjects: Vec<(String, u64)>,
    /// Callers with the most failures and stalls.
    pub callers: Vec<(String, u64)>,
    /// Failures by reason.
    pub reasons: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct BurnBucket {
    start: Timestamp,
    classes: [BurnCounts; 3],
}

/// Counts of the last hour by class, and counts by name and reason since the start, in bounded memory.
#[derive(Debug, Default)]
pub struct BurnLedger {
    buckets: VecDeque<BurnBucket>,
    subjects: NameCounts,
    callers: NameCounts,
    reasons: BTreeMap<&'static str, u64>,
}

impl BurnLedger {
    /// Counts one ended request.
    pub fn record(
        &mut self,
        outcome: &RequestOutcome,
        objectives: &ServiceObjectives,
        now: Timestamp,
    ) {
        let late = outcome.first_byte > Duration::from_millis(objectives.first_byte_ms);
        let stalled = outcome.load_stall > Duration::from_millis(objectives.load_stall_ms);
        let failed = outcome.failure.is_some();
        let counts = &mut self.bucket(now).classes[outcome.priority.rank()];
        counts.ended += 1;
        counts.failed += u64::from(failed);
        counts.late += u64::from(!failed && late);
        counts.stalled += u64::from(!failed && stalled);
        if failed || stalled {
            self.subjects.record(&outcome.subject);
            self.callers.record(&outcome.caller);
        }
        if let Some(reason) = outcome.failure {
            *self.reasons.entry(reason).or_default() += 1;
        }
    }

    /// Builds the report over the windows that end at `now`.
    pub fn report(&self, now: Timestamp) -> BurnReport {
        let windows = BURN_WINDOWS.map(|window| (window, self.window(window, now)));
        let reasons = self.reasons.iter().map(|(reason, count)| ((*reason).to_owned(), *count));
        BurnReport {
            windows: windows.into_iter().collect(),
            subjects: self.subjects.top(),
            callers: self.callers.top(),
            reasons: reasons.collect(),
        }
    }

    fn window(&self, seconds: u64, now: Timestamp) -> BTreeMap<String, BurnCounts> {
        let from = now.saturating_sub(Duration::from_secs(seconds));
        let mut classes = [BurnCounts::default(); 3];
        for bucket in self.buckets.iter().filter(|bucket| bucket.start >= from) {
            for (sum, counts) in classes.iter_mut().zip(&bucket.classes) {
                sum.add(counts);
            }
        }
        let named = Priority::ALL.iter().zip(classes);
        named.map(|(priority, counts)| (priority.name().to_owned(), counts)).collect()
    }

    fn bucket(&mut self, now: Timestamp) -> &mut BurnBucket {
        let is_new = self.buckets.back().is_none_or(|last| now >= last.start + BUCKET_LENGTH);
        if is_new {
            if self.buckets.len() == BUCKET_COUNT {
                self.buckets.pop_front();
            }
            let classes = [BurnCounts::default(); 3];
            self.buckets.push_back(BurnBucket { start: now, classes });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}

/// Failures and stalls by name, for at most [`NAME_LIMIT`] names.
#[derive(Debug, Default)]
struct NameCounts(HashMap<String, u64>);

impl NameCounts {
    fn record(&mut self, name: &str) {
        if let Some(count) = self.0.get_mut(name) {
            *count += 1;
            return;
        }
        if self.0.len() >= NAME_LIMIT {
            let mut counts: Vec<u64> = self.0.values().copied().collect();
            counts.sort_unstable();
            let median = counts[counts.len() / 2];
            self.0.retain(|_, count| *count > median);
        }
        self.0.insert(name.to_owned(), 1);
    }

    fn top(&self) -> Vec<(String, u64)> {
        let mut names: Vec<(String, u64)> =
            self.0.iter().map(|(name, count)| (name.clone(), *count)).collect();
        names.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        names.truncate(TOP_NAMES);
        names
    }
}
