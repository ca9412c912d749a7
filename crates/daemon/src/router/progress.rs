//! Progress of a call, shared by the call and the owner of its future.

use crate::clock;
use plantain_core::ids::Timestamp;
use std::{cell::Cell, rc::Rc};

/// What the owner of a call's future must know to decide whether the call can be cancelled, and what the call's log
/// line must know of its caller.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    caller_left: Cell<Option<Timestamp>>,
}

impl CallProgress {
    /// When the caller disconnected while the call went on; `None` if it did not.
    pub(crate) fn caller_left(&self) -> Option<Timestamp> {
        self.caller_left.get()
    }
}

/// Records that the caller has disconnected, if dropped before the call's end.
pub(crate) struct DisconnectGuard(Option<Rc<CallProgress>>);

impl DisconnectGuard {
    /// Guards a call from its start.
    pub(crate) fn new(progress: &Rc<CallProgress>) -> Self {
        Self(Some(Rc::clone(progress)))
    }

    /// Ends the guard at the call's end.
    pub(crate) fn finish(mut self) {
        self.0 = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(progress) = self.0.take() {
            progress.caller_left.set(Some(clock::now()));
        }
    }
}
