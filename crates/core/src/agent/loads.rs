//! Adapters that accepted work waits for: one load, many waiters.

use crate::{
    agent::events::LoadResult,
    ids::{AdapterKey, Timestamp},
    priority::{LoadUrgency, Priority},
    stats::RunningMean,
};
use std::{collections::HashMap, time::Duration};

/// First guess of the time that a load takes, until loads have been seen.
const LOAD_TIME_GUESS: Duration = Duration::from_millis(800);
/// Loads of one adapter that may fail before its waiters are refused.
const ATTEMPT_LIMIT: u32 = 2;
/// Pause after a failed load.
const FAILED_PAUSE: Duration = Duration::from_millis(200);
/// Pause after the weight store refused; doubled with each refusal in a row.
const BUSY_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after refusals.
const BUSY_PAUSE_LIMIT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadPhase {
    /// Not asked for, or to be asked for again at this time.
    Wanted(Timestamp),
    /// A permit is asked for.
    Asked,
    /// A permit is held.
    Permitted,
    /// The engine loads it since this time.
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

/// All wanted loads.
#[derive(Debug)]
pub struct LoadTable {
    loads: HashMap<AdapterKey, LoadRecord>,
    load_time: RunningMean,
    counter: u64,
}

impl Default for LoadTable {
    fn default() -> Self {
        Self { loads: HashMap::new(), load_time: RunningMean::new(LOAD_TIME_GUESS), counter: 0 }
    }
}

impl LoadTable {
    /// Grows with each change of the wanted set.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Adapters wanted or being loaded.
    pub fn keys(&self) -> impl Iterator<Item = &AdapterKey> {
        self.loads.keys()
    }

    /// Permits asked for or held, and loads under way.
    pub fn outstanding(&self) -> usize {
        let waits = |load: &&LoadRecord| matches!(load.phase, LoadPhase::Wanted(_));
        self.loads.len() - self.loads.values().filter(waits).count()
    }

    /// Loads that the engine is at.
    pub fn started(&self) -> usize {
        let started = |load: &&LoadRecord| matches!(load.phase, LoadPhase::Started(_));
        self.loads.values().filter(started).count()
    }

    /// Adds a waiter. Returns the new urgency if a permit is already asked for, so that the broker
    /// learns of it.
    pub fn want(
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
        (load.phase == LoadPhase::Asked).then(|| urgency(load, now))
    }

    /// Drops a load that nobody waits for any more, unless the engine is already at it. True if a
    /// permit was asked for or held.
    pub fn unwant(&mut self, key: &AdapterKey) -> bool {
        let Some(phase) = self.loads.get(key).map(|load| load.phase) else { return false };
        if matches!(phase, LoadPhase::Started(_)) {
            return false;
        }
        self.loads.remove(key);
        self.counter += 1;
        !matches!(phase, LoadPhase::Wanted(_))
    }

    /// The most urgent load that no permit was asked for.
    pub fn next_unasked(&self, now: Timestamp) -> Option<(AdapterKey, LoadUrgency)> {
        let due = |load: &LoadRecord| matches!(load.phase, LoadPhase::Wanted(at) if at <= now);
        let unasked = self.loads.iter().filter(|(_, load)| due(load));
        let urgent = unasked.max_by(|(a_key, a), (b_key, b)| {
            urgency(a, now).cmp(&urgency(b, now)).then_with(|| b_key.cmp(a_key))
        });
        urgent.map(|(key, load)| (key.clone(), urgency(load, now)))
    }

    /// Notes that a permit was asked for.
    pub fn ask(&mut self, key: &AdapterKey) {
        self.set_phase(key, LoadPhase::Asked);
    }

    /// Notes that a permit was granted. One for a load that is no longer wanted lapses.
    pub fn permit(&mut self, key: &AdapterKey) {
        if self.loads.get(key).is_some_and(|load| load.phase == LoadPhase::Asked) {
            self.set_phase(key, LoadPhase::Permitted);
        }
    }

    /// A load with a permit that has not started.
    pub fn next_permitted(&self) -> Option<AdapterKey> {
        let permitted = self.loads.iter().filter(|(_, load)| load.phase == LoadPhase::Permitted);
        permitted.map(|(key, _)| key).min().cloned()
    }

    /// Notes that the engine was ordered to load.
    pub fn start(&mut self, key: &AdapterKey, now: Timestamp) {
        self.set_phase(key, LoadPhase::Started(now));
    }

    /// Ends a load that succeeded.
    pub fn loaded(&mut self, key: &AdapterKey, took: Duration) {
        self.loads.remove(key);
        self.counter += 1;
        self.load_time.record(took);
    }

    /// Plans another attempt after a failure; true if the waiters are to be refused instead.
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

    /// Forgets loads under way, as after an engine's restart; waiters want them again.
    pub fn forget_started(&mut self) {
        self.loads.retain(|_, load| !matches!(load.phase, LoadPhase::Started(_)));
        self.counter += 1;
    }

    /// Mean time of a load.
    pub fn load_time(&self) -> Duration {
        self.load_time.read()
    }

    /// Expected wait until an adapter that is asked for now is loaded.
    pub fn expected_wait(&self, load_limit: usize, now: Timestamp) -> Duration {
        let load_time = self.load_time.read();
        let oldest = self.loads.values().map(|load| now.saturating_sub(load.wanted)).max();
        let rounds = self.loads.len() / load_limit.max(1);
        // A load that has waited long shows a shortage of permits that the queue here does not.
        load_time.mul_f64(1.0 + rounds as f64).max(oldest.unwrap_or_default())
    }

    /// Expected wait for one adapter, which may be on its way.
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
