//! Detects crashes of targets and records the calls that ran there, on the serving thread.

pub(super) mod tracker;

use super::{constants, context::RouterContext};
use crate::clock;
use metrics::counter;
use plantain_core::{
    crashes::{CrashReport, IncarnationPhase, UnresolvedRun, Verdict},
    direct::membership::TargetIncarnation,
    fingerprint::{SuspectId, is_part},
    ids::Timestamp,
};
use slog::{info, warn};
use std::{collections::HashSet, io::ErrorKind, net::SocketAddr, rc::Rc, sync::Arc};
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

impl RouterContext {
    /// Records that a target went on after it began to answer a call with these suspects, or completed the run.
    pub(crate) fn note_survival(&self, target: &TargetIncarnation, suspects: &[SuspectId]) {
        let now = clock::now();
        self.crashes.runs.borrow_mut().note_answer(target, now);
        let (is_cleared, is_changed) = {
            let mut ledger = self.crashes.ledger.borrow_mut();
            let before = ledger.own_report().sequence;
            (ledger.record_survival(suspects, now), ledger.own_report().sequence != before)
        };
        if is_cleared {
            counter!("plantain_suspects_cleared_total").increment(1);
            self.log_quarantine_changes();
        }
        if is_changed {
            self.crashes.publish();
        }
    }

    /// Records a run whose end is unknown.
    pub(crate) fn note_unresolved_run(
        self: &Rc<Self>,
        target: &TargetIncarnation,
        run: UnresolvedRun,
    ) {
        let is_broken = run.is_broken;
        let ended = self.crashes.runs.borrow_mut().add(target, run.clone(), clock::now());
        match ended {
            Some(at) if run.sent <= at => self.record_crash(target, &[run], "ended before"),
            None if is_broken => self.probe(target),
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
        self.log_quarantine_changes();
        let has_told = self.crashes.ledger.borrow_mut().tell_survivals(now);
        if has_expired || has_told || self.crashes.is_due(now) {
            self.crashes.publish();
        }
    }

    fn note_end(&self, target: &TargetIncarnation, evidence: &str) {
        let runs = self.crashes.runs.borrow_mut().take_ended(target, clock::now());
        self.record_crash(target, &runs, evidence);
    }

    fn record_crash(&self, target: &TargetIncarnation, runs: &[UnresolvedRun], evidence: &str) {
        let suspects: Vec<SuspectId> = runs.iter().flat_map(|run| &run.suspects).copied().collect();
        let is_new = {
            let mut ledger = self.crashes.ledger.borrow_mut();
            ledger.record_crash(target, &suspects, clock::now())
        };
        if !is_new {
            return;
        }
        counter!("plantain_target_crashes_total").increment(1);
        warn!(self.logger, "target ended under calls"; "step" => "crashes",
            "target" => &*target.id, "started" => target.started, "evidence" => evidence,
            "calls" => runs.len(), "suspects" => suspects.len());
        self.log_quarantine_changes();
        self.crashes.publish();
    }

    /// Logs each verdict that is new, or no longer in force.
    fn log_quarantine_changes(&self) {
        let verdicts: HashSet<Verdict> =
            self.crashes.ledger.borrow().verdicts().iter().cloned().collect();
        let before = self.crashes.logged_verdicts.replace(verdicts.clone());
        for verdict in verdicts.difference(&before) {
            warn!(self.logger, "calls held back from now on"; "step" => "crashes",
                "suspects" => suspects_text(&verdict.suspects), "crashes" => verdict.crashes);
        }
        for verdict in before.difference(&verdicts) {
            info!(self.logger, "calls held back no longer"; "step" => "crashes",
                "suspects" => suspects_text(&verdict.suspects), "crashes" => verdict.crashes);
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

/// Suspects for log lines: fingerprints of calls, and the hashes of prompt parts as calls' lines have them.
pub(super) fn suspects_text(suspects: &[SuspectId]) -> String {
    let text = |suspect: &SuspectId| {
        if is_part(*suspect) {
            format!("part {:x}", *suspect as u64)
        } else {
            format!("call {suspect:032x}")
        }
    };
    suspects.iter().map(text).collect::<Vec<_>>().join(", ")
}

/// Whether connections to an address are refused.
async fn is_refused(address: SocketAddr) -> bool {
    for _ in 0..constants::PROBE_TRIES {
        // An ending process may close its connections shortly before its listener.
        sleep(constants::PROBE_PAUSE).await;
        if let Some(is_refused) = refuses_connection(address).await {
            return is_refused;
        }
    }
    false
}

/// Whether an address refuses a connection; `None` without an answer, perhaps because a packet was lost.
async fn refuses_connection(address: SocketAddr) -> Option<bool> {
    match timeout(constants::CONNECT_LIMIT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Some(false),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Some(true),
        Ok(Err(_)) | Err(_) => None,
    }
}
