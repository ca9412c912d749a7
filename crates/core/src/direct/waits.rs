//! Mean times of runs, loads and waits over all engines, as one router sees them.
//!
//! They stand in for engines without a recent report, as a router has reports only of engines that it queried
//! recently. If an unknown engine counted as idle, it would look better than any engine that is known to be busy:
//! calls would move from the engines that their adapters are assigned to, to others that are just as busy, and each
//! such call would load its adapter from the weight store once more.

use super::messages::LoaderReport;
use std::time::Duration;

/// Initial mean in ms of the time of a load from the weight store; loaders' reports replace it gradually.
const PRIOR_LOAD_MS: f64 = 250.0;
/// Weight of a new report in the means: a router receives some ten reports a second, and the fleet's load changes
/// within about a second.
const REPORT_WEIGHT: f64 = 0.1;
/// Initial mean in ms of the time of a run; completed runs replace it gradually.
const PRIOR_RUN_MS: f64 = 400.0;
/// Weight of a new run in the mean: a router completes some ten a second, long and short ones.
const RUN_WEIGHT: f64 = 0.05;
/// Wait in ms for each load in the queue for an adapter slot, at an engine whose loaded adapters are all in use. Runs
/// last 0.4 s on average, and about two of ten adapters in use are used by several calls, so that a slot becomes free
/// about this often.
const SLOT_MS: f64 = 60.0;

/// Running means, in milliseconds, over all engines. The mean time of a run comes from this router's own calls, the
/// mean times of loads and waits from the loaders' reports.
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
    /// Adds a loader's report to the means.
    pub fn record(&mut self, report: &LoaderReport) {
        let blend = |mean: &mut f64, reported: f64| *mean += REPORT_WEIGHT * (reported - *mean);
        blend(&mut self.load, f64::from(report.load_ms));
        blend(&mut self.slot, slot_wait_ms(report));
        blend(&mut self.queue, f64::from(report.queue_ms));
    }

    /// Adds a run that ended at an engine `time` after its call was sent.
    pub fn record_run(&mut self, time: Duration) {
        self.run += RUN_WEIGHT * (time.as_secs_f64() * 1_000.0 - self.run);
    }

    /// Time of a run, in milliseconds.
    pub fn run_ms(&self) -> f64 {
        self.run
    }

    /// Duration of a load from the weight store, in milliseconds.
    pub fn load_ms(&self) -> f64 {
        self.load
    }

    /// Wait for a free adapter slot, in milliseconds.
    pub fn slot_wait_ms(&self) -> f64 {
        self.slot
    }

    /// Wait before a load may begin, in milliseconds.
    pub fn queue_ms(&self) -> f64 {
        self.queue
    }
}

/// Wait for the next free slot of a full batch of `slots` whose runs take `run_ms`, in milliseconds.
pub(super) fn batch_wait_ms(run_ms: f64, slots: u32) -> f64 {
    run_ms / f64::from(slots.max(1))
}

/// Wait for a free adapter slot at the engine of a report, in milliseconds.
pub(super) fn slot_wait_ms(report: &LoaderReport) -> f64 {
    f64::from((1 - report.free_slots).max(0)) * SLOT_MS
}
