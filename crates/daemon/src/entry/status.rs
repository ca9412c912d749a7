//! State that an entry's admin pages show.

use super::decisions::{DecisionCommand, DecisionSender};
use crate::{options::EntrySettings, telemetry::StatusSource};
use plantain_core::{
    burn::{BurnLedger, RequestOutcome},
    config::ConfigSnapshot,
};
use serde_json::{Value, json};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};
use tokio::sync::{Notify, oneshot, watch};

/// Sources of the admin pages: settings, configuration, routing state, and the duties' signals.
#[derive(Clone, Debug)]
pub struct EntryStatus {
    settings: Arc<EntrySettings>,
    config: watch::Receiver<Arc<ConfigSnapshot>>,
    decisions: DecisionSender,
    stopping: watch::Receiver<bool>,
    signals: Arc<EntrySignals>,
    started: Instant,
}

/// Signals between the duties, and the error budget counts.
#[derive(Debug, Default)]
pub struct EntrySignals {
    burn: Mutex<BurnLedger>,
    loaded: AtomicBool,
    refresh: Notify,
}

impl EntrySignals {
    /// Marks the configuration as read, which makes the entry ready.
    pub fn set_loaded(&self) {
        self.loaded.store(true, Ordering::Release);
    }

    /// Whether a configuration has been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    /// Waits until a duty requests a newer configuration.
    pub async fn refresh_requested(&self) {
        self.refresh.notified().await;
    }
}

impl EntryStatus {
    /// Creates the status of an entry that starts now.
    pub fn new(
        settings: Arc<EntrySettings>,
        config: watch::Receiver<Arc<ConfigSnapshot>>,
        decisions: DecisionSender,
        stopping: watch::Receiver<bool>,
        signals: Arc<EntrySignals>,
    ) -> Self {
        Self { settings, config, decisions, stopping, signals, started: Instant::now() }
    }

    /// Whether the process has received a stop signal.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Counts one ended request in the report on error budget burn.
    pub fn record(&self, outcome: &RequestOutcome) {
        let objectives = self.config.borrow().preset().objectives;
        let mut burn = self.signals.burn.lock().expect("no panic while locked");
        burn.record(outcome, &objectives, self.started.elapsed());
    }

    /// Requests a newer configuration from the platform duty.
    pub fn request_refresh(&self) {
        self.signals.refresh.notify_one();
    }
}

impl StatusSource for EntryStatus {
    fn is_ready(&self) -> bool {
        self.signals.loaded.load(Ordering::Acquire) && !self.is_stopping()
    }

    async fn status(&self) -> Value {
        let (sender, receiver) = oneshot::channel();
        let _ = self.decisions.send(DecisionCommand::Status(sender)).await;
        let routing = receiver.await.unwrap_or_default();
        let burn = {
            let ledger = self.signals.burn.lock().expect("no panic while locked");
            ledger.report(self.started.elapsed())
        };
        let (revision, preset) = {
            let config = self.config.borrow();
            (config.revision(), config.preset().name.clone())
        };
        json!({
            "role": "entry", "name": self.settings.common.name,
            "zone": self.settings.common.zone, "region": self.settings.common.region,
            "ready": self.is_ready(), "stopping": self.is_stopping(),
            "revision": revision, "preset": preset, "policy": self.settings.policy.name(),
            "routing": routing, "burn": burn,
        })
    }
}
