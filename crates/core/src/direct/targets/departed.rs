//! Targets that were removed from the list: an entry may expire while its target runs, and return in the same
//! incarnation.

use super::{
    super::{advertised_state::AdvertisedState, target::TargetState, target_limit::KnownLimit},
    TargetPool,
};
use crate::ids::Timestamp;

/// Removed targets whose advertised state is kept.
const DEPARTED_LIMIT: usize = 256;

/// What a target advertised before or after its entry was removed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DepartedTarget {
    pub(super) limit: KnownLimit,
    pub(super) advertised: AdvertisedState,
}

impl DepartedTarget {
    fn as_of(&self) -> Timestamp {
        self.limit.as_of.max(self.advertised.as_of)
    }
}

impl TargetPool {
    /// Keeps what removed targets have advertised, if that may still hold.
    pub(super) fn keep_departed(&mut self, departed: impl Iterator<Item = TargetState>) {
        let known = departed.filter(|target| target.is_limited() || target.advertised.is_known());
        self.departed.extend(known.map(|target| {
            let TargetState { limit, advertised, .. } = target;
            (target.entry.incarnation.stable_hash(), DepartedTarget { limit, advertised })
        }));
        self.bound_departed();
    }

    /// Drops the targets with the oldest advertised state beyond `DEPARTED_LIMIT`.
    pub(super) fn bound_departed(&mut self) {
        while self.departed.len() > DEPARTED_LIMIT {
            let oldest = self.departed.iter().min_by_key(|(_, departed)| departed.as_of());
            let Some(tag) = oldest.map(|(tag, _)| *tag) else { break };
            self.departed.remove(&tag);
        }
    }
}
