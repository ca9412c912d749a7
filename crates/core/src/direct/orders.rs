//! An engine's report, the orders that it accepts, and its answers.

use super::{
    call::AdapterId,
    membership::{BaseHolding, TargetIncarnation},
};
use crate::ids::{AdapterVersion, BaseName};

/// The engine's report of its state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Base models and adapters held.
    pub holdings: Vec<BaseHolding>,
    /// Adapters being loaded.
    pub loading: Vec<(AdapterId, AdapterVersion)>,
    /// Whether a load or unload of a base model is in progress.
    pub is_busy: bool,
    /// Orders accepted since the engine's start.
    pub order_count: u64,
    /// Running calls.
    pub active: u16,
    /// Queued calls.
    pub queued: u16,
    /// Tokens of KV cache in use that cannot be evicted.
    pub kv_used: u32,
    /// Whether the engine is draining.
    pub is_draining: bool,
    /// When this incarnation of the engine started, as in [`TargetIncarnation`]; its id comes with the answer to
    /// a health check.
    pub started: Option<u64>,
}

impl EngineReport {
    /// Version of an adapter that is held.
    pub fn held(&self, adapter: &AdapterId) -> Option<AdapterVersion> {
        self.holding(&adapter.base)?.adapters.get(&adapter.name).copied()
    }

    /// Whether an adapter is being loaded or replaced.
    pub fn is_loading(&self, adapter: &AdapterId) -> bool {
        self.loading.iter().any(|(loading, _)| loading == adapter)
    }

    /// Adapters held that are not being replaced.
    pub fn settled_adapters(&self) -> impl Iterator<Item = AdapterId> {
        let all = self.holdings.iter().flat_map(BaseHolding::adapter_ids);
        all.filter(|id| !self.is_loading(id))
    }

    /// Slots taken by adapters held or being loaded.
    pub fn occupied(&self) -> usize {
        let held: usize = self.holdings.iter().map(|holding| holding.adapters.len()).sum();
        held + self.loading.iter().filter(|(id, _)| self.held(id).is_none()).count()
    }

    /// Slots taken by adapters of one base model held or being loaded.
    pub(super) fn occupied_by(&self, base: &str) -> usize {
        let new =
            self.loading.iter().filter(|(id, _)| &*id.base == base && self.held(id).is_none());
        self.holding(base).map_or(0, |holding| holding.adapters.len()) + new.count()
    }

    /// Whether a base model is held.
    pub(super) fn has_base(&self, base: &str) -> bool {
        self.holding(base).is_some()
    }

    fn holding(&self, base: &str) -> Option<&BaseHolding> {
        self.holdings.iter().find(|holding| &*holding.base == base)
    }

    /// The holding of a base model, to change its adapters.
    pub(super) fn holding_mut(&mut self, base: &str) -> Option<&mut BaseHolding> {
        self.holdings.iter_mut().find(|holding| &*holding.base == base)
    }
}

/// What an order does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderVerb {
    /// Loads a base model.
    LoadBase(BaseName),
    /// Loads an adapter, or replaces it by a newer version.
    LoadAdapter(AdapterId, AdapterVersion),
    /// Unloads an adapter.
    UnloadAdapter(AdapterId),
}

/// An order to the engine, with a compare-and-set on its order count.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// The action.
    pub verb: OrderVerb,
    /// Order count that the engine must have for the order to take effect.
    pub order_count: u64,
    /// Incarnation of the engine that must carry it out.
    pub incarnation: TargetIncarnation,
}

/// The engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It is done, or the adapter was held already.
    Done,
    /// Another order is in progress, or the order count differs.
    Conflict,
    /// Another incarnation of the engine received it.
    WrongInstance,
    /// It was refused and will not be carried out.
    Refused,
    /// No answer: it may be carried out later.
    Silent,
}
