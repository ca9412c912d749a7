//! Detection of requests and prompt parts that crash the targets which run them.
//!
//! A caller sends such a request again under a new id, through any router, and it crashes one target after
//! another; or calls that are all different share a part of their prompts that does. The other calls at these targets
//! fail too. A router rarely sees more than one of these crashes, and cannot know which of the broken calls caused it.
//! So each router reports what was at a target when it ended: the fingerprint of each call, and the parts of each
//! prompt that the target had not begun to answer. A suspect with [`QUARANTINE_CRASHES`] ended targets is held back.
//!
//! A report holds all records of its sender and is identified by the sender's boot id and a sequence
//! number, so lost, late and duplicate reports only cost time. A restarted router reads all reports from
//! the store, and takes over the records of its previous start.

mod index;
mod report;
mod runs;
mod survivors;
mod suspects;
mod verdicts;

use crate::{
    direct::membership::TargetIncarnation,
    fingerprint::{CallFingerprint, SuspectId, is_part},
    ids::{BootId, Timestamp},
};
use index::RecordIndex;
pub use report::{
    CrashRecord, CrashReport, CrashReports, IncarnationHash, RECORD_LIMIT, REPORT_TTL,
};
pub use runs::{IncarnationPhase, UnresolvedRun, UnresolvedRuns};
use std::{
    cell::OnceCell,
    cmp::Reverse,
    collections::{HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};
use survivors::{SurvivorTable, turn_delay};
pub use suspects::{BEGUN_EVENTS, CallSuspects};
pub use verdicts::Verdict;
use verdicts::judge;

/// Number of targets that must have ended under a suspect before it is held back. An innocent
/// call may share one crash by chance, and a second one if its caller's only retry runs beside the same poison
/// request; a third is not chance.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time for which a crash counts against a suspect, from the crash or the last call that was refused for it. Callers
/// give up on a request within a minute or so. What is sent once an hour costs three targets each time; a call that
/// was quarantined by mistake is served again after this time.
pub const CRASH_TTL: Duration = Duration::from_mins(10);
/// Longest time for which refused calls keep a crash in force. After it a part that was mended, or held back by
/// mistake, is tried again.
pub const RENEWAL_LIMIT: Duration = Duration::from_hours(1);

/// Age of one of a router's own crash records.
#[derive(Clone, Copy, Debug)]
struct RecordAge {
    recorded: Timestamp,
    /// When it was recorded, or a call was last refused for it.
    renewed: Timestamp,
}

impl RecordAge {
    fn new(now: Timestamp) -> Self {
        Self { recorded: now, renewed: now }
    }

    fn is_old(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.renewed) >= CRASH_TTL
            || now.saturating_sub(self.recorded) >= RENEWAL_LIMIT
    }
}

/// Crash records of a router: its own and those that others reported.
#[derive(Debug)]
pub struct CrashLedger {
    own: CrashReport,
    /// Ages of the own crashes, in the order of the report.
    ages: VecDeque<RecordAge>,
    received: CrashReports,
    /// Suspects of which a run went well here lately.
    survivors: SurvivorTable,
    /// Cleared crashes to publish at the given time, unless another router has published them by then.
    untold: Vec<(Timestamp, CrashRecord)>,
    /// All records of the own and the received reports.
    index: RecordIndex,
    /// Verdicts by these records, once they are asked for after a change.
    verdicts: OnceCell<Vec<Verdict>>,
}

impl CrashLedger {
    /// An empty ledger for a router that has just started.
    pub fn new(router: Arc<str>, boot: BootId) -> Self {
        let own = CrashReport { router, boot, ..CrashReport::default() };
        Self {
            own,
            ages: VecDeque::new(),
            received: CrashReports::default(),
            survivors: SurvivorTable::default(),
            untold: Vec::new(),
            index: RecordIndex::default(),
            verdicts: OnceCell::new(),
        }
    }

    /// The report that this router sends to the others.
    pub fn own_report(&self) -> &CrashReport {
        &self.own
    }

