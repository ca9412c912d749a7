//! Adapters that the engine holds, their pins, and the choice of eviction victims.

use crate::{
    demand::DecayedCount,
    ids::{AdapterDigest, AdapterKey, Timestamp},
};
use std::{collections::HashMap, time::Duration};

/// Half-life of the demand for an adapter. The adapters that compete for an engine's last slots are
/// requested about once a minute, so a shorter half-life could not rank them; an adapter that
/// suddenly becomes popular still outranks them within seconds. See docs/design/eviction.md.
const DEMAND_HALF_LIFE: Duration = Duration::from_mins(5);
/// Time after a load in which an adapter counts as fresh.
const FRESH_PERIOD: Duration = Duration::from_secs(5);
/// Demand added to a fresh adapter, so that two adapters of equal demand do not evict each other in
/// turn.
const FRESH_BONUS: f64 = 0.5;
/// Time after an eviction within which loading the adapter again counts as thrash.
const THRASH_WINDOW: Duration = Duration::from_secs(10);
/// Number of usage records above which those of adapters with little demand are dropped.
const USAGE_RECORD_LIMIT: usize = 4_096;

/// How a victim is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EvictionPolicy {
    /// The least recently used adapter.
    Lru,
    /// The adapter of least worth: its decayed demand, plus a bonus if it was loaded recently.
    #[default]
    Worth,
}

impl EvictionPolicy {
    /// Parses `lru` or `worth`.
    pub fn parse(text: &str) -> Result<Self, String> {
        match text {
            "lru" => Ok(Self::Lru),
            "worth" => Ok(Self::Worth),
            _ => Err(format!("eviction `{text}` is not one of lru, worth")),
        }
    }

    /// The name that [`EvictionPolicy::parse`] reads.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lru => "lru",
            Self::Worth => "worth",
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotPhase {
    Loading,
    Ready,
    Evicting,
}

#[derive(Debug)]
struct SlotRecord {
    phase: SlotPhase,
    loaded: Timestamp,
}

#[derive(Debug)]
struct AdapterUsage {
    pins: u32,
    demand: DecayedCount,
    used: Timestamp,
    evicted: Option<Timestamp>,
}

impl Default for AdapterUsage {
    fn default() -> Self {
        Self {
            pins: 0,
            demand: DecayedCount::new(DEMAND_HALF_LIFE),
            used: Duration::ZERO,
            evicted: None,
        }
    }
}

/// The engine's adapter slots, as this agent has ordered them to be filled.
#[derive(Debug)]
pub struct ResidentTable {
    slots: usize,
    eviction: EvictionPolicy,
    residents: HashMap<AdapterKey, SlotRecord>,
    usage: HashMap<AdapterKey, AdapterUsage>,
    counter: u64,
    thrash: u64,
    evictions: u64,
}

impl ResidentTable {
    /// An empty table.
    pub fn new(slots: usize, eviction: EvictionPolicy) -> Self {
        Self {
            slots,
            eviction,
            residents: HashMap::new(),
            usage: HashMap::new(),
            counter: 1,
            thrash: 0,
            evictions: 0,
        }
    }

    /// Counter that grows with each change of the set of ready adapters.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Number of loads of adapters that had been evicted less than `THRASH_WINDOW` before.
    pub fn thrash(&self) -> u64 {
        self.thrash
    }

    /// Number of evictions that the agent has ordered from the engine.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Whether requests can run on `key` now.
    pub fn is_ready(&self, key: &AdapterKey) -> bool {
        self.residents.get(key).is_some_and(|slot| slot.phase == SlotPhase::Ready)
    }

    /// Whether `key` is ready or being loaded.
    pub fn is_present(&self, key: &AdapterKey) -> bool {
        self.residents.get(key).is_some_and(|slot| slot.phase != SlotPhase::Evicting)
    }

    /// Whether an eviction is under way.
    pub fn is_evicting(&self) -> bool {
        self.residents.values().any(|slot| slot.phase == SlotPhase::Evicting)
    }

    /// Digests of the ready adapters, sorted.
    pub fn ready_digests(&self) -> Vec<AdapterDigest> {
        let ready = self.residents.iter().filter(|(_, slot)| slot.phase == SlotPhase::Ready);
        let mut digests: Vec<AdapterDigest> = ready.map(|(key, _)| key.digest()).collect();
        digests.sort_unstable();
        digests
    }

    /// The ready adapters, sorted.
    pub fn ready_keys(&self) -> Vec<AdapterKey> {
        let ready = self.residents.iter().filter(|(_, slot)| slot.phase == SlotPhase::Ready);
        let mut keys: Vec<AdapterKey> = ready.map(|(key, _)| key.clone()).collect();
        keys.sort();
        keys
    }

    /// Number of requests that pin `key`.
    pub fn pins(&self, key: &AdapterKey) -> u32 {
        self.usage.get(key).map_or(0, |usage| usage.pins)
    }

    /// Pins `key` for one accepted request and counts its demand.
    pub fn pin(&mut self, key: &AdapterKey, now: Timestamp) {
        let usage = self.usage.entry(key.clone()).or_default();
        usage.pins += 1;
        usage.demand.record(now);
        usage.used = now;
    }

    /// Releases one request's pin of `key`.
    pub fn unpin(&mut self, key: &AdapterKey) {
        if let Some(usage) = self.usage.get_mut(key) {
            usage.pins = usage.pins.saturating_sub(1);
        }
    }

