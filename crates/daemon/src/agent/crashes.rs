//! Records which requests ran at the agent's target when it crashed, and reports them to all entries.
//!
//! Only the agent calls its target, so only the agent can see which requests a crash ended. It writes them
//! to its own object on the platform, which all entries watch.

use crate::watch::{note_failure, platform_backoff};
use plantain_core::{
    answer_end::EndVerdict,
    crashes::{CrashLedger, CrashReport, UnresolvedRun, UnresolvedRuns},
    direct::membership::TargetIncarnation,
    fingerprint::{CallFingerprint, SuspectId},
    ids::Timestamp,
};
use plantain_net::{
    end_witness::EndWitness,
    platform::{PlatformClient, PlatformError, PlatformResult, records::CRASH_KIND},
};
use slog::{Logger, info, warn};
use std::{
    cell::{Cell, RefCell},
    future::pending,
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::TcpStream,
    sync::watch,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Pause before each connection attempt that probes the target after a run broke off.
const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Time in which what accepts connections for a target that has ended closes them.
const END_PATIENCE: Duration = Duration::from_millis(15);
/// Connection attempts per probe: a target may end some time after a run broke off or was cancelled.
const PROBE_COUNT: u32 = 10;
/// Longest wait for a connection to the target, which runs on the same host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause after a write to the platform; crashes in this time share the next write.
const COALESCE_PAUSE: Duration = Duration::from_millis(200);
/// Pause between checks for crashes that are too old to count.
const EXPIRY_PAUSE: Duration = Duration::from_secs(10);

/// Crashes of the agent's target, and the requests that were running at each.
pub(super) struct CrashRecorder {
    target: SocketAddr,
    logger: Logger,
    started: Instant,
    ledger: RefCell<CrashLedger>,
    runs: RefCell<UnresolvedRuns>,
    /// Number of detected ends of the target; the incarnation number.
    ends: Cell<u64>,
    is_probing: Cell<bool>,
    report_sender: watch::Sender<Arc<CrashReport>>,
}

impl CrashRecorder {
    /// Starts without crashes. A random number identifies this start of the agent `name`.
    pub(super) fn new(name: &Arc<str>, target: SocketAddr, logger: Logger) -> Rc<Self> {
        let ledger = CrashLedger::new(Arc::clone(name), rand::random());
        let report_sender = watch::channel(Arc::new(ledger.own_report().clone())).0;
        Rc::new(Self {
            target,
            logger,
            started: Instant::now(),
            ledger: RefCell::new(ledger),
            runs: RefCell::default(),
            ends: Cell::new(0),
            is_probing: Cell::new(false),
            report_sender,
        })
    }

    /// The report to publish; the receiver is notified of each change.
    pub(super) fn subscribe(&self) -> watch::Receiver<Arc<CrashReport>> {
        self.report_sender.subscribe()
    }

    /// Records that a run completed without a crash.
    pub(super) fn note_survival(&self, call: CallFingerprint) {
        self.runs.borrow_mut().note_answer(&self.incarnation(), self.now());
        if self.ledger.borrow_mut().record_survival(&[call], self.now()) {
            self.send_report();
        }
    }

    /// Records a run, sent `age` ago, that broke off or was cancelled, and probes whether the target ended.
    pub(super) fn note_unresolved_run(
        self: &Rc<Self>,
        call: CallFingerprint,
        age: Duration,
        is_broken: bool,
    ) {
        let run =
            UnresolvedRun { suspects: vec![call], sent: self.now().saturating_sub(age), is_broken };
        self.runs.borrow_mut().add(&self.incarnation(), run, self.now());
        if !self.is_probing.replace(true) {
            let recorder = Rc::clone(self);
            spawn_local(async move {
                if refuses_connections(recorder.target).await {
                    recorder.record_target_end();
                }
                recorder.is_probing.set(false);
            });
        }
    }

    /// Whether the target has ended, asked when an answer ended with its connection: the end of the target's process
    /// ends all its connections in the same way.
    pub(super) async fn has_target_ended(&self, witness: EndWitness) -> bool {
        let evidence = witness.examine(END_PATIENCE).await;
        let has_ended = evidence.judge(false) != EndVerdict::Whole;
        if has_ended {
            info!(self.logger, "an answer ended with its target"; "step" => "answer end",
                "peer" => %self.target, "evidence" => %evidence);
        }
        has_ended
    }

    /// Drops crashes that are too old, until the process ends.
    pub(super) async fn expire_crashes(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_PAUSE).await;
            if self.ledger.borrow_mut().expire(self.now()) {
                self.send_report();
            }
        }
    }

    fn record_target_end(&self) {
        let incarnation = self.incarnation();
        let runs = self.runs.borrow_mut().take_ended(&incarnation, self.now());
        let suspects: Vec<SuspectId> = runs.iter().flat_map(|run| &run.suspects).copied().collect();
        self.ends.set(self.ends.get() + 1);
        if self.ledger.borrow_mut().record_crash(&incarnation, &suspects, self.now()) {
            warn!(self.logger, "target ended while requests ran"; "step" => "crashes",
                "peer" => %self.target, "requests" => runs.len());
            self.send_report();
        }
    }

    fn send_report(&self) {
        self.report_sender.send_replace(Arc::new(self.ledger.borrow().own_report().clone()));
    }

    /// The target's current incarnation, identified by the agent's name and start and by the number of ends of the
    /// target that the agent has detected since.
    fn incarnation(&self) -> TargetIncarnation {
        let ledger = self.ledger.borrow();
        let report = ledger.own_report();
        let id = format!("{}/{:016x}", report.router, report.boot);
        TargetIncarnation { id: id.into(), started: Some(self.ends.get()) }
    }

    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }
}