    /// Records that a target ended under these suspects, without the parts of which a run went well here lately.
    /// Returns whether the own report has changed.
    pub fn record_crash(
        &mut self,
        target: &TargetIncarnation,
        suspects: &[SuspectId],
        now: Timestamp,
    ) -> bool {
        let is_accused = |suspect: &&SuspectId| {
            !is_part(**suspect) || !self.survivors.has_survived(**suspect, now)
        };
        let mut accused: Vec<SuspectId> = suspects.iter().filter(is_accused).copied().collect();
        // Suspects with earlier crashes are added first, so that records of the others do not evict theirs.
        accused.sort_by_cached_key(|suspect| Reverse(self.crashes_under(*suspect)));
        let records: Vec<CrashRecord> =
            accused.into_iter().map(|suspect| CrashRecord::new(suspect, target)).collect();
        let is_changed = self.add_own(&records, now);
        self.clear_survivors(&records, now);
        self.verdicts.take();
        is_changed
    }

    /// Adds records to the own report; returns whether one was new.
    fn add_own(&mut self, records: &[CrashRecord], now: Timestamp) -> bool {
        let before = self.own.sequence;
        for record in records {
            if self.own.crashes.contains(record) {
                continue;
            }
            if self.own.crashes.len() >= RECORD_LIMIT {
                self.evict_record();
            }
            self.own.crashes.push(*record);
            self.index.add_crash(*record);
            self.ages.push_back(RecordAge::new(now));
            self.own.sequence += 1;
        }
        self.own.sequence != before
    }

    /// Drops the oldest record of a suspect with a single crash; if there is none, drops the oldest record. Most
    /// suspects of an ended target are innocent, and their records must not evict those of one that ends one
    /// target after another.
    fn evict_record(&mut self) {
        let mut crashes = self.own.crashes.iter();
        let index = crashes.position(|record| self.crashes_under(record.suspect) < 2).unwrap_or(0);
        let record = self.own.crashes.remove(index);
        self.index.remove_crash(record);
        self.ages.remove(index);
    }

    /// Records that a run with these suspects went well. This clears one earlier crash of each, and the crashes
    /// that are recorded within some seconds after it. Returns whether there was an earlier crash to clear.
    pub fn record_survival(&mut self, suspects: &[SuspectId], now: Timestamp) -> bool {
        for &suspect in suspects {
            self.survivors.insert(suspect, now);
        }
        let first_crash = |suspect: &SuspectId| {
            let target = *self.index.counted(*suspect).first()?;
            Some(CrashRecord { suspect: *suspect, target })
        };
        let records: Vec<CrashRecord> = suspects.iter().filter_map(first_crash).collect();
        self.clear(&records, now);
        if !records.is_empty() {
            self.verdicts.take();
        }
        !records.is_empty()
    }

    /// Clears the crashes in `records` whose suspects have survived recently. A crash is detected and reported
    /// up to seconds after it happened; a call that is sent many times a second has completed again by then.
    fn clear_survivors(&mut self, records: &[CrashRecord], now: Timestamp) {
        let is_cleared = |record: &&CrashRecord| {
            self.survivors.has_survived(record.suspect, now) && self.index.is_counted(**record)
        };
        let records: Vec<CrashRecord> = records.iter().filter(is_cleared).copied().collect();
        self.clear(&records, now);
    }

    /// Clears crashes at this router, and schedules their publication to the others.
    fn clear(&mut self, records: &[CrashRecord], now: Timestamp) {
        let routers = self.received.len() + 1;
        for &record in records {
            self.index.clear(record);
            self.untold.push((now + turn_delay(self.own.boot, record, routers), record));
        }
        self.tell_survivals(now);
    }

