//! Versions of targets' software in the answers between routers.
//!
//! Entries of targets are encoded without the version, as builds without it encode them. The versions follow the
//! answer: such a build ignores them, and reads of its answers that no version is known.

use super::{
    membership::{ListChange, TargetEntry},
    sharing::{SharedChange, SharedDelta},
    snapshot::PeerSnapshot,
};
use crate::ids::SoftwareVersion;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Versions of the software of an answer's targets, in the order of its entries.
#[derive(Debug, Default, Deserialize, Serialize)]
struct SoftwareList(Vec<Option<SoftwareVersion>>);

/// An answer of a router that lists targets.
pub trait TargetAnswer {
    /// The entries that it lists, in the order in which they are encoded.
    fn entries_mut(&mut self) -> impl Iterator<Item = &mut Arc<TargetEntry>>;
    /// The entries that it lists, in the same order.
    fn entries(&self) -> impl Iterator<Item = &Arc<TargetEntry>>;
}

impl TargetAnswer for PeerSnapshot {
    fn entries_mut(&mut self) -> impl Iterator<Item = &mut Arc<TargetEntry>> {
        self.targets.iter_mut().flatten()
    }

    fn entries(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.targets.iter().flatten()
    }
}

impl TargetAnswer for SharedDelta {
    fn entries_mut(&mut self) -> impl Iterator<Item = &mut Arc<TargetEntry>> {
        let changes = self.kinds.iter_mut().flat_map(|kind| &mut kind.changes);
        changes.filter_map(|change| match change {
            SharedChange::Target(ListChange::Put(entry)) => Some(entry),
            _ => None,
        })
    }

    fn entries(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        let changes = self.kinds.iter().flat_map(|kind| &kind.changes);
        changes.filter_map(|change| match change {
            SharedChange::Target(ListChange::Put(entry)) => Some(entry),
            _ => None,
        })
    }
}

/// Encodes an answer, followed by the versions of the software of its targets.
pub fn encode_answer<A: Serialize + TargetAnswer>(answer: &A) -> postcard::Result<Vec<u8>> {
    let software = SoftwareList(answer.entries().map(|entry| entry.software.clone()).collect());
    let mut bytes = postcard::to_allocvec(answer)?;
    bytes.extend(postcard::to_allocvec(&software)?);
    Ok(bytes)
}

/// Decodes an answer. A target whose version does not follow has no known one.
pub fn decode_answer<'a, A: Deserialize<'a> + TargetAnswer>(
    bytes: &'a [u8],
) -> postcard::Result<A> {
    let (mut answer, rest) = postcard::take_from_bytes::<A>(bytes)?;
    let software =
        if rest.is_empty() { SoftwareList::default() } else { postcard::from_bytes(rest)? };
    for (entry, software) in answer.entries_mut().zip(software.0) {
        Arc::make_mut(entry).software = software;
    }
    Ok(answer)
}
