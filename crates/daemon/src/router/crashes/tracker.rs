//! What a router knows of crashes, and tells the others.

use crate::clock;
use plantain_core::{
    crashes::{CRASH_TTL, CrashLedger, CrashReport, UnresolvedRuns},
    direct::membership::TargetIncarnation,
    fingerprint::CallFingerprint,
    ids::{BootId, Timestamp},
};
use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    sync::Arc,
    time::Duration,
};
use tokio::sync::watch;

/// Pause after which a report is told again: half of the time for which others keep it.
const RENEW_PAUSE: Duration = CRASH_TTL;

/// What this router knows of crashes.
pub(crate) struct CrashTracker {
    pub(super) ledger: RefCell<CrashLedger>,
    pub(super) runs: RefCell<UnresolvedRuns>,
    /// Targets to which a connection is being tried.
    pub(super) probed: RefCell<HashSet<TargetIncarnation>>,
    /// Calls that are held back, as far as was logged.
    pub(super) quarantined: RefCell<HashSet<CallFingerprint>>,
    /// When the report was last told.
    published_at: Cell<Timestamp>,
    /// What the control thread tells the others.
    report: watch::Sender<Arc<CrashReport>>,
}

impl CrashTracker {
    /// Starts with nothing known, at this start of the named router.
    pub(crate) fn new(router: &Arc<str>, boot: BootId) -> Self {
        let ledger = CrashLedger::new(Arc::clone(router), boot);
        let report = watch::channel(Arc::new(ledger.own_report().clone())).0;
        Self {
            ledger: RefCell::new(ledger),
            runs: RefCell::default(),
            probed: RefCell::default(),
            quarantined: RefCell::default(),
            published_at: Cell::new(clock::now()),
            report,
        }
    }

    /// What this router tells the others, whenever it changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<CrashReport>> {
        self.report.subscribe()
    }

    /// Targets that ended under a call, if these are too many to hand it to another one.
    pub(crate) fn quarantine_crashes(&self, call: CallFingerprint) -> Option<usize> {
        let ledger = self.ledger.borrow();
        ledger.is_quarantined(call).then(|| ledger.crashes_under(call))
    }

    /// Takes what another router tells, and tells what this one knows better; returns whether it was news.
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

    /// Whether the report is to be told again although no crash was seen.
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
