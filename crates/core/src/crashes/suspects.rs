//! What a call accuses when its target crashes.

use crate::{
    direct::call::PromptPart,
    fingerprint::{CallFingerprint, SuspectId, part_suspect},
};
use std::{iter::once, sync::Arc};

/// Events after which a target has begun to write the answer of a run and has survived its prompt. The first event may
/// leave a target that crashes on it.
pub const BEGUN_EVENTS: u64 = 2;

/// The suspects of one call: the request itself and the parts of its prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallSuspects {
    call: CallFingerprint,
    parts: Arc<[SuspectId]>,
}

impl CallSuspects {
    /// Suspects of a request with these prompt parts.
    pub fn new(call: CallFingerprint, parts: &[PromptPart]) -> Self {
        Self { call, parts: parts.iter().map(|part| part_suspect(part.hash)).collect() }
    }

    /// Fingerprint of the request.
    pub fn call(&self) -> CallFingerprint {
        self.call
    }

    /// The prompt parts, in order.
    pub fn parts(&self) -> &[SuspectId] {
        &self.parts
    }

    /// The call and its parts.
    pub fn all(&self) -> Vec<SuspectId> {
        once(self.call).chain(self.parts.iter().copied()).collect()
    }

    /// What is accused if the target ends: the call, and its parts unless the run had begun to write.
    pub fn accused(&self, has_begun: bool) -> Vec<SuspectId> {
        if has_begun { vec![self.call] } else { self.all() }
    }
}
