//! How long runs last, and loads take and wait at engines, on the mean, as one router sees it.
//!
//! Pattern: a router knows only the engines that it asked lately. While one that it did not know counted as
//! idle, each engine that was known to be busy looked worse than any unknown one: calls left the engines
//! where their adapters belong for others that turned out no better, and each had its adapter fetched from
//! the weight store once more. An engine of which nothing is known is as busy as the others.

use super::messages::LoaderReport;
use std::time::Duration;

/// Time in ms of a load from the weight store before any loader has told one: an assumption, replaced by the
/// first reports.
const PRIOR_LOAD_MS: f64 = 250.0;
/// Share of a new report in the means: a router hears some ten reports a second, and how busy the fleet is
/// changes within about a second.
const REPORT_WEIGHT: f64 = 0.1;
/// Time in ms of a run before any has ended: an assumption, replaced by the first runs.
const PRIOR_RUN_MS: f64 = 400.0;
/// Share of a new run in the mean: a router sees some ten a second, long and short ones.
const RUN_WEIGHT: f64 = 0.05;
/// Wait for each load before this one that waits for a slot at an engine all of whose adapters are in use.
/// Runs last 0.4 s on the mean, and of ten adapters in use some two are shared by other calls, so that a slot
/// comes free about this often.
const SLOT_MS: f64 = 60.0;

/// Means over the reports of all loaders and this router's runs at all engines, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimates {
    run: f64,
    load: f64,
    slot: f64,
    queue: f64,
}

impl Default for WaitEstimates {
    fn default() -> Self {
        Self { run: PRIOR_RUN_MS, load: PRIOR_LOAD_MS, slot: 0.0, queue: 0.0 }
    }
}

impl WaitEstimates {
    /// Takes what a loader tells.
    pub fn record(&mut self, report: &LoaderReport) {
        let blend = |mean: &mut f64, told: f64| *mean += REPORT_WEIGHT * (told - *mean);
        blend(&mut self.load, f64::from(report.load_ms));
        blend(&mut self.slot, slot_wait_ms(report));
        blend(&mut self.queue, f64::from(report.queue_ms));
    }

    /// A run at an engine has ended that took so long, from its sending on.
    pub fn record_run(&mut self, time: Duration) {
        self.run += RUN_WEIGHT * (time.as_secs_f64() * 1_000.0 - self.run);
    }

    /// Time after which the next slot of a full batch of `slots` comes free, in milliseconds.
    pub fn batch_wait_ms(&self, slots: u32) -> f64 {
        self.run / f64::from(slots.max(1))
    }

    /// Time of a load from the weight store, in milliseconds.
    pub fn load_ms(&self) -> f64 {
        self.load
    }

    /// Wait for a slot for an adapter, in milliseconds.
    pub fn slot_wait_ms(&self) -> f64 {
        self.slot
    }

    /// Wait before a load may begin, in milliseconds.
    pub fn queue_ms(&self) -> f64 {
        self.queue
    }
}

/// Wait for a slot for an adapter at the engine of a report, in milliseconds.
pub(super) fn slot_wait_ms(report: &LoaderReport) -> f64 {
    f64::from((1 - report.free_slots).max(0)) * SLOT_MS
}
