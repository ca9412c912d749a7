//! Duties: the long-running tasks of a process.

pub mod supervisor;

use eyre::{Result, WrapErr};
use std::{
    future::{Future, pending},
    thread::{self, JoinHandle},
};
use supervisor::DutySupervisor;
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::LocalSet,
};

/// Starts a named thread that runs `duty` to its end on a single-threaded runtime.
pub fn start<F, T>(name: &str, duty: F) -> Result<JoinHandle<()>>
where
    F: FnOnce() -> T + Send + 'static,
    T: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("start runtime")?;
    let body = move || LocalSet::new().block_on(&runtime, duty());
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .wrap_err_with(|| format!("start thread {name}"))
}

/// Returns a channel whose value becomes true on SIGTERM or SIGINT. Must be called on a runtime.
pub fn stop_signal() -> Result<watch::Receiver<bool>> {
    stop_signal_or(pending())
}

/// As [`stop_signal`]; the value also becomes true once a duty has ended that cannot be started again.
pub fn supervised_stop_signal(supervisor: &DutySupervisor) -> Result<watch::Receiver<bool>> {
    let supervisor = supervisor.clone();
    stop_signal_or(async move { supervisor.wait_for_stop().await })
}

fn stop_signal_or<T>(failure: T) -> Result<watch::Receiver<bool>>
where
    T: Future<Output = ()> + Send + 'static,
{
    let mut terminate = signal(SignalKind::terminate()).wrap_err("listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("listen for SIGINT")?;
    let (sender, receiver) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = failure => {}
        }
        sender.send_replace(true);
        // Keeps the sender, so that receivers never see a closed channel.
        pending::<()>().await;
    });
    Ok(receiver)
}
