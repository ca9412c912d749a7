//! Estimate of the adapters in the memory of the engine's host.

use crate::{direct::call::AdapterId, ids::Timestamp};
use std::collections::HashMap;

/// Maximum of adapters; above it the one held longest ago is dropped. Bounds memory at about 100 bytes each.
const MEMORY_LIMIT: usize = 512;

/// Most adapters in a report, about 190 bytes: hosts hold about six times the slots of an engine.
const REPORTED_ADAPTERS: usize = 64;

/// Adapters that the engine held in this incarnation, and when last. When its memory is full, the host drops
/// the one held longest ago without notice; a load that takes too long shows which ones are gone.
#[derive(Debug, Default)]
pub(super) struct HostMemory {
    held: HashMap<AdapterId, Timestamp>,
}

impl HostMemory {
    /// Records that the engine held an adapter at `now`.
    pub(super) fn note(&mut self, id: AdapterId, now: Timestamp) {
        self.held.insert(id, now);
        if self.held.len() > MEMORY_LIMIT
            && let Some(oldest) = self.held.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.0.clone();
            self.held.remove(&oldest);
        }
    }

    /// Whether the host probably has an adapter in its memory.
    pub(super) fn holds(&self, id: &AdapterId) -> bool {
        self.held.contains_key(id)
    }

    /// Fingerprints of the adapters that were held last, without those for which `is_held` is true.
    pub(super) fn fingerprints(&self, is_held: impl Fn(&AdapterId) -> bool) -> Vec<u16> {
        let mut newest: Vec<(&Timestamp, &AdapterId)> =
            self.held.iter().map(|(id, at)| (at, id)).filter(|(_, id)| !is_held(id)).collect();
        if newest.len() > REPORTED_ADAPTERS {
            newest.select_nth_unstable_by(REPORTED_ADAPTERS, |a, b| b.cmp(a));
            newest.truncate(REPORTED_ADAPTERS);
        }
        newest.into_iter().map(|(_, id)| id.fingerprint()).collect()
    }

    /// Drops an adapter that was not in the host's memory, and all that were held before it.
    pub(super) fn forget_older(&mut self, id: &AdapterId) {
        let Some(&last) = self.held.get(id) else { return };
        self.held.retain(|_, at| *at > last);
    }
}
