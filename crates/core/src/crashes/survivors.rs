//! Suspects of which runs went well lately, and which router tells the others of it.

use super::CrashRecord;
use crate::{
    fingerprint::SuspectId,
    ids::{BootId, Timestamp},
};
use std::{collections::HashMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a survival clears its suspect of crashes that are recorded later: the longest time that a crash
/// takes to be detected and reported.
const SURVIVAL_TTL: Duration = Duration::from_secs(10);
/// Maximum number of suspects that are remembered: four a call at 100 calls a second over [`SURVIVAL_TTL`]. Bounds
/// memory at about 0.2 MB.
const SURVIVOR_LIMIT: usize = 4_096;
/// Interval at which old entries are dropped once the limit is reached.
const PRUNE_PAUSE: Duration = Duration::from_secs(1);
/// Routers that tell a survival at once.
const FIRST_TELLERS: f64 = 2.0;
/// Time after which twice as many routers may tell a survival. Within it, what one of them tells reaches the others.
const TURN_TIME: Duration = Duration::from_millis(500);

/// Suspects with the time of their last survival.
#[derive(Debug, Default)]
pub(super) struct SurvivorTable {
    survivors: HashMap<SuspectId, Timestamp>,
    pruned: Timestamp,
}

impl SurvivorTable {
    pub(super) fn insert(&mut self, suspect: SuspectId, now: Timestamp) {
        let is_full = self.survivors.len() >= SURVIVOR_LIMIT;
        if is_full && now.saturating_sub(self.pruned) >= PRUNE_PAUSE {
            self.pruned = now;
            self.survivors.retain(|_, at| now.saturating_sub(*at) < SURVIVAL_TTL);
        }
        if let Some(at) = self.survivors.get_mut(&suspect) {
            *at = now;
        } else if self.survivors.len() < SURVIVOR_LIMIT {
            self.survivors.insert(suspect, now);
        }
    }

    /// Whether the suspect has survived at any time that is still remembered.
    pub(super) fn contains(&self, suspect: SuspectId) -> bool {
        self.survivors.contains_key(&suspect)
    }

    /// Whether it has survived so lately that crashes recorded now do not count.
    pub(super) fn has_survived(&self, suspect: SuspectId, now: Timestamp) -> bool {
        let survived = self.survivors.get(&suspect);
        survived.is_some_and(|at| now.saturating_sub(*at) < SURVIVAL_TTL)
    }
}

/// Time that a router waits before it tells the others that a suspect is cleared of a crash. Of all routers that saw a
/// survival about two tell it at once; the others only if nobody has by their turn.
pub(super) fn turn_delay(boot: BootId, record: CrashRecord, routers: usize) -> Duration {
    let seed = boot ^ record.target ^ record.suspect as u64;
    let share = xxh3_64_with_seed(&record.suspect.to_le_bytes(), seed) as f64 / u64::MAX as f64;
    let rank = share * routers as f64;
    if rank < FIRST_TELLERS {
        return Duration::ZERO;
    }
    TURN_TIME.mul_f64((rank / FIRST_TELLERS).log2().ceil())
}
