//! What an engine says of itself, the orders that it takes, and its answers.

use super::{
    call::AdapterId,
    membership::{BaseHolding, TargetIncarnation},
};
use crate::ids::{AdapterVersion, BaseName};

/// What the engine says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Base models and adapters held.
    pub holdings: Vec<BaseHolding>,
    /// Adapters being loaded.
    pub loading: Vec<(AdapterId, AdapterVersion)>,
    /// Whether a load or unload of a base model is under way.
    pub is_busy: bool,
    /// Orders accepted since the engine's start.
    pub order_count: u64,
    /// Calls that run.
    pub active: u16,
    /// Calls that wait.
    pub queued: u16,
    /// Tokens of memory in use that cannot be given up.
    pub kv_used: u32,
    /// Whether the engine is draining.
    pub is_draining: bool,
    /// When this incarnation of the engine started, as in [`TargetIncarnation`]; the answer to a health check
    /// tells the id.
    pub started: Option<u64>,
}

impl EngineReport {
    /// Version of an adapter that is held.
    pub fn held(&self, adapter: &AdapterId) -> Option<AdapterVersion> {
        let holding = self.holdings.iter().find(|holding| holding.base == adapter.base)?;
        holding.adapters.get(&adapter.name).copied()
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

    /// Slots taken by adapters held and by those on their way.
    pub fn occupied(&self) -> usize {
        let held: usize = self.holdings.iter().map(|holding| holding.adapters.len()).sum();
        held + self.loading.iter().filter(|(id, _)| self.held(id).is_none()).count()
    }

    /// The base model of that name, to change what is held of it.
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

/// An order to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// What it does.
    pub verb: OrderVerb,
    /// Order count that the engine must have.
    pub order_count: u64,
    /// The engine's incarnation for which it is meant.
    pub incarnation: TargetIncarnation,
}

/// What the engine answered to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It is done, or held already.
    Done,
    /// Another order is under way, or the order count differs.
    Conflict,
    /// It went to another incarnation of the engine.
    WrongInstance,
    /// It was refused for good.
    Refused,
    /// No answer: it may be carried out later.
    Silent,
}
