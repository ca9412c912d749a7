//! Detection of poison requests: requests that crash the targets which run them.
//!
//! A caller sends such a request again under a new id, through any router, and it crashes one target after
//! another; the other calls at these targets fail too. A router rarely sees more than one of these crashes, and
//! cannot know which of the broken calls caused it. So each router reports which calls were at a target when
//! it ended; a call that was at [`QUARANTINE_CRASHES`] ended targets is not sent to any target again.
//!
//! A report holds all records of its sender and is identified by the sender's boot id and a sequence
//! number, so lost, late and duplicate reports only cost time. A restarted router reads all reports from
//! the store.

mod report;
mod runs;

use crate::{
    direct::membership::TargetIncarnation,
    fingerprint::CallFingerprint,
    ids::{BootId, Timestamp},
};
pub use report::{
    CrashRecord, CrashReport, CrashReports, IncarnationHash, RECORD_LIMIT, REPORT_TTL,
};
pub use runs::{IncarnationPhase, UnresolvedRun, UnresolvedRuns};
use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Number of targets that must have ended while they ran a call before the call is quarantined. An innocent
/// call may share one crash by chance, and a second one if its caller's only retry runs beside the same poison
/// request; a third is not chance.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time for which a crash counts against a call. Callers give up on a request within a minute or so. A
/// poison request that is sent once an hour costs three targets each time; a call that was quarantined by
/// mistake is served again after this time.
pub const CRASH_TTL: Duration = Duration::from_mins(10);

/// Time after a completed run in which a newly recorded crash does not count against the call. It is the
/// longest time that a crash takes to be detected and reported.
const SURVIVAL_TTL: Duration = Duration::from_secs(10);
/// Maximum number of recently completed calls that a router remembers: some 100 a second over
/// [`SURVIVAL_TTL`]. Bounds memory at about 50 kB.
const SURVIVOR_LIMIT: usize = 1_024;

/// Crash records of a router: its own and those that others reported.
#[derive(Debug)]
pub struct CrashLedger {
    own: CrashReport,
    /// Time at which each of the own crashes was recorded, in the order of the report.
    recorded: VecDeque<Timestamp>,
    received: CrashReports,
    /// Calls of which a run completed recently, with the time of the last one.
    survivors: HashMap<CallFingerprint, Timestamp>,
}

impl CrashLedger {
    /// An empty ledger for a router that has just started.
    pub fn new(router: Arc<str>, boot: BootId) -> Self {
        let own = CrashReport { router, boot, ..CrashReport::default() };
        Self {
            own,
            recorded: VecDeque::new(),
            received: CrashReports::default(),
            survivors: HashMap::new(),
        }
    }

    /// The report that this router sends to the others.
    pub fn own_report(&self) -> &CrashReport {
        &self.own
    }

    /// Records that a target ended while it ran these calls. Returns whether the own report has changed.
    pub fn record_crash(
        &mut self,
        target: &TargetIncarnation,
        calls: &[CallFingerprint],
        now: Timestamp,
    ) -> bool {
        let before = self.own.sequence;
        // Calls with earlier crashes are added first, so that records of the other calls do not evict theirs.
        let mut calls = calls.to_vec();
        calls.sort_by_cached_key(|call| Reverse(self.crashes_under(*call)));
        for &call in &calls {
            let record = CrashRecord::new(call, target);
            if self.own.crashes.contains(&record) {
                continue;
            }
            if self.own.crashes.len() >= RECORD_LIMIT {
                self.evict_record();
            }
            self.own.crashes.push(record);
            self.recorded.push_back(now);
            self.own.sequence += 1;
        }
        let records: Vec<CrashRecord> =
            calls.iter().map(|call| CrashRecord::new(*call, target)).collect();
        self.clear_survivors(&records, now);
        self.own.sequence != before
    }

    /// Drops the oldest record of a call with a single crash; if there is none, drops the oldest record. Most
    /// calls of an ended target are innocent, and their records must not evict those of a call that ends one
    /// target after another.
    fn evict_record(&mut self) {
        let mut crashes = self.own.crashes.iter();
        let index = crashes.position(|record| self.crashes_under(record.call) < 2).unwrap_or(0);
        self.own.crashes.remove(index);
        self.recorded.remove(index);
    }

    /// Records that a run of the call has completed. This clears one of its earlier crashes, and the crashes
    /// that are recorded within `SURVIVAL_TTL` after it. Returns whether there was an earlier crash to clear.
    pub fn record_survival(&mut self, call: CallFingerprint, now: Timestamp) -> bool {
        if self.survivors.len() >= SURVIVOR_LIMIT {
            self.survivors.retain(|_, at| now.saturating_sub(*at) < SURVIVAL_TTL);
        }
        if self.survivors.len() < SURVIVOR_LIMIT || self.survivors.contains_key(&call) {
            self.survivors.insert(call, now);
        }
        if self.is_empty() {
            return false;
        }
        let Some(target) = self.counted_crashes(call).first().copied() else { return false };
        self.clear(CrashRecord { call, target });
        true
    }

