//! An entry's view of the targets. All of it may be stale, which costs time but not correctness.

use crate::{
    cost::TargetEstimate,
    ids::{AdapterDigest, TargetName, Timestamp},
    protocol::TargetReport,
    target::{TargetKind, TargetRecord},
};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// Time for which a target gets no offers after a failure; doubled with each consecutive failure.
const EJECTION: Duration = Duration::from_millis(500);
/// Upper bound of the time without offers after failures.
const EJECTION_LIMIT: Duration = Duration::from_secs(16);
/// Longest time for which a target gets no offers after a refusal, whatever `retry_after` it sent.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Batch limit used for a target that has not reported.
const DEFAULT_BATCH_LIMIT: u32 = 8;

/// An entry's view of one target.
#[derive(Debug)]
pub struct TargetView {
    /// The record that its agent announced on the platform.
    pub record: TargetRecord,
    report: TargetReport,
    residents: HashSet<AdapterDigest>,
    loading: HashSet<AdapterDigest>,
    in_flight: u32,
    sent_since_report: u32,
    draining: bool,
    failures: u32,
    closed_until: Timestamp,
}

impl TargetView {
    fn new(record: TargetRecord) -> Self {
        Self {
            draining: record.leaving,
            record,
            report: TargetReport::default(),
            residents: HashSet::new(),
            loading: HashSet::new(),
            in_flight: 0,
            sent_since_report: 0,
            failures: 0,
            closed_until: Duration::ZERO,
        }
    }

    /// Counter of the last resident set received; 0 if none.
    pub fn residency(&self) -> u64 {
        self.report.residency
    }

    /// Requests that this entry has offered to it and that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether requests may be offered to it.
    pub fn is_open(&self, now: Timestamp) -> bool {
        // After a failure, a single request probes the target; the others wait for its answer.
        let probing = self.failures > 0 && self.in_flight > 0;
        !self.draining && now >= self.closed_until && !probing
    }

    /// Whether it is known to hold an adapter.
    pub fn holds(&self, digest: AdapterDigest) -> bool {
        self.residents.contains(&digest)
    }

    /// Time until a closed target may get offers again; `None` if it is not closed or is draining.
    pub fn reopens_in(&self, now: Timestamp) -> Option<Duration> {
        let left = self.closed_until.saturating_sub(now);
        (!self.draining && !left.is_zero()).then_some(left)
    }

    /// Expected wait for a load at the target; `None` if it has not reported.
    pub(crate) fn load_wait(&self) -> Option<Duration> {
        (self.report.batch_limit > 0).then_some(self.report.load_wait)
    }

    /// Whether the target holds an adapter or is expected to load it.
    pub(crate) fn has_or_loads(&self, digest: AdapterDigest) -> bool {
        self.residents.contains(&digest) || self.loading.contains(&digest)
    }

    /// Estimates the cost of an offer; `default_load_wait` stands in for the load wait of a target that has
    /// not reported.
    pub(crate) fn estimate(
        &self,
        digest: Option<AdapterDigest>,
        round_trip: Duration,
        default_load_wait: Duration,
    ) -> TargetEstimate {
        let reported = self.report.batch_limit > 0;
        let load_wait = self.load_wait().unwrap_or(default_load_wait);
        let load_stall = match digest {
            Some(digest) if self.residents.contains(&digest) => Duration::ZERO,
            // On average, half of a load that is under way is left.
            Some(digest) if self.loading.contains(&digest) => load_wait / 2,
            Some(_) => load_wait + self.report.slot_cost,
            None => Duration::ZERO,
        };
        // The report includes this entry's requests, but not those that were sent after it.
        let occupied = self.report.running + self.report.queued + self.sent_since_report;
        TargetEstimate {
            load_stall,
            occupied: occupied.max(self.in_flight),
            batch_limit: if reported { self.report.batch_limit } else { DEFAULT_BATCH_LIMIT },
            service_time: self.report.service_time,
            zone_round_trip: round_trip,
        }
    }

    pub(crate) fn offer_sent(&mut self, digest: Option<AdapterDigest>) {
        self.in_flight += 1;
        self.sent_since_report += 1;
        if let Some(digest) = digest
            && !self.residents.contains(&digest)
        {
            self.loading.insert(digest);
        }
    }

