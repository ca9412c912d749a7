//! Targets that have left the list: an entry may lapse while its target lives, and come back in the same
//! incarnation.

use super::{
    super::{target::TargetState, target_limit::KnownLimit, target_statement::TargetStatement},
    TargetPool,
};
use crate::ids::Timestamp;

/// Targets that have left the list of which is kept what they have stated.
const DEPARTED_LIMIT: usize = 256;

/// What a target stated before it left the list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DepartedTarget {
    pub(super) limit: KnownLimit,
    pub(super) statement: TargetStatement,
}

impl DepartedTarget {
    fn as_of(&self) -> Timestamp {
        self.limit.as_of.max(self.statement.as_of)
    }
}

impl TargetPool {
    /// Keeps what targets have stated that have left the list.
    pub(super) fn keep_departed(&mut self, departed: impl Iterator<Item = TargetState>) {
        let known = departed.filter(|target| target.is_limited() || target.statement.is_known());
        self.departed.extend(known.map(|target| {
            let TargetState { limit, statement, .. } = target;
            (target.entry.incarnation.incarnation_hash(), DepartedTarget { limit, statement })
        }));
        self.bound_departed();
    }

    /// Forgets the targets that have been silent for longest.
    pub(super) fn bound_departed(&mut self) {
        while self.departed.len() > DEPARTED_LIMIT {
            let oldest = self.departed.iter().min_by_key(|(_, departed)| departed.as_of());
            let Some(tag) = oldest.map(|(tag, _)| *tag) else { break };
            self.departed.remove(&tag);
        }
    }
}