    /// Clears the crashes in `records` whose calls have completed recently. A crash is detected and reported
    /// up to seconds after it happened; a call that is sent many times a second has completed again by then.
    fn clear_survivors(&mut self, records: &[CrashRecord], now: Timestamp) {
        for record in records {
            let survived = self.survivors.get(&record.call);
            let is_recent = survived.is_some_and(|at| now.saturating_sub(*at) < SURVIVAL_TTL);
            if is_recent && self.counted_crashes(record.call).contains(&record.target) {
                self.clear(*record);
            }
        }
    }

    fn clear(&mut self, record: CrashRecord) {
        if self.own.survivals.len() >= RECORD_LIMIT {
            self.own.survivals.remove(0);
        }
        self.own.survivals.push(record);
        self.own.sequence += 1;
    }

    /// Applies another router's report; returns whether it is new. The own report changes too if the
    /// report names calls that have completed here recently.
    pub fn take_report(&mut self, report: &Arc<CrashReport>, now: Timestamp) -> bool {
        let is_new = report.boot != self.own.boot && self.received.take(report, now);
        if is_new {
            self.clear_survivors(&report.crashes, now);
        }
        is_new
    }

    /// Raises the own report's sequence number, so that it is published again before it expires at the other
    /// routers, which also count the fleet by these reports.
    pub fn renew(&mut self) {
        self.own.sequence += 1;
    }

    /// Drops crashes and reports that are too old; returns whether the own report has changed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        self.received.expire(now);
        let is_old = |at: &Timestamp| now.saturating_sub(*at) >= CRASH_TTL;
        let count = self.recorded.iter().take_while(|at| is_old(at)).count();
        if count == 0 {
            return false;
        }
        self.recorded.drain(..count);
        self.own.crashes.drain(..count);
        if self.own.crashes.is_empty() {
            self.own.survivals.clear();
        }
        self.own.sequence += 1;
        true
    }

    /// Whether there are no records, so that no call needs to be checked.
    pub fn is_empty(&self) -> bool {
        self.own.size() == 0 && self.received.iter().all(|report| report.size() == 0)
    }

    /// Number of targets that ended while they ran the call, without those that a completed run cleared.
    pub fn crashes_under(&self, call: CallFingerprint) -> usize {
        self.counted_crashes(call).len()
    }

    /// Whether a call is quarantined and must not be sent to any target: at least [`QUARANTINE_CRASHES`]
    /// targets ended while they ran it, and no other call is the likelier cause of these ends.
    pub fn is_quarantined(&self, call: CallFingerprint) -> bool {
        if self.is_empty() {
            return false;
        }
        let targets = self.counted_crashes(call);
        if targets.len() < QUARANTINE_CRASHES {
            return false;
        }
        let attributed =
            targets.iter().filter(|target| !self.has_likelier_cause(**target, targets.len()));
        attributed.count() >= QUARANTINE_CRASHES
    }

    /// Whether another call that ran at this ended target has more than `crashes` crashes, and so is the
    /// likelier cause of the end. A poison request that ends one target after another leaves many innocent
    /// calls with a few crashes each, but none with as many as its own.
    fn has_likelier_cause(&self, target: IncarnationHash, crashes: usize) -> bool {
        let records = self.reports().flat_map(|report| &report.crashes);
        let calls: HashSet<CallFingerprint> =
            records.filter(|record| record.target == target).map(|record| record.call).collect();
        calls.into_iter().any(|call| {
            let others = self.counted_crashes(call);
            others.len() > crashes && others.contains(&target)
        })
    }

    /// All quarantined calls.
    pub fn quarantined_calls(&self) -> HashSet<CallFingerprint> {
        let mut targets: HashMap<CallFingerprint, BTreeSet<IncarnationHash>> = HashMap::new();
        for record in self.reports().flat_map(|report| &report.crashes) {
            targets.entry(record.call).or_default().insert(record.target);
        }
        let suspects =
            targets.into_iter().filter(|(_, targets)| targets.len() >= QUARANTINE_CRASHES);
        suspects.map(|(call, _)| call).filter(|call| self.is_quarantined(*call)).collect()
    }

    /// This router's report and those of all other senders.
    fn reports(&self) -> impl Iterator<Item = &CrashReport> + Clone {
        self.received.iter().map(|report| &**report).chain([&self.own])
    }

    /// Targets that ended while they ran the call, without those that a completed run cleared.
    fn counted_crashes(&self, call: CallFingerprint) -> BTreeSet<IncarnationHash> {
        let of_call = |records: &[CrashRecord]| -> Vec<IncarnationHash> {
            let own = records.iter().filter(|record| record.call == call);
            own.map(|record| record.target).collect()
        };
        let crashes: BTreeSet<IncarnationHash> =
            self.reports().flat_map(|report| of_call(&report.crashes)).collect();
        let survivals: BTreeSet<IncarnationHash> =
            self.reports().flat_map(|report| of_call(&report.survivals)).collect();
        &crashes - &survivals
    }
}
