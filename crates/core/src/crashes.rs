//! Requests that end the targets which run them, and how all routers come to know them.
//!
//! Pattern: a request whose run ends its target comes again under a new id, at any router, and takes target
//! after target down with all that they have in flight. A router rarely sees more than one of these
//! crashes, and cannot tell which of the broken calls was at fault. So each router reports which calls were
//! at a target when it ended; a call that was at [`QUARANTINE_CRASHES`] of them is not handed to any more.
//!
//! Reports are whole and kept by their sender's start and number: lost, late and doubled ones cost time
//! alone. A restarted router reads what all have reported from where it is kept.

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

/// Targets that must have ended under a call before it is quarantined. An innocent call shares one crash by
/// chance, and two if its caller's one retry meets the same culprit; the third is what no chance explains.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time for which a crash counts against a call. Callers give up on a request within a minute or so; one that
/// comes by the hour costs three targets each time, and a call quarantined by mistake is free after this.
pub const CRASH_TTL: Duration = Duration::from_mins(10);

/// Time for which a run that came to its end speaks for its call against crashes that show only afterwards:
/// as long as a crash may take to show, and its report to come.
const SURVIVAL_TTL: Duration = Duration::from_secs(10);
/// Calls whose runs came to their ends lately, that a router remembers: some 100 a second. Bounds memory at
/// about 50 kB.
const SURVIVOR_LIMIT: usize = 1_024;

/// What a router knows of crashes, its own and those that others reported.
#[derive(Debug)]
pub struct CrashLedger {
    own: CrashReport,
    /// When each of the own crashes was recorded, in the order of the report.
    recorded: VecDeque<Timestamp>,
    told: CrashReports,
    /// Calls whose runs came to their ends lately, and when the last one did.
    survivors: HashMap<CallFingerprint, Timestamp>,
}

impl CrashLedger {
    /// Starts with nothing known, at a start of a router.
    pub fn new(router: Arc<str>, boot: BootId) -> Self {
        let own = CrashReport { router, boot, ..CrashReport::default() };
        Self {
            own,
            recorded: VecDeque::new(),
            told: CrashReports::default(),
            survivors: HashMap::new(),
        }
    }

    /// What this router reports to the others.
    pub fn own_report(&self) -> &CrashReport {
        &self.own
    }

    /// A target ended while it had these calls. Returns whether the own report has changed.
    pub fn record_crash(
        &mut self,
        target: &TargetIncarnation,
        calls: &[CallFingerprint],
        now: Timestamp,
    ) -> bool {
        let before = self.own.sequence;
        // Those against which crashes speak already come first, so that the others do not push these out.
        let mut calls = calls.to_vec();
        calls.sort_by_cached_key(|call| Reverse(self.crashes_under(*call)));
        for &call in &calls {
            let record = CrashRecord::new(call, target);
            if self.own.crashes.contains(&record) {
                continue;
            }
            if self.own.crashes.len() >= RECORD_LIMIT {
                self.make_room();
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

    /// Drops the oldest crash of a call that has no other, or else the oldest: the calls of a target that
    /// ended are mostly innocent, and must not push out one that ends target after target.
    fn make_room(&mut self) {
        let mut crashes = self.own.crashes.iter();
        let index = crashes.position(|record| self.crashes_under(record.call) < 2).unwrap_or(0);
        self.own.crashes.remove(index);
        self.recorded.remove(index);
    }

    /// A run of the call has come to its end, so that one crash less speaks against it, and none that
    /// shows only now. Returns whether any did.
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
        let Some(target) = self.counted(call).first().copied() else { return false };
        self.clear(CrashRecord { call, target });
        true
    }

    /// Has those of these crashes count no more whose calls came to their ends lately. A crash shows, and is
    /// reported, up to seconds after it; a call that is sent many times a second has survived by then.
    fn clear_survivors(&mut self, records: &[CrashRecord], now: Timestamp) {
        for record in records {
            let survived = self.survivors.get(&record.call);
            let is_recent = survived.is_some_and(|at| now.saturating_sub(*at) < SURVIVAL_TTL);
            if is_recent && self.counted(record.call).contains(&record.target) {
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

    /// Takes another router's report; returns whether it is new. The own report changes too if calls are
    /// among it that came to their ends here lately.
    pub fn take_report(&mut self, report: &Arc<CrashReport>, now: Timestamp) -> bool {
        let is_news = report.boot != self.own.boot && self.told.take(report, now);
        if is_news {
            self.clear_survivors(&report.crashes, now);
        }
        is_news
    }

    /// Has the own report sent anew, so that the others go on counting this router.
    pub fn renew(&mut self) {
        self.own.sequence += 1;
    }

    /// Drops what no longer counts; returns whether the own report has changed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        self.told.expire(now);
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

    /// Whether nothing is known, so that no call need be looked at.
    pub fn is_empty(&self) -> bool {
        self.own.size() == 0 && self.told.iter().all(|report| report.size() == 0)
    }

    /// Targets that have ended under a call and count against it.
    pub fn crashes_under(&self, call: CallFingerprint) -> usize {
        self.counted(call).len()
    }

    /// Whether a call is quarantined and must not be handed to any target: enough have ended under it, of
    /// which no other call is the likelier cause.
    pub fn is_quarantined(&self, call: CallFingerprint) -> bool {
        if self.is_empty() {
            return false;
        }
        let targets = self.counted(call);
        if targets.len() < QUARANTINE_CRASHES {
            return false;
        }
        let unexplained =
            targets.iter().filter(|target| !self.is_explained(**target, targets.len()));
        unexplained.count() >= QUARANTINE_CRASHES
    }

    /// Whether some call was at a target when it ended that has been at more ends than `crashes`. A call
    /// that ends target after target leaves many innocent ones with a few crashes each, but none of them
    /// with as many as its own.
    fn is_explained(&self, target: IncarnationHash, crashes: usize) -> bool {
        let records = self.reports().flat_map(|report| &report.crashes);
        let calls: HashSet<CallFingerprint> =
            records.filter(|record| record.target == target).map(|record| record.call).collect();
        calls.into_iter().any(|call| {
            let others = self.counted(call);
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

    /// This router's report and those of all others.
    fn reports(&self) -> impl Iterator<Item = &CrashReport> + Clone {
        self.told.iter().map(|report| &**report).chain([&self.own])
    }

    fn counted(&self, call: CallFingerprint) -> BTreeSet<IncarnationHash> {
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
