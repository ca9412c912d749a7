//! Cancellation of calls whose callers disconnect.

use crate::clock;
use plantain_core::ids::Timestamp;
use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tokio::task::spawn_local;

/// Progress of a call, shared by the call and the owner of its future.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    may_be_running: Cell<bool>,
    caller_left: Cell<Option<Timestamp>>,
}

impl CallProgress {
    /// Sets whether the call may be running at a target.
    pub(crate) fn set_running(&self, may_be_running: bool) {
        self.may_be_running.set(may_be_running);
    }

    /// When the caller disconnected while the call went on; `None` if it did not.
    pub(crate) fn caller_left(&self) -> Option<Timestamp> {
        self.caller_left.get()
    }
}

/// A call that is not idempotent. If its caller disconnects, which drops this future, the call is cancelled as long as
/// it provably has not run; after that it goes on in a task of its own.
pub(crate) struct DetachableCall<F: Future + 'static> {
    call: Option<Pin<Box<F>>>,
    progress: Rc<CallProgress>,
}

impl<F: Future + 'static> DetachableCall<F> {
    /// Wraps a call that updates `progress`.
    pub(crate) fn new(call: F, progress: Rc<CallProgress>) -> Self {
        Self { call: Some(Box::pin(call)), progress }
    }
}

impl<F: Future + 'static> Future for DetachableCall<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let Some(call) = self.call.as_mut() else { return Poll::Pending };
        let polled = call.as_mut().poll(context);
        if polled.is_ready() {
            self.call = None;
        }
        polled
    }
}

impl<F: Future + 'static> Drop for DetachableCall<F> {
    fn drop(&mut self) {
        let running = self.call.take().filter(|_| self.progress.may_be_running.get());
        if let Some(call) = running {
            self.progress.caller_left.set(Some(clock::now()));
            spawn_local(async move {
                call.await;
            });
        }
    }
}