    pub(crate) fn offer_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn apply_report(&mut self, mut report: TargetReport) {
        if report.residents.take().is_some() {
            self.loading = report.loading.drain(..).collect();
        } else if report.residency != self.report.residency {
            // The report answers an offer that was sent with another counter than the entry has now, so it
            // leaves out the resident set. Keep the entry's counter, so that the next report includes the set.
            report.residency = self.report.residency;
        }
        self.sent_since_report = 0;
        if report.leaving {
            self.draining = true;
        }
        self.report = report;
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    pub(crate) fn mark_draining(&mut self) {
        self.draining = true;
    }

    fn failed(&mut self, now: Timestamp) {
        let pause = EJECTION.saturating_mul(1 << self.failures.min(8)).min(EJECTION_LIMIT);
        self.failures += 1;
        self.closed_until = now + pause;
        self.loading.clear();
        self.report.residency = 0;
    }

    pub(crate) fn pause(&mut self, advised: Option<Duration>, now: Timestamp) {
        let pause = advised.unwrap_or(EJECTION).min(PAUSE_LIMIT);
        self.closed_until = self.closed_until.max(now + pause);
    }
}

/// All known targets, indexed.
#[derive(Debug, Default)]
pub struct TargetTable {
    views: Vec<TargetView>,
    by_name: HashMap<TargetName, usize>,
    by_kind: HashMap<TargetKind, Vec<usize>>,
    holders: HashMap<AdapterDigest, Vec<usize>>,
    generation: u64,
}

impl TargetTable {
    /// Grows when the set of targets changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// All views.
    pub fn views(&self) -> &[TargetView] {
        &self.views
    }

    /// A view by index.
    pub fn view(&self, index: usize) -> &TargetView {
        &self.views[index]
    }

    /// Indices of the targets that serve `kind`.
    pub fn of_kind(&self, kind: &TargetKind) -> &[usize] {
        self.by_kind.get(kind).map_or(&[], Vec::as_slice)
    }

    /// Indices of the targets known to hold an adapter.
    pub fn holders(&self, digest: AdapterDigest) -> &[usize] {
        self.holders.get(&digest).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn view_mut(&mut self, index: usize) -> &mut TargetView {
        &mut self.views[index]
    }

    pub(crate) fn by_name_mut(&mut self, name: &TargetName) -> Option<&mut TargetView> {
        let index = *self.by_name.get(name)?;
        Some(&mut self.views[index])
    }

    /// Applies a report that an agent sent with a frame.
    pub(crate) fn apply_report(&mut self, name: &TargetName, mut report: TargetReport) {
        let Some(&index) = self.by_name.get(name) else { return };
        if let Some(residents) = &mut report.residents {
            let residents = std::mem::take(residents);
            self.set_residents(index, residents.into_iter().collect());
        }
        self.views[index].apply_report(report);
    }

    /// Closes a target for a time after a failure. Its residents are unknown afterwards.
    pub(crate) fn failed(&mut self, name: &TargetName, now: Timestamp) {
        let Some(&index) = self.by_name.get(name) else { return };
        self.set_residents(index, HashSet::new());
        self.views[index].failed(now);
    }

    fn set_residents(&mut self, index: usize, residents: HashSet<AdapterDigest>) {
        let old = std::mem::replace(&mut self.views[index].residents, residents);
        for digest in old.difference(&self.views[index].residents) {
            if let Some(holders) = self.holders.get_mut(digest) {
                holders.retain(|&holder| holder != index);
                if holders.is_empty() {
                    self.holders.remove(digest);
                }
            }
        }
        for &digest in self.views[index].residents.difference(&old) {
            self.holders.entry(digest).or_default().push(index);
        }
    }

    pub(crate) fn replace(&mut self, records: Vec<TargetRecord>) {
        let unchanged = records.len() == self.views.len()
            && records.iter().zip(&self.views).all(|(record, view)| *record == view.record);
        if unchanged {
            return;
        }
        let mut old: HashMap<TargetName, TargetView> =
            self.views.drain(..).map(|view| (view.record.name.clone(), view)).collect();
        self.views = records
            .into_iter()
            .map(|record| match old.remove(&record.name) {
                // The same process at the same address: keep its state. A target that has announced
                // that it drains stays draining, however late the platform's list shows it.
                Some(view) if is_same_process(&view.record, &record) => {
                    TargetView { draining: view.draining || record.leaving, record, ..view }
                }
                _ => TargetView::new(record),
            })
            .collect();
        self.index();
    }

    fn index(&mut self) {
        self.generation += 1;
        self.by_name.clear();
        self.by_kind.clear();
        self.holders.clear();
        for (index, view) in self.views.iter().enumerate() {
            self.by_name.insert(view.record.name.clone(), index);
            self.by_kind.entry(view.record.kind.clone()).or_default().push(index);
            for &digest in &view.residents {
                self.holders.entry(digest).or_default().push(index);
            }
        }
    }
}

fn is_same_process(known: &TargetRecord, record: &TargetRecord) -> bool {
    known.peer == record.peer && known.epoch == record.epoch
}
