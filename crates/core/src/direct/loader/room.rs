//! Room of the engine for adapters: slots and memory in one account.
//!
//! An engine that has to hold more than its slots or its memory allow crashes, with all its runs. Loads are therefore
//! counted against both, by the largest sizes and the smallest bounds that routers state: while a changed configuration
//! spreads, either of two may be the engine's.

use super::LoaderMachine;
use crate::{
    direct::{messages::BaseOffer, orders::EngineReport},
    ids::BaseName,
};
use std::{collections::HashMap, sync::Arc};

/// Most base models whose sizes are remembered; at this number, those that the engine does not hold are dropped.
const SIZES_LIMIT: usize = 256;

/// Sizes in MB of a base model.
#[derive(Clone, Copy, Debug, PartialEq)]
struct BaseSize {
    weights: f64,
    adapter: f64,
}

impl BaseSize {
    fn of(offer: &BaseOffer) -> Self {
        Self { weights: offer.weights_mb.into(), adapter: offer.adapter_mb.into() }
    }

    fn max(self, other: Self) -> Self {
        Self { weights: self.weights.max(other.weights), adapter: self.adapter.max(other.adapter) }
    }
}

/// Sizes of base models as routers last stated them. Notices state them only with load requests, and only for base
/// models that the router knows at the engine.
#[derive(Debug, Default)]
pub(super) struct KnownSizes {
    sizes: HashMap<BaseName, BaseSize>,
}

impl KnownSizes {
    /// Records the sizes of a notice.
    pub(super) fn note(&mut self, offers: &[BaseOffer], report: Option<&EngineReport>) {
        for offer in offers {
            if self.sizes.len() >= SIZES_LIMIT {
                self.sizes.retain(|base, _| report.is_some_and(|report| report.has_base(base)));
            }
            self.sizes.insert(Arc::clone(&offer.base), BaseSize::of(offer));
        }
    }

    fn is_empty(&self) -> bool {
        self.sizes.is_empty()
    }

    fn get(&self, base: &str) -> Option<BaseSize> {
        self.sizes.get(base).copied()
    }
}

/// Room that loads of earlier incarnations without an answer may still take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LostRoom {
    /// Adapter slots.
    pub slots: usize,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// Memory of an engine in MB, and what it holds.
#[derive(Debug)]
struct MemoryUse {
    limit: f64,
    weights: f64,
    adapters: f64,
    /// Size of one adapter of each base model held.
    adapter_sizes: Vec<(BaseName, f64)>,
}

/// The account of one engine at its last report.
#[derive(Debug)]
pub(super) struct EngineRoom {
    slots: usize,
    occupied: usize,
    lost: LostRoom,
    /// `None` while no router has stated any sizes, as those of an older build may not: then slots alone count.
    memory: Option<MemoryUse>,
}

impl EngineRoom {
    /// Whether one more adapter of a base model fits beside all that is held, being loaded, or may yet be loaded.
    pub(super) fn fits(&self, base: &BaseName) -> bool {
        let has_memory = self.memory.as_ref().is_none_or(|memory| {
            let used = memory.weights + memory.adapters + self.lost.memory_mb;
            used + memory.adapter_size(base) <= memory.limit
        });
        has_memory && self.occupied + self.lost.slots < self.slots
    }

    /// Whether an adapter of a base model fits once all other adapters are evicted.
    pub(super) fn may_fit(&self, base: &BaseName) -> bool {
        let has_memory = self
            .memory
            .as_ref()
            .is_none_or(|memory| memory.weights + memory.adapter_size(base) <= memory.limit);
        has_memory && self.slots > 0
    }

    /// Adapters that the engine can hold, as many as are held now among them; in memory by the largest size.
    pub(super) fn slots(&self) -> usize {
        let Some(memory) = &self.memory else { return self.slots };
        let free = memory.limit - memory.weights - memory.adapters;
        let largest = memory.adapter_sizes.iter().map(|(_, size)| *size).fold(0.0, f64::max);
        if largest <= 0.0 && free >= 0.0 {
            return self.slots;
        }
        let more = (free / largest).max(0.0) as usize;
        self.slots.min(self.occupied.saturating_add(more))
    }
}

impl MemoryUse {
    /// Size of an adapter; without bound if nobody stated it.
    fn adapter_size(&self, base: &BaseName) -> f64 {
        let own = self.adapter_sizes.iter().find(|(name, _)| name == base);
        own.map_or(f64::INFINITY, |(_, size)| *size)
    }
}

impl LoaderMachine {
    /// The engine's room by the notices of routers; `None` without any.
    pub(super) fn room(&self, report: &EngineReport) -> Option<EngineRoom> {
        let notices = self.notices.values().map(|state| &state.notice);
        let slots = notices.clone().map(|notice| notice.adapter_slots).min()?;
        let limit = notices.map(|notice| notice.memory_mb).fold(f32::INFINITY, f32::min);
        let lost = self.instance.as_ref().map_or_else(LostRoom::default, |id| {
            let size = |base: &BaseName| self.size_of(base).map_or(0.0, |size| size.adapter);
            self.lost.room(id, report.order_count, size)
        });
        let memory = (!self.sizes.is_empty()).then(|| self.memory_use(report, limit.into()));
        Some(EngineRoom { slots: slots.into(), occupied: report.occupied(), lost, memory })
    }

    fn memory_use(&self, report: &EngineReport, limit: f64) -> MemoryUse {
        let mut memory =
            MemoryUse { limit, weights: 0.0, adapters: 0.0, adapter_sizes: Vec::new() };
        for holding in &report.holdings {
            // A base model of unknown size may fill the memory.
            let unknown = BaseSize { weights: f64::INFINITY, adapter: 0.0 };
            let size = self.size_of(&holding.base).unwrap_or(unknown);
            memory.weights += size.weights;
            memory.adapters += size.adapter * report.occupied_by(&holding.base) as f64;
            memory.adapter_sizes.push((Arc::clone(&holding.base), size.adapter));
        }
        memory
    }

    /// The largest sizes of a base model that routers state now, else those stated last.
    fn size_of(&self, base: &BaseName) -> Option<BaseSize> {
        let stated = self.notices.values().flat_map(|state| &state.notice.sizes);
        let stated = stated.filter(|offer| offer.base == *base).map(BaseSize::of);
        stated.chain(self.sizes.get(base)).reduce(BaseSize::max)
    }
}
