//! Which requests were at the agent's target when it ended, and the word of it to all entries.
//!
//! The agent is the only one that sends its target anything, so that it alone sees what ends it. It writes
//! that into an object of its own on the platform, which all entries follow.

use crate::watch::{note_failure, platform_backoff};
use plantain_core::{
    crashes::{CrashLedger, CrashReport, UnresolvedRun, UnresolvedRuns},
    direct::membership::TargetIncarnation,
    fingerprint::CallFingerprint,
    ids::Timestamp,
};
use plantain_net::platform::{PlatformClient, PlatformError, PlatformResult, records::CRASH_KIND};
use slog::{Logger, info, warn};
use std::{
    cell::{Cell, RefCell},
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

/// Pause between looks whether the target still takes connections, after a run that broke off.
const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Times that is looked: a target that was left by its caller may end a little later.
const PROBE_COUNT: u32 = 10;
/// Longest wait for a connection to the target, which stands on the same host.
const PROBE_LIMIT: Duration = Duration::from_millis(350);
/// Pause after a write to the platform, in which further crashes gather.
const GATHER_PAUSE: Duration = Duration::from_millis(200);
/// Pause between looks whether crashes have become too old to count.
const AGING_PAUSE: Duration = Duration::from_secs(10);

/// What the agent has seen of its target's ends.
pub(super) struct CrashWitness {
    target: SocketAddr,
    logger: Logger,
    began: Instant,
    ledger: RefCell<CrashLedger>,
    runs: RefCell<UnresolvedRuns>,
    /// Ends of the target so far; each is another life.
    ends: Cell<u64>,
    is_probing: Cell<bool>,
    news: watch::Sender<Arc<CrashReport>>,
}

impl CrashWitness {
    /// Starts with nothing seen, at this start of the named agent.
    pub(super) fn new(name: &Arc<str>, target: SocketAddr, logger: Logger) -> Rc<Self> {
        let ledger = CrashLedger::new(Arc::clone(name), rand::random());
        let news = watch::channel(Arc::new(ledger.own_report().clone())).0;
        Rc::new(Self {
            target,
            logger,
            began: Instant::now(),
            ledger: RefCell::new(ledger),
            runs: RefCell::default(),
            ends: Cell::new(0),
            is_probing: Cell::new(false),
            news,
        })
    }

    /// What is told, whenever it changes.
    pub(super) fn subscribe(&self) -> watch::Receiver<Arc<CrashReport>> {
        self.news.subscribe()
    }

    /// A run came to its end.
    pub(super) fn note_survival(&self, call: CallFingerprint) {
        self.runs.borrow_mut().note_answer(&self.incarnation(), self.now());
        if self.ledger.borrow_mut().record_survival(call, self.now()) {
            self.tell();
        }
    }

    /// A run that was sent so long ago broke off, or was cancelled: looks whether the target ends.
    pub(super) fn note_unresolved_run(
        self: &Rc<Self>,
        call: CallFingerprint,
        age: Duration,
        is_broken: bool,
    ) {
        let run = UnresolvedRun { call, sent: self.now().saturating_sub(age), is_broken };
        self.runs.borrow_mut().add(&self.incarnation(), run, self.now());
        if !self.is_probing.replace(true) {
            let witness = Rc::clone(self);
            spawn_local(async move {
                if is_refused(witness.target).await {
                    witness.note_end();
                }
                witness.is_probing.set(false);
            });
        }
    }

    /// Drops crashes that are too old, for as long as the process lives.
    pub(super) async fn age(self: Rc<Self>) {
        loop {
            sleep(AGING_PAUSE).await;
            if self.ledger.borrow_mut().expire(self.now()) {
                self.tell();
            }
        }
    }

    fn note_end(&self) {
        let incarnation = self.incarnation();
        let calls = self.runs.borrow_mut().take_ended(&incarnation, self.now());
        self.ends.set(self.ends.get() + 1);
        if self.ledger.borrow_mut().record_crash(&incarnation, &calls, self.now()) {
            warn!(self.logger, "target ended under requests"; "step" => "crashes",
                "peer" => %self.target, "requests" => calls.len());
            self.tell();
        }
    }

    fn tell(&self) {
        self.news.send_replace(Arc::new(self.ledger.borrow().own_report().clone()));
    }

    /// The target's life, as far as this agent can tell lives apart.
    fn incarnation(&self) -> TargetIncarnation {
        let ledger = self.ledger.borrow();
        let report = ledger.own_report();
        let id = format!("{}/{:016x}", report.router, report.boot);
        TargetIncarnation { id: id.into(), started: Some(self.ends.get()) }
    }

    fn now(&self) -> Timestamp {
        self.began.elapsed()
    }
}

/// Whether the target stops taking connections.
async fn is_refused(target: SocketAddr) -> bool {
    for _ in 0..PROBE_COUNT {
        sleep(PROBE_PAUSE).await;
        let connected = timeout(PROBE_LIMIT, TcpStream::connect(target)).await;
        if matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
    }
    false
}

/// Writes what has been seen into the agent's object whenever it changes, for as long as the process lives.
pub(super) async fn publish(
    platform: PlatformClient,
    mut news: watch::Receiver<Arc<CrashReport>>,
    logger: Logger,
) {
    let mut earlier = None;
    let mut backoff = platform_backoff();
    while news.changed().await.is_ok() {
        loop {
            let report = Arc::clone(&news.borrow_and_update());
            match write(&platform, &report, &mut earlier).await {
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
        backoff.reset();
        sleep(GATHER_PAUSE).await;
    }
}

/// Writes a report, with what the object says of an earlier start of this agent.
async fn write(
    platform: &PlatformClient,
    report: &CrashReport,
    earlier: &mut Option<CrashReport>,
) -> PlatformResult<()> {
    let (version, stored) = match platform.get::<CrashReport>(CRASH_KIND, &report.router).await {
        Ok(object) => (object.version, object.value),
        Err(PlatformError::Missing) => (0, None),
        Err(failure) => return Err(failure),
    };
    if earlier.is_none() {
        *earlier = stored.filter(|stored| stored.boot != report.boot);
    }
    let mut whole = report.clone();
    if let Some(earlier) = earlier {
        whole.add_earlier(earlier);
    }
    platform.put(CRASH_KIND, &report.router, version, &whole).await.map(drop)
}