    /// Adds the survivals whose turn has come to the own report, unless another router has told them. Returns whether
    /// the own report has changed.
    pub fn tell_survivals(&mut self, now: Timestamp) -> bool {
        let before = self.own.sequence;
        for (_, record) in self.untold.extract_if(.., |(at, _)| *at <= now) {
            if self.index.is_told(record) {
                continue;
            }
            if self.own.survivals.len() >= RECORD_LIMIT {
                let oldest = self.own.survivals.remove(0);
                self.index.remove_survival(oldest);
            }
            self.own.survivals.push(record);
            self.index.add_survival(record);
            self.own.sequence += 1;
        }
        self.own.sequence != before
    }

    /// Applies another router's report; returns whether it is new. The own report changes too if the
    /// report names suspects that have survived here recently, or is that of this router's previous start.
    pub fn take_report(&mut self, report: &Arc<CrashReport>, now: Timestamp) -> bool {
        if report.boot == self.own.boot {
            return false;
        }
        let Some(dropped) = self.received.take(report, now) else { return false };
        // Added first: records that both reports hold stay known, and cleared ones stay cleared.
        self.index.add_report(report);
        for report in dropped {
            self.index.remove_report(&report);
        }
        if report.router == self.own.router {
            self.add_own(&report.crashes, now);
        }
        self.clear_survivors(&report.crashes, now);
        self.verdicts.take();
        true
    }

    /// Raises the own report's sequence number, so that it is published again before it expires at the other
    /// routers, which also count the fleet by these reports.
    pub fn renew(&mut self) {
        self.own.sequence += 1;
    }

    /// Keeps the own records of a verdict in force, because a call was refused for it.
    pub fn renew_verdict(&mut self, verdict: &Verdict, now: Timestamp) {
        for (record, age) in self.own.crashes.iter().zip(&mut self.ages) {
            if verdict.suspects.contains(&record.suspect) {
                age.renewed = now;
            }
        }
    }

    /// Drops crashes and reports that are too old; returns whether the own report has changed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let dropped = self.received.expire(now);
        for report in &dropped {
            self.index.remove_report(report);
        }
        let mut ages = self.ages.iter();
        let is_old = |_: &mut CrashRecord| ages.next().is_some_and(|age| age.is_old(now));
        let expired: Vec<CrashRecord> = self.own.crashes.extract_if(.., is_old).collect();
        self.ages.retain(|age| !age.is_old(now));
        for record in &expired {
            self.index.remove_crash(*record);
        }
        if !expired.is_empty() {
            if self.own.crashes.is_empty() {
                for record in std::mem::take(&mut self.own.survivals) {
                    self.index.remove_survival(record);
                }
            }
            self.own.sequence += 1;
        }
        if !expired.is_empty() || !dropped.is_empty() {
            self.verdicts.take();
        }
        !expired.is_empty()
    }

    /// Whether there are no records, so that no call needs to be checked.
    pub fn is_empty(&self) -> bool {
        self.own.size() == 0 && self.received.iter().all(|report| report.size() == 0)
    }

    /// Number of targets that ended under the suspect, without those that survivals cleared.
    pub fn crashes_under(&self, suspect: SuspectId) -> usize {
        self.index.counted(suspect).len()
    }

    /// Whether a call is quarantined for itself: at least [`QUARANTINE_CRASHES`]
    /// targets ended while they ran it, and no other suspect is the likelier cause of these ends.
    pub fn is_quarantined(&self, call: CallFingerprint) -> bool {
        self.verdict_on(&[call]).is_some()
    }

    /// The verdict for which a call with these suspects must not be sent to any target.
    pub fn verdict_on(&self, suspects: &[SuspectId]) -> Option<&Verdict> {
        self.verdicts().iter().find(|verdict| verdict.applies_to(suspects))
    }

    /// All verdicts in force.
    pub fn verdicts(&self) -> &[Verdict] {
        let has_survived = |suspect| self.survivors.contains(suspect);
        self.verdicts.get_or_init(|| judge(&self.index, has_survived))
    }

    /// All quarantined calls.
    pub fn quarantined_calls(&self) -> HashSet<CallFingerprint> {
        let suspects = self.verdicts().iter().flat_map(|verdict| &verdict.suspects);
        suspects.copied().filter(|suspect| !is_part(*suspect)).collect()
    }
}
