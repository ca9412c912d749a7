//! Crash state of the serving thread, and the report that it publishes to other routers.

use crate::clock;
use plantain_core::{
    crashes::{CRASH_TTL, CallSuspects, CrashLedger, CrashReport, UnresolvedRuns, Verdict},
    direct::membership::TargetIncarnation,
    ids::{BootId, Timestamp},
};
use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    sync::Arc,
    time::Duration,
};
use tokio::sync::watch;

/// Interval after which an unchanged report is published again: half of the time for which other routers keep it.
const RENEW_PAUSE: Duration = CRASH_TTL;

/// Crash ledger, unresolved runs and the report of this router.
pub(crate) struct CrashTracker {
    pub(super) ledger: RefCell<CrashLedger>,
    pub(super) runs: RefCell<UnresolvedRuns>,
    /// Targets that are being probed with a connection.
    pub(super) probed: RefCell<HashSet<TargetIncarnation>>,
    /// Verdicts in force as of the last log lines.
    pub(super) logged_verdicts: RefCell<HashSet<Verdict>>,
    /// When the report was last published.
    published_at: Cell<Timestamp>,
    /// The report as the control thread publishes it.
    report: watch::Sender<Arc<CrashReport>>,
}

impl CrashTracker {
    /// Starts with an empty ledger for this start of the named router.
    pub(crate) fn new(router: &Arc<str>, boot: BootId) -> Self {
        let ledger = CrashLedger::new(Arc::clone(router), boot);
        let report = watch::channel(Arc::new(ledger.own_report().clone())).0;
        Self {
            ledger: RefCell::new(ledger),
            runs: RefCell::default(),
            probed: RefCell::default(),
            logged_verdicts: RefCell::default(),
            published_at: Cell::new(clock::now()),
            report,
        }
    }

    /// Receiver of this router's report, updated on each change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<CrashReport>> {
        self.report.subscribe()
    }

    /// The verdict for which a call must be refused, which stays in force for longer if there is one.
    pub(crate) fn refuse_for(&self, suspects: &CallSuspects) -> Option<Verdict> {
        let mut ledger = self.ledger.borrow_mut();
        if ledger.verdicts().is_empty() {
            return None;
        }
        let verdict = ledger.verdict_on(&suspects.all())?.clone();
        ledger.renew_verdict(&verdict, clock::now());
        Some(verdict)
    }

    /// Applies another router's report, and publishes this router's own if that changes it; returns whether the report
    /// was new.
    pub(super) fn take_report(&self, report: &Arc<CrashReport>, now: Timestamp) -> bool {
        let (is_new, is_changed) = {
            let mut ledger = self.ledger.borrow_mut();
            let before = ledger.own_report().sequence;
            (ledger.take_report(report, now), ledger.own_report().sequence != before)
        };
        if is_changed {
            self.publish();
        }
        is_new
    }

    /// Whether the report must be published again without a change; if so, renews it.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        let is_due = now.saturating_sub(self.published_at.get()) >= RENEW_PAUSE;
        if is_due {
            self.ledger.borrow_mut().renew();
        }
        is_due
    }

    pub(super) fn publish(&self) {
        self.published_at.set(clock::now());
        self.report.send_replace(Arc::new(self.ledger.borrow().own_report().clone()));
    }
}