/// Probes the target; returns true as soon as it refuses a connection.
async fn refuses_connections(target: SocketAddr) -> bool {
    for _ in 0..PROBE_COUNT {
        sleep(PROBE_PAUSE).await;
        if refuses_connection(target).await {
            return true;
        }
    }
    false
}

/// Whether the target refuses a connection; false without an answer in time.
async fn refuses_connection(target: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(target)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Writes the report to the agent's object whenever it changes, until the process ends.
pub(super) async fn publish(
    platform: PlatformClient,
    mut reports: watch::Receiver<Arc<CrashReport>>,
    logger: Logger,
) {
    let mut previous = None;
    let mut backoff = platform_backoff();
    let mut written_era = None;
    loop {
        let lost = async {
            match written_era {
                Some(era) => platform.eras().wait_after(era).await,
                None => pending().await,
            }
        };
        tokio::select! {
            changed = reports.changed() => if changed.is_err() { return },
            () = lost => info!(logger, "platform returned from a copy; crash report checked";
                "step" => "crashes", "era" => platform.eras().latest()),
        }
        loop {
            let report = Arc::clone(&reports.borrow_and_update());
            match write(&platform, &report, &mut previous).await {
                Ok(()) => {
                    info!(logger, "crashes told"; "step" => "crashes",
                        "sequence" => report.sequence, "crashes" => report.crashes.len());
                    break;
                }
                Err(failure) => {
                    note_failure(&logger, "tell crashes", &failure);
                    sleep(backoff.next_pause()).await;
                }
            }
        }
        written_era = Some(platform.eras().latest());
        backoff.reset();
        sleep(COALESCE_PAUSE).await;
    }
}

/// Writes a report, merged with the one that the object holds from a previous start of this agent.
async fn write(
    platform: &PlatformClient,
    report: &CrashReport,
    previous: &mut Option<CrashReport>,
) -> PlatformResult<()> {
    let (version, stored) = match platform.get::<CrashReport>(CRASH_KIND, &report.router).await {
        Ok(object) => (object.version, object.value),
        Err(PlatformError::Missing) => (0, None),
        Err(failure) => return Err(failure),
    };
    let unchanged = stored.clone();
    if previous.is_none() {
        *previous = stored.filter(|stored| stored.boot != report.boot);
    }
    let mut merged = report.clone();
    if let Some(previous) = previous {
        merged.add_earlier(previous);
    }
    if unchanged.as_ref() == Some(&merged) {
        return Ok(());
    }
    platform.put(CRASH_KIND, &report.router, version, &merged).await.map(drop)
}
