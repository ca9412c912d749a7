//! Reloads the settings file while the process runs: on SIGHUP, and when a poll finds it changed.

use crate::{
    duty::supervisor::DutySupervisor,
    options::site::{SiteFile, SiteSettings},
};
use eyre::{Result, WrapErr};
use slog::{Logger, info, warn};
use std::{path::Path, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::{MissedTickBehavior, interval},
};

/// Pause between polls of the file, which may change without a signal.
const POLL_PAUSE: Duration = Duration::from_secs(2);

/// Returns a channel with the current settings, which is updated when the file changes. Invalid settings
/// are logged once, and the last valid ones stay active.
pub(crate) fn follow<T>(
    settings: &SiteSettings<T>,
    logger: &Logger,
    supervisor: &DutySupervisor,
) -> Result<watch::Receiver<Arc<T>>>
where
    T: SiteFile + PartialEq + 'static,
{
    // Registers the handler before the duty runs: until then, SIGHUP ends the process.
    drop(signal(SignalKind::hangup()).wrap_err("listen for SIGHUP")?);
    let path: Arc<Path> = settings.path.as_path().into();
    let (sender, receiver) = watch::channel(Arc::clone(&settings.file));
    let (sender, logger) = (Rc::new(sender), logger.clone());
    supervisor.spawn("reload", move || poll(Arc::clone(&path), Rc::clone(&sender), logger.clone()));
    Ok(receiver)
}

/// Reads the file on each signal and tick until the process ends.
async fn poll<T>(path: Arc<Path>, sender: Rc<watch::Sender<Arc<T>>>, logger: Logger)
where
    T: SiteFile + PartialEq,
{
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let mut ticks = interval(POLL_PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_fault = String::new();
    loop {
        let is_signal = tokio::select! {
            _ = hangup.recv() => true,
            _ = ticks.tick() => false,
        };
        match T::read(&path) {
            Ok(fresh) if fresh == **sender.borrow() => {
                last_fault.clear();
                if is_signal {
                    info!(logger, "settings read again, unchanged"; "step" => "reload");
                }
            }
            Ok(fresh) => {
                last_fault.clear();
                sender.send_replace(Arc::new(fresh));
                info!(logger, "settings changed"; "step" => "reload", "signal" => is_signal);
            }
            Err(error) => {
                let fault = format!("{error:#}");
                if fault != last_fault {
                    warn!(logger, "settings kept; the file is wrong"; "step" => "reload",
                        "error" => &fault);
                }
                last_fault = fault;
            }
        }
    }
}
