//! Supervision of duties: one that ends is logged and counted, and started again. Until it has run for a while, the
//! process counts as not sound, and says that it is not ready.

use eyre::{Result, ensure};
use metrics::{counter, gauge};
use slog::{Logger, error, info};
use std::{
    any::Any,
    env, panic,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};
use tokio::{
    sync::watch,
    task::{JoinError, spawn_local},
    time::{sleep, timeout},
};

/// Pause before a duty that ended is started again.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause: it doubles each time, so that a duty which cannot run takes little time from the others.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a duty must run until it counts as sound again.
const PROOF_TIME: Duration = Duration::from_secs(1);

/// Variable that names a duty which panics once, soon after its start; read by debug builds alone, for tests.
pub const FAIL_VARIABLE: &str = "PLANTAIN_FAIL_DUTY";
/// Time from a duty's start to the panic.
const FAULT_DELAY: Duration = Duration::from_secs(3);

/// Starts duties and watches over them; clones share the count of those that do not run.
#[derive(Clone)]
pub struct DutySupervisor {
    logger: Logger,
    /// Number of duties that ended and have not proved sound since.
    failed: Arc<AtomicUsize>,
    /// Becomes true once a duty has ended that cannot be started again.
    must_stop: watch::Sender<bool>,
}

/// Notes the end of a thread's duty, also if the thread panics.
struct ThreadGuard {
    name: &'static str,
    supervisor: DutySupervisor,
}

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        self.supervisor.note_failed();
        self.supervisor.note_end(self.name, "its thread ended");
        self.supervisor.must_stop.send_replace(true);
    }
}

impl DutySupervisor {
    /// Creates a supervisor without duties.
    pub fn new(logger: Logger) -> Self {
        Self { logger, failed: Arc::default(), must_stop: watch::channel(false).0 }
    }

    /// Whether all duties run.
    pub fn is_sound(&self) -> bool {
        self.failed.load(Ordering::Acquire) == 0
    }

    /// Returns an error if a duty ended that cannot be started again.
    pub fn check(&self) -> Result<()> {
        ensure!(!*self.must_stop.borrow(), "stopped because a duty ended");
        Ok(())
    }

    /// Waits until a duty has ended that cannot be started again, so that the process must stop.
    pub(super) async fn wait_for_stop(&self) {
        // The supervisor holds the sender, so the channel stays open.
        let _ = self.must_stop.subscribe().wait_for(|must_stop| *must_stop).await;
    }

    /// Logs and counts each panic of the process. The end of a thread or task by a panic is otherwise seen only by who
    /// waits for it.
    pub fn log_panics(&self) {
        let logger = self.logger.clone();
        let report = panic::take_hook();
        panic::set_hook(Box::new(move |panic| {
            counter!("plantain_panics_total").increment(1);
            let place = panic.location().map(ToString::to_string).unwrap_or_default();
            error!(logger, "panic"; "step" => "duty", "place" => place,
                "error" => text_of(panic.payload()));
            report(panic);
        }));
    }

    /// Runs a duty on the current thread until the process ends; `start` starts it, again after each end.
    pub fn spawn<F, T>(&self, name: &'static str, mut start: F)
    where
        F: FnMut() -> T + 'static,
        T: Future<Output = ()> + 'static,
    {
        let supervisor = self.clone();
        spawn_local(async move {
            let mut end = spawn_local(with_fault(name, start())).await;
            supervisor.note_failed();
            let mut pause = FIRST_PAUSE;
            loop {
                supervisor.note_end(name, &cause_of(end));
                sleep(pause).await;
                let mut duty = spawn_local(start());
                if let Ok(early_end) = timeout(PROOF_TIME, &mut duty).await {
                    end = early_end;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                    continue;
                }
                supervisor.note_recovery(name);
                end = duty.await;
                supervisor.note_failed();
                pause = FIRST_PAUSE;
            }
        });
    }

    /// Runs a duty on the current thread that cannot be started again. The process stops once it ends.
    pub fn spawn_vital<T>(&self, name: &'static str, duty: T)
    where
        T: Future<Output = ()> + 'static,
    {
        let supervisor = self.clone();
        spawn_local(async move {
            let end = spawn_local(with_fault(name, duty)).await;
            supervisor.note_failed();
            supervisor.note_end(name, &cause_of(end));
            supervisor.must_stop.send_replace(true);
        });
    }

    /// Starts a thread for a duty that cannot be started again. The process stops once it ends.
    pub fn start_thread<F, T>(&self, name: &'static str, duty: F) -> Result<JoinHandle<()>>
    where
        F: FnOnce() -> T + Send + 'static,
        T: Future<Output = ()>,
    {
        let guard = ThreadGuard { name, supervisor: self.clone() };
        super::start(name, move || async move {
            let _guard = guard;
            with_fault(name, duty()).await;
        })
    }

    fn note_failed(&self) {
        let failed = self.failed.fetch_add(1, Ordering::AcqRel) + 1;
        gauge!("plantain_duties_failed").set(failed as f64);
    }

    fn note_end(&self, name: &'static str, cause: &str) {
        counter!("plantain_duty_ends_total", "duty" => name).increment(1);
        error!(self.logger, "duty ended"; "step" => "duty", "duty" => name, "error" => cause);
    }

    fn note_recovery(&self, name: &'static str) {
        let failed = self.failed.fetch_sub(1, Ordering::AcqRel) - 1;
        gauge!("plantain_duties_failed").set(failed as f64);
        info!(self.logger, "duty runs again"; "step" => "duty", "duty" => name);
    }
}

/// Runs a duty, and ends it by a panic if [`FAIL_VARIABLE`] names it.
async fn with_fault<T: Future<Output = ()>>(name: &'static str, duty: T) {
    let fails =
        cfg!(debug_assertions) && env::var(FAIL_VARIABLE).is_ok_and(|failing| failing == name);
    tokio::select! {
        () = duty => {}
        () = sleep(FAULT_DELAY), if fails => panic!("injected fault"),
    }
}

fn cause_of(end: Result<(), JoinError>) -> String {
    match end {
        Ok(()) => "it returned".to_owned(),
        Err(error) if error.is_panic() => text_of(&*error.into_panic()),
        Err(error) => error.to_string(),
    }
}

fn text_of(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "panicked without a message".to_owned())
}
