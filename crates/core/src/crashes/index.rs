//! Counts of the records of all reports, kept up to date with each change.

use super::{CrashRecord, CrashReport, IncarnationHash, QUARANTINE_CRASHES};
use crate::fingerprint::SuspectId;
use std::collections::{BTreeSet, HashMap, HashSet, hash_map::Entry};

/// Number of reports that hold the same record.
type ReportCount = u32;

/// Records of all reports by suspect, so that a verdict does not read all reports again.
#[derive(Debug, Default)]
pub(super) struct RecordIndex {
    crashes: HashMap<SuspectId, HashMap<IncarnationHash, ReportCount>>,
    survivals: HashMap<CrashRecord, ReportCount>,
    /// Crashes that survivals at this router have cleared, published or not.
    cleared: HashSet<CrashRecord>,
    /// Suspects with enough crashes for a verdict, cleared ones included.
    candidates: BTreeSet<SuspectId>,
}

impl RecordIndex {
    pub(super) fn add_report(&mut self, report: &CrashReport) {
        for record in &report.crashes {
            self.add_crash(*record);
        }
        for record in &report.survivals {
            self.add_survival(*record);
        }
    }

    pub(super) fn remove_report(&mut self, report: &CrashReport) {
        for record in &report.crashes {
            self.remove_crash(*record);
        }
        for record in &report.survivals {
            self.remove_survival(*record);
        }
    }

    pub(super) fn add_crash(&mut self, CrashRecord { suspect, target }: CrashRecord) {
        let targets = self.crashes.entry(suspect).or_default();
        *targets.entry(target).or_default() += 1;
        if targets.len() >= QUARANTINE_CRASHES {
            self.candidates.insert(suspect);
        }
    }

    pub(super) fn remove_crash(&mut self, record: CrashRecord) {
        let CrashRecord { suspect, target } = record;
        let Entry::Occupied(mut targets) = self.crashes.entry(suspect) else { return };
        if !remove_one(targets.get_mut().entry(target)) {
            return;
        }
        self.cleared.remove(&record);
        if targets.get().len() < QUARANTINE_CRASHES {
            self.candidates.remove(&suspect);
        }
        if targets.get().is_empty() {
            targets.remove();
        }
    }

    pub(super) fn add_survival(&mut self, record: CrashRecord) {
        *self.survivals.entry(record).or_default() += 1;
    }

    pub(super) fn remove_survival(&mut self, record: CrashRecord) {
        remove_one(self.survivals.entry(record));
    }

    /// Clears a crash at this router; removed with the last report of the crash.
    pub(super) fn clear(&mut self, record: CrashRecord) {
        self.cleared.insert(record);
    }

    /// Whether a router has told the others that the crash is cleared.
    pub(super) fn is_told(&self, record: CrashRecord) -> bool {
        self.survivals.contains_key(&record)
    }

    /// Whether the crash is known and not cleared.
    pub(super) fn is_counted(&self, record: CrashRecord) -> bool {
        let targets = self.crashes.get(&record.suspect);
        targets.is_some_and(|targets| targets.contains_key(&record.target))
            && !self.cleared.contains(&record)
            && !self.is_told(record)
    }

    /// Targets that ended under the suspect, without those that survivals cleared.
    pub(super) fn counted(&self, suspect: SuspectId) -> BTreeSet<IncarnationHash> {
        let targets = self.crashes.get(&suspect).into_iter().flat_map(HashMap::keys).copied();
        targets.filter(|target| self.is_counted(CrashRecord { suspect, target: *target })).collect()
    }

    /// Suspects that may have enough crashes for a verdict.
    pub(super) fn candidates(&self) -> impl Iterator<Item = SuspectId> {
        self.candidates.iter().copied()
    }
}

/// Takes one off a count; returns whether it was the last.
fn remove_one<K>(entry: Entry<'_, K, ReportCount>) -> bool {
    let Entry::Occupied(mut entry) = entry else { return false };
    *entry.get_mut() -= 1;
    let is_last = *entry.get() == 0;
    if is_last {
        entry.remove();
    }
    is_last
}
