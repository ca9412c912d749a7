//! What an entry's admin pages show.

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

/// The entry's state for the admin pages, and the signals between its duties.
#[derive(Clone, Debug)]
pub struct EntryStatus {
    settings: Arc<EntrySettings>,
    config: watch::Receiver<Arc<ConfigSnapshot>>,
    decisions: DecisionSender,
    stopping: watch::Receiver<bool>,
    signals: Arc<EntrySignals>,
    started: Instant,
}

/// Signals between the duties, and the counts that the pages show.
#[derive(Debug, Default)]
pub struct EntrySignals {
    burn: Mutex<BurnLedger>,
    loaded: AtomicBool,
    refresh: Notify,
}

impl EntrySignals {
    /// Notes that the configuration and the targets have been read.
    pub fn set_loaded(&self) {
        self.loaded.store(true, Ordering::Release);
    }

    /// Whether the configuration and the targets have been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    /// Waits until a newer configuration is asked for.
    pub async fn refresh_asked(&self) {
        self.refresh.notified().await;
    }
}

impl EntryStatus {
    /// Joins what the pages show.
    pub fn new(
        settings: Arc<EntrySettings>,
        config: watch::Receiver<Arc<ConfigSnapshot>>,
        decisions: DecisionSender,
        stopping: watch::Receiver<bool>,
        signals: Arc<EntrySignals>,
    ) -> Self {
        Self { settings, config, decisions, stopping, signals, started: Instant::now() }
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Takes one ended request into the report on service-level burn.
    pub fn record(&self, outcome: &RequestOutcome) {
        let objectives = self.config.borrow().preset().objectives;
        let mut burn = self.signals.burn.lock().expect("no panic while locked");
        burn.record(outcome, &objectives, self.started.elapsed());
    }

    /// Asks the platform duty for a newer configuration.
    pub fn ask_refresh(&self) {
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