    /// Records that `key` was used at `now`.
    pub fn touch(&mut self, key: &AdapterKey, now: Timestamp) {
        if let Some(usage) = self.usage.get_mut(key) {
            usage.used = now;
        }
    }

    /// Number of slots that loads have taken or could take: all but those of pinned adapters.
    pub fn loadable(&self) -> usize {
        let held = |(key, slot): &(&AdapterKey, &SlotRecord)| {
            slot.phase == SlotPhase::Ready && self.pins(key) > 0
        };
        self.slots.saturating_sub(self.residents.iter().filter(held).count())
    }

    /// Lowest demand among the adapters that could be evicted: 0 if a slot is free, `None` if all are
    /// pinned.
    pub fn victim_demand(&self, now: Timestamp) -> Option<f64> {
        if self.residents.len() < self.slots {
            return Some(0.0);
        }
        let demand =
            |key: &AdapterKey| self.usage.get(key).map_or(0.0, |usage| usage.demand.read(now));
        self.evictable().map(demand).min_by(f64::total_cmp)
    }

    /// Takes a free slot to load `key`; false if none is free or the adapter has a slot already.
    pub fn take_slot(&mut self, key: &AdapterKey, now: Timestamp) -> bool {
        if self.residents.len() >= self.slots || self.residents.contains_key(key) {
            return false;
        }
        if let Some(evicted) = self.usage.get(key).and_then(|usage| usage.evicted)
            && now.saturating_sub(evicted) < THRASH_WINDOW
        {
            self.thrash += 1;
        }
        let slot = SlotRecord { phase: SlotPhase::Loading, loaded: now };
        self.residents.insert(key.clone(), slot);
        true
    }

    /// Records the end of a load; a failed load frees its slot.
    pub fn load_ended(&mut self, key: &AdapterKey, loaded: bool, now: Timestamp) {
        let Some(slot) = self.residents.get_mut(key) else { return };
        if slot.phase != SlotPhase::Loading {
            return;
        }
        if loaded {
            slot.phase = SlotPhase::Ready;
            slot.loaded = now;
            self.counter += 1;
        } else {
            self.residents.remove(key);
        }
    }

    /// Chooses a victim and marks it as being evicted; `None` if all are pinned.
    pub fn begin_evict(&mut self, now: Timestamp) -> Option<AdapterKey> {
        let key = self
            .evictable()
            .min_by(|a, b| {
                self.worth(a, now).total_cmp(&self.worth(b, now)).then_with(|| a.cmp(b))
            })?
            .clone();
        self.residents.get_mut(&key)?.phase = SlotPhase::Evicting;
        self.usage.entry(key.clone()).or_default().evicted = Some(now);
        self.counter += 1;
        self.evictions += 1;
        self.prune_usage(now);
        Some(key)
    }

    /// Records the end of an eviction. If the engine kept the adapter, it is ready again.
    pub fn evict_ended(&mut self, key: &AdapterKey, evicted: bool) {
        let Some(slot) = self.residents.get_mut(key) else { return };
        if slot.phase != SlotPhase::Evicting {
            return;
        }
        if evicted {
            self.residents.remove(key);
        } else {
            slot.phase = SlotPhase::Ready;
            self.counter += 1;
        }
    }

    /// Updates the table from the engine's own list, except for adapters with an order under way.
    pub fn reconcile(&mut self, held: Vec<AdapterKey>, now: Timestamp) {
        let before = self.ready_keys();
        self.residents.retain(|key, slot| slot.phase != SlotPhase::Ready || held.contains(key));
        for key in held {
            let slot = SlotRecord { phase: SlotPhase::Ready, loaded: now };
            self.residents.entry(key).or_insert(slot);
        }
        if before != self.ready_keys() {
            self.counter += 1;
        }
    }

    /// Removes `key` if it is ready: the engine reported that it does not hold it.
    pub fn mark_missing(&mut self, key: &AdapterKey) {
        if self.is_ready(key) {
            self.residents.remove(key);
            self.counter += 1;
        }
    }

    /// Removes all residents, as after an engine's restart.
    pub fn clear(&mut self) {
        self.residents.clear();
        self.counter += 1;
    }

    fn evictable(&self) -> impl Iterator<Item = &AdapterKey> {
        let idle = |(key, slot): &(&AdapterKey, &SlotRecord)| {
            slot.phase == SlotPhase::Ready && self.pins(key) == 0
        };
        self.residents.iter().filter(idle).map(|(key, _)| key)
    }

    fn worth(&self, key: &AdapterKey, now: Timestamp) -> f64 {
        let Some(usage) = self.usage.get(key) else { return 0.0 };
        match self.eviction {
            EvictionPolicy::Lru => usage.used.as_secs_f64(),
            EvictionPolicy::Worth => {
                let loaded = self.residents.get(key).map_or(Duration::ZERO, |slot| slot.loaded);
                let fresh = now.saturating_sub(loaded) < FRESH_PERIOD;
                usage.demand.read(now) + if fresh { FRESH_BONUS } else { 0.0 }
            }
        }
    }

    // Without this, the table would keep a record of every adapter ever requested, up to 80,000.
    fn prune_usage(&mut self, now: Timestamp) {
        if self.usage.len() <= USAGE_RECORD_LIMIT {
            return;
        }
        let residents = &self.residents;
        self.usage.retain(|key, usage| {
            usage.pins > 0 || residents.contains_key(key) || usage.demand.read(now) > 0.5
        });
    }
}
