//! Which adapters the engine's host has in its memory, as far as the loader can tell.

use crate::{direct::call::AdapterId, ids::Timestamp};
use std::collections::HashMap;

/// Adapters remembered; beyond it the one held longest ago is forgotten. Bounds memory at about 100 bytes
/// each.
const MEMORY_LIMIT: usize = 512;

/// Adapters that the engine held in this incarnation, and when last. The host drops the one held longest ago
/// when its memory is full, without telling anybody; a load that took too long shows how far that has gone.
#[derive(Debug, Default)]
pub(super) struct HostMemory {
    held: HashMap<AdapterId, Timestamp>,
}

impl HostMemory {
    /// The engine held an adapter at `now`.
    pub(super) fn note(&mut self, id: AdapterId, now: Timestamp) {
        self.held.insert(id, now);
        if self.held.len() > MEMORY_LIMIT
            && let Some(oldest) = self.held.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.0.clone();
            self.held.remove(&oldest);
        }
    }

    /// Whether the host most likely has an adapter in its memory.
    pub(super) fn holds(&self, id: &AdapterId) -> bool {
        self.held.contains_key(id)
    }

    /// An adapter was not in the host's memory, so none is that was held before it.
    pub(super) fn forget_older(&mut self, id: &AdapterId) {
        let Some(&last) = self.held.get(id) else { return };
        self.held.retain(|_, at| *at > last);
    }
}
