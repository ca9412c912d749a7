//! Pending adapter loads: one load for all requests that wait for the same adapter.

use crate::{
    agent::events::LoadResult,
    ids::{AdapterKey, Timestamp},
    priority::{LoadUrgency, Priority},
    stats::RunningMean,
};
use std::{collections::HashMap, time::Duration};

/// Estimate of a load's duration until the first load has ended.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(800);
/// Number of failed loads of one adapter after which the requests that wait for it are refused.
const ATTEMPT_LIMIT: u32 = 2;
/// Pause after a failed load before a permit for the same load is requested again.
const FAILED_PAUSE: Duration = Duration::from_millis(200);
/// Pause before a load is tried again that the busy weight store refused; doubled with each further
/// refusal of the same load.
const BUSY_PAUSE: Duration = Duration::from_millis(250);
/// Upper bound of the pause after the weight store was busy.
const BUSY_PAUSE_LIMIT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadPhase {
    /// No permit is requested; one may be requested from this time on.
    Wanted(Timestamp),
    /// A permit is requested and not granted yet.
    PermitRequested,
    /// The permit is granted, and the engine was not ordered to load the adapter yet.
    Permitted,
    /// The engine was ordered to load it at this time.
    Started(Timestamp),
}

#[derive(Debug)]
struct LoadRecord {
    phase: LoadPhase,
    priority: Priority,
    waiters: u32,
    wanted: Timestamp,
    failures: u32,
    refusals: u32,
}

/// All loads that are wanted or under way.
#[derive(Debug)]
pub struct LoadTable {
    loads: HashMap<AdapterKey, LoadRecord>,
    load_time: RunningMean,
    counter: u64,
}

impl Default for LoadTable {
    fn default() -> Self {
        Self { loads: HashMap::new(), load_time: RunningMean::new(INITIAL_LOAD_TIME), counter: 0 }
    }
}

impl LoadTable {
    /// Counter that grows with each change of the set of wanted loads.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Adapters wanted or being loaded.
    pub fn keys(&self) -> impl Iterator<Item = &AdapterKey> {
        self.loads.keys()
    }

    /// Permits requested or held, and loads under way.
    pub fn outstanding(&self) -> usize {
        let waits = |load: &&LoadRecord| matches!(load.phase, LoadPhase::Wanted(_));
        self.loads.len() - self.loads.values().filter(waits).count()
    }

    /// Loads under way at the engine.
    pub fn started(&self) -> usize {
        let started = |load: &&LoadRecord| matches!(load.phase, LoadPhase::Started(_));
        self.loads.values().filter(started).count()
    }

    /// Adds a waiter. Returns the new urgency if a permit is already requested, so that the broker can
    /// be updated.
    pub fn request(
        &mut self,
        key: &AdapterKey,
        priority: Priority,
        now: Timestamp,
    ) -> Option<LoadUrgency> {
        let counter = &mut self.counter;
        let load = self.loads.entry(key.clone()).or_insert_with(|| {
            *counter += 1;
            LoadRecord {
                phase: LoadPhase::Wanted(now),
                priority,
                waiters: 0,
                wanted: now,
                failures: 0,
                refusals: 0,
            }
        });
        load.waiters += 1;
        load.priority = load.priority.min(priority);
        (load.phase == LoadPhase::PermitRequested).then(|| urgency(load, now))
    }

    /// Drops a load that has no waiters any more, unless the engine has started it. Returns whether a
    /// permit was requested or held.
    pub fn cancel(&mut self, key: &AdapterKey) -> bool {
        let Some(phase) = self.loads.get(key).map(|load| load.phase) else { return false };
        if matches!(phase, LoadPhase::Started(_)) {
            return false;
        }
        self.loads.remove(key);
        self.counter += 1;
        !matches!(phase, LoadPhase::Wanted(_))
    }

    /// The most urgent load for which no permit is requested. Loads that pause after a failure are skipped.
    pub fn next_unrequested(&self, now: Timestamp) -> Option<(AdapterKey, LoadUrgency)> {
        let due = |load: &LoadRecord| matches!(load.phase, LoadPhase::Wanted(at) if at <= now);
        let due_loads = self.loads.iter().filter(|(_, load)| due(load));
        let urgent = due_loads.max_by(|(a_key, a), (b_key, b)| {
            urgency(a, now).cmp(&urgency(b, now)).then_with(|| b_key.cmp(a_key))
        });
        urgent.map(|(key, load)| (key.clone(), urgency(load, now)))
    }

