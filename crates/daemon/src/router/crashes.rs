//! Crashes of targets, and the calls that were there, on the serving thread.

use super::{constants, context::RouterContext};
use crate::clock;
use metrics::counter;
use plantain_core::{
    crashes::{CRASH_LIFE, CrashLedger, CrashReport, LifePhase, OpenRun, OpenRuns},
    direct::{membership::TargetLife, messages::BootId},
    fingerprint::CallFingerprint,
    ids::Timestamp,
};
use slog::{info, warn};
use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::watch,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Pause after which a report is told again: half of the time for which others keep it.
const RENEW_PAUSE: Duration = CRASH_LIFE;

/// What this router knows of crashes.
pub(crate) struct CrashKeeper {
    ledger: RefCell<CrashLedger>,
    runs: RefCell<OpenRuns>,
    /// Targets to which a connection is being tried.
    probed: RefCell<HashSet<TargetLife>>,
    /// Calls that are held back, as far as was logged.
    held: RefCell<HashSet<CallFingerprint>>,
    /// When the report was last told.
    told: Cell<Timestamp>,
    /// What the control thread tells the others.
    news: watch::Sender<Arc<CrashReport>>,
}

impl CrashKeeper {
    /// Starts with nothing known, at this start of the named router.
    pub(crate) fn new(router: &Arc<str>, boot: BootId) -> Self {
        let ledger = CrashLedger::new(Arc::clone(router), boot);
        let news = watch::channel(Arc::new(ledger.own_report().clone())).0;
        Self {
            ledger: RefCell::new(ledger),
            runs: RefCell::default(),
            probed: RefCell::default(),
            held: RefCell::default(),
            told: Cell::new(clock::now()),
            news,
        }
    }

    /// What this router tells the others, whenever it changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<CrashReport>> {
        self.news.subscribe()
    }

    /// Targets that ended under a call, if these are too many to hand it to another one.
    pub(crate) fn held_crashes(&self, call: CallFingerprint) -> Option<usize> {
        let ledger = self.ledger.borrow();
        ledger.is_held(call).then(|| ledger.crashes_under(call))
    }

    /// Takes what another router tells, and tells what this one knows better; returns whether it was news.
    fn take_report(&self, report: &Arc<CrashReport>, now: Timestamp) -> bool {
        let (is_news, is_changed) = {
            let mut ledger = self.ledger.borrow_mut();
            let before = ledger.own_report().sequence;
            (ledger.take_report(report, now), ledger.own_report().sequence != before)
        };
        if is_changed {
            self.tell();
        }
        is_news
    }

    /// Whether the report is to be told again although no crash was seen.
    fn is_due(&self, now: Timestamp) -> bool {
        let is_due = now.saturating_sub(self.told.get()) >= RENEW_PAUSE;
        if is_due {
            self.ledger.borrow_mut().renew();
        }
        is_due
    }

    fn tell(&self) {
        self.told.set(clock::now());
        self.news.send_replace(Arc::new(self.ledger.borrow().own_report().clone()));
    }
}

impl RouterContext {
    /// A call's run has come to its end at a target, well or not.
    pub(crate) fn note_survival(&self, target: &TargetLife, call: CallFingerprint) {
        let now = clock::now();
        self.crashes.runs.borrow_mut().note_answer(target, now);
        let is_news = self.crashes.ledger.borrow_mut().record_survival(call, now);
        if is_news {
            info!(self.logger, "call survived"; "step" => "crashes",
                "fingerprint" => format!("{call:032x}"),
                "crashes" => self.crashes.ledger.borrow().crashes_under(call));
            self.log_held();
            self.crashes.tell();
        }
    }

    /// A call left a target without word of how its run ended.
    pub(crate) fn note_open_run(self: &Rc<Self>, target: &TargetLife, run: OpenRun) {
        let ended = self.crashes.runs.borrow_mut().add(target, run, clock::now());
        match ended {
            Some(at) if run.sent <= at => self.record_crash(target, &[run.call], "ended before"),
            None if run.is_broken => self.probe(target),
            Some(_) | None => {}
        }
    }

    /// Tries whether a target that broke a call off still listens. Where nothing does any more, its process
    /// has ended. Where something does, only the connection or the answer was harmed, or another life of the
    /// target has started already, which the list will tell: by itself a broken call is no crash.
    fn probe(self: &Rc<Self>, target: &TargetLife) {
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

    /// Looks whether targets have ended at which runs were left open.
    pub(crate) fn look_for_crashes(&self, now: Timestamp) {
        let ended = {
            let pool = self.pool.borrow();
            let phase = |life: &TargetLife| match pool.target(life) {
                None => LifePhase::Ended,
                Some(target) if target.is_leaving() => LifePhase::Leaving,
                Some(target) if target.has_ended() || target.is_dark(now) => LifePhase::Ended,
                Some(_) => LifePhase::Alive,
            };
            self.crashes.runs.borrow_mut().look(phase, now)
        };
        for target in ended {
            self.note_end(&target, "gone from the list, or dark to its loader");
        }
        let has_expired = self.crashes.ledger.borrow_mut().expire(now);
        if has_expired {
            self.log_held();
        }
        if has_expired || self.crashes.is_due(now) {
            self.crashes.tell();
        }
    }

    fn note_end(&self, target: &TargetLife, evidence: &str) {
        let calls = self.crashes.runs.borrow_mut().take_ended(target, clock::now());
        self.record_crash(target, &calls, evidence);
    }

    fn record_crash(&self, target: &TargetLife, calls: &[CallFingerprint], evidence: &str) {
        let is_news = {
            let mut ledger = self.crashes.ledger.borrow_mut();
            ledger.record_crash(target, calls, clock::now())
        };
        if !is_news {
            return;
        }
        counter!("plantain_target_crashes_total").increment(1);
        warn!(self.logger, "target ended under calls"; "step" => "crashes",
            "target" => &*target.id, "started" => target.started, "evidence" => evidence,
            "calls" => calls.len());
        self.log_held();
        self.crashes.tell();
    }

    /// Writes a line for each call that is held back from now on, or no longer.
    fn log_held(&self) {
        let calls = self.crashes.ledger.borrow().held_calls();
        let before = self.crashes.held.replace(calls.clone());
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

    /// Takes what another router tells of crashes.
    pub(crate) fn take_crashes(&self, report: &Arc<CrashReport>, now: Timestamp) {
        if report.router != self.settings.borrow().name {
            self.routers_mut().note_name(&report.router, now);
        }
        if !self.crashes.take_report(report, now) || report.is_empty() {
            return;
        }
        info!(self.logger, "crashes heard"; "step" => "crashes", "router" => &*report.router,
            "sequence" => report.sequence, "crashes" => report.crashes.len(),
            "survivals" => report.survivals.len());
        self.log_held();
    }
}

/// Whether nothing listens at an address.
async fn is_refused(address: SocketAddr) -> bool {
    for _ in 0..constants::PROBE_TRIES {
        // A process that ends may close its connections a moment before its listener.
        sleep(constants::PROBE_PAUSE).await;
        match timeout(constants::CONNECT_LIMIT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return false,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return true,
            // No answer, perhaps since a packet was lost.
            Ok(Err(_)) | Err(_) => {}
        }
    }
    false
}
