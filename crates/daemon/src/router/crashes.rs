//! Detects crashes of targets and records the calls that ran there, on the serving thread.

pub(super) mod tracker;

use super::{constants, context::RouterContext};
use crate::clock;
use metrics::counter;
use plantain_core::{
    crashes::{CrashReport, IncarnationPhase, UnresolvedRun},
    direct::membership::TargetIncarnation,
    fingerprint::CallFingerprint,
    ids::Timestamp,
};
use slog::{info, warn};
use std::{io::ErrorKind, net::SocketAddr, rc::Rc, sync::Arc};
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

impl RouterContext {
    /// Records that a target completed a call's run, in a success or a failure, and did not crash.
    pub(crate) fn note_survival(&self, target: &TargetIncarnation, call: CallFingerprint) {
        let now = clock::now();
        self.crashes.runs.borrow_mut().note_answer(target, now);
        let is_new = self.crashes.ledger.borrow_mut().record_survival(call, now);
        if is_new {
            info!(self.logger, "call survived"; "step" => "crashes",
                "fingerprint" => format!("{call:032x}"),
                "crashes" => self.crashes.ledger.borrow().crashes_under(call));
            self.log_quarantine_changes();
            self.crashes.publish();
        }
    }

    /// Records a run whose end is unknown.
    pub(crate) fn note_unresolved_run(
        self: &Rc<Self>,
        target: &TargetIncarnation,
        run: UnresolvedRun,
    ) {
        let ended = self.crashes.runs.borrow_mut().add(target, run, clock::now());
        match ended {
            Some(at) if run.sent <= at => self.record_crash(target, &[run.call], "ended before"),
            None if run.is_broken => self.probe(target),
            Some(_) | None => {}
        }
    }

    /// Probes whether a target that broke off a call still listens. If the connection is refused, its process has
    /// ended. If it is accepted, either only the connection or the answer failed, or another incarnation has started
    /// already, which the list will show: a broken call alone is no crash.
    fn probe(self: &Rc<Self>, target: &TargetIncarnation) {
        let address = self.pool.borrow().target(target).map(|target| target.entry.address);
        let Some(address) = address else { return };
        if !self.crashes.probed.borrow_mut().insert(target.clone()) {
            return;
        }
        let (context, target) = (Rc::clone(self), target.clone());
        spawn_local(async move {
            let is_refused = is_refused(address).await;
            context.crashes.probed.borrow_mut().remove(&target);
            if is_refused {
                context.note_end(&target, "refuses connections");
            }
        });
    }

    /// Checks whether targets with unresolved runs have ended, expires old crash records, and publishes this router's
    /// report if it changed or is due for renewal.
    pub(crate) fn detect_crashes(&self, now: Timestamp) {
        let ended = {
            let pool = self.pool.borrow();
            let phase = |incarnation: &TargetIncarnation| match pool.target(incarnation) {
                None => IncarnationPhase::Ended,
                Some(target) if target.is_draining() => IncarnationPhase::Draining,
                Some(target) if target.has_ended() || target.is_unresponsive(now) => {
                    IncarnationPhase::Ended
                }
                Some(_) => IncarnationPhase::Alive,
            };
            self.crashes.runs.borrow_mut().resolve(phase, now)
        };
        for target in ended {
            self.note_end(&target, "gone from the list, or dark to its loader");
        }
        let has_expired = self.crashes.ledger.borrow_mut().expire(now);
        if has_expired {
            self.log_quarantine_changes();
        }
        if has_expired || self.crashes.is_due(now) {
            self.crashes.publish();
        }
    }

    fn note_end(&self, target: &TargetIncarnation, evidence: &str) {
        let calls = self.crashes.runs.borrow_mut().take_ended(target, clock::now());
        self.record_crash(target, &calls, evidence);
    }

    fn record_crash(&self, target: &TargetIncarnation, calls: &[CallFingerprint], evidence: &str) {
        let is_new = {
            let mut ledger = self.crashes.ledger.borrow_mut();
            ledger.record_crash(target, calls, clock::now())
        };
        if !is_new {
            return;
        }
        counter!("plantain_target_crashes_total").increment(1);
        warn!(self.logger, "target ended under calls"; "step" => "crashes",
            "target" => &*target.id, "started" => target.started, "evidence" => evidence,
            "calls" => calls.len());
        self.log_quarantine_changes();
        self.crashes.publish();
    }

    /// Logs each call that is newly quarantined, or no longer.
    fn log_quarantine_changes(&self) {
        let calls = self.crashes.ledger.borrow().quarantined_calls();
        let before = self.crashes.quarantined.replace(calls.clone());
        for call in calls.difference(&before) {
            warn!(self.logger, "call held back from now on"; "step" => "crashes",
                "fingerprint" => format!("{call:032x}"),
                "crashes" => self.crashes.ledger.borrow().crashes_under(*call));
        }
        for call in before.difference(&calls) {
            info!(self.logger, "call held back no longer"; "step" => "crashes",
                "fingerprint" => format!("{call:032x}"));
        }
    }

    /// Applies another router's crash report.
    pub(crate) fn take_crashes(&self, report: &Arc<CrashReport>, now: Timestamp) {
        if report.router != self.settings.borrow().name {
            self.routers_mut().note_report(&report.router, now);
        }
        if !self.crashes.take_report(report, now) || report.is_empty() {
            return;
        }
        info!(self.logger, "crashes heard"; "step" => "crashes", "router" => &*report.router,
            "sequence" => report.sequence, "crashes" => report.crashes.len(),
            "survivals" => report.survivals.len());
        self.log_quarantine_changes();
    }
}

/// Whether connections to an address are refused.
async fn is_refused(address: SocketAddr) -> bool {
    for _ in 0..constants::PROBE_TRIES {
        // An ending process may close its connections shortly before its listener.
        sleep(constants::PROBE_PAUSE).await;
        match timeout(constants::CONNECT_LIMIT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return false,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return true,
            // No answer, perhaps because a packet was lost.
            Ok(Err(_)) | Err(_) => {}
        }
    }
    false
}