    /// Records that a permit was requested.
    pub fn mark_requested(&mut self, key: &AdapterKey) {
        self.set_phase(key, LoadPhase::PermitRequested);
    }

    /// Records that a permit was granted. A permit for a load that is no longer wanted is ignored.
    pub fn permit(&mut self, key: &AdapterKey) {
        if self.loads.get(key).is_some_and(|load| load.phase == LoadPhase::PermitRequested) {
            self.set_phase(key, LoadPhase::Permitted);
        }
    }

    /// A load with a permit that has not started.
    pub fn next_permitted(&self) -> Option<AdapterKey> {
        let permitted = self.loads.iter().filter(|(_, load)| load.phase == LoadPhase::Permitted);
        permitted.map(|(key, _)| key).min().cloned()
    }

    /// Records that the engine was ordered to load.
    pub fn start(&mut self, key: &AdapterKey, now: Timestamp) {
        self.set_phase(key, LoadPhase::Started(now));
    }

    /// Removes a load that succeeded, and records its duration.
    pub fn loaded(&mut self, key: &AdapterKey, took: Duration) {
        self.loads.remove(key);
        self.counter += 1;
        self.load_time.record(took);
    }

    /// Schedules another attempt after a failure. Returns true if the attempts are used up and the
    /// waiters are to be refused.
    pub fn failed(&mut self, key: &AdapterKey, result: LoadResult, now: Timestamp) -> bool {
        let Some(load) = self.loads.get_mut(key) else { return false };
        let pause = if result == LoadResult::StoreBusy {
            load.refusals += 1;
            BUSY_PAUSE.saturating_mul(1 << (load.refusals - 1).min(8)).min(BUSY_PAUSE_LIMIT)
        } else {
            load.failures += 1;
            FAILED_PAUSE
        };
        load.phase = LoadPhase::Wanted(now + pause);
        if load.failures < ATTEMPT_LIMIT {
            return false;
        }
        self.loads.remove(key);
        self.counter += 1;
        true
    }

    /// Drops loads under way, as after an engine's restart; the caller requests them again.
    pub fn forget_started(&mut self) {
        self.loads.retain(|_, load| !matches!(load.phase, LoadPhase::Started(_)));
        self.counter += 1;
    }

    /// Mean duration of a load.
    pub fn load_time(&self) -> Duration {
        self.load_time.read()
    }

    /// Expected wait until an adapter that is requested now is loaded.
    pub fn expected_wait(&self, load_limit: usize, now: Timestamp) -> Duration {
        let load_time = self.load_time.read();
        let oldest = self.loads.values().map(|load| now.saturating_sub(load.wanted)).max();
        let rounds = self.loads.len() / load_limit.max(1);
        // A load that has waited long indicates a shortage of permits, which the length of this queue
        // does not show.
        load_time.mul_f64(1.0 + rounds as f64).max(oldest.unwrap_or_default())
    }

    /// Expected wait for one adapter, whose load may be pending or under way.
    pub fn expected_wait_of(
        &self,
        key: &AdapterKey,
        load_limit: usize,
        now: Timestamp,
    ) -> Duration {
        let load_time = self.load_time.read();
        match self.loads.get(key).map(|load| load.phase) {
            Some(LoadPhase::Started(since)) => load_time.saturating_sub(now.saturating_sub(since)),
            Some(_) => load_time,
            None => self.expected_wait(load_limit, now),
        }
    }

    fn set_phase(&mut self, key: &AdapterKey, phase: LoadPhase) {
        if let Some(load) = self.loads.get_mut(key) {
            load.phase = phase;
        }
    }
}

fn urgency(load: &LoadRecord, now: Timestamp) -> LoadUrgency {
    LoadUrgency {
        importance: 2 - load.priority.rank() as u8,
        waiters: load.waiters,
        waited: now.saturating_sub(load.wanted),
    }
}
