//! What a call holds at a target, let go however the call ends.

use super::{super::constants, RouterContext};
use crate::clock;
use plantain_core::{
    crashes::UnresolvedRun,
    direct::{call::AdapterId, membership::TargetIncarnation},
    fingerprint::CallFingerprint,
    ids::{AdapterVersion, Timestamp},
};
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};

/// A call at a target, counted there for as long as this lives, however it ends.
pub(crate) struct CallGuard {
    context: Rc<RouterContext>,
    incarnation: TargetIncarnation,
    call: CallFingerprint,
    adapter: Option<AdapterId>,
    prefill_tokens: u32,
    sent: Timestamp,
    is_answered: bool,
    is_overdue: bool,
    may_still_run: bool,
    end: RunEnd,
}

/// What is known of how a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunEnd {
    /// Nothing: its caller went away, or its time was over.
    Unresolved,
    /// The target broke it off.
    Broken,
    /// It ended, or never began.
    Settled,
}

impl CallGuard {
    /// Counts a call whose prompt has `tokens`.
    pub(crate) fn new(
        context: &Rc<RouterContext>,
        incarnation: &TargetIncarnation,
        call: CallFingerprint,
        adapter: Option<AdapterId>,
        tokens: u32,
    ) -> Self {
        let is_only = context.pool.borrow_mut().call_started(incarnation, adapter.as_ref(), tokens);
        if is_only {
            // The loader may be about to evict the adapter: an unload waits for the runs that use it,
            // and holds up all further orders of its engine until they end.
            context.notify_loader(incarnation);
        }
        Self {
            context: Rc::clone(context),
            incarnation: incarnation.clone(),
            call,
            adapter,
            prefill_tokens: tokens,
            sent: clock::now(),
            is_answered: false,
            is_overdue: false,
            may_still_run: false,
            end: RunEnd::Unresolved,
        }
    }

    /// The target.
    pub(crate) fn target(&self) -> &TargetIncarnation {
        &self.incarnation
    }

    /// When it was sent.
    pub(crate) fn sent(&self) -> Timestamp {
        self.sent
    }

    /// Says what is known of how the run ended; nothing if this is not called.
    pub(crate) fn set_end(&mut self, end: RunEnd) {
        self.end = end;
    }

    /// The run came to its end, well or not, and the target lives.
    pub(crate) fn survived(&mut self) {
        self.end = RunEnd::Settled;
        self.context.note_survival(&self.incarnation, self.call);
    }

    /// The target did not say how the call ended, and may still run it.
    pub(crate) fn set_may_still_run(&mut self) {
        self.may_still_run = true;
    }

    /// The first byte came.
    pub(crate) fn answered(&mut self) {
        self.is_answered = true;
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        self.context.pool.borrow_mut().call_answered(&self.incarnation, prefill_tokens);
        self.set_overdue(false);
    }

    /// Marks the first byte as overdue.
    pub(crate) fn set_overdue(&mut self, is_overdue: bool) {
        if self.is_overdue != is_overdue {
            self.is_overdue = is_overdue;
            self.context.pool.borrow_mut().mark_overdue(&self.incarnation, is_overdue);
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.set_overdue(false);
        if self.end != RunEnd::Settled {
            let is_broken = self.end == RunEnd::Broken;
            let run = UnresolvedRun { call: self.call, sent: self.sent, is_broken };
            self.context.note_unresolved_run(&self.incarnation, run);
        }
        {
            let mut pool = self.context.pool.borrow_mut();
            pool.call_ended(&self.incarnation, self.prefill_tokens);
            if self.is_answered {
                pool.run_ended(&self.incarnation, clock::now().saturating_sub(self.sent));
            }
        }
        let Some(adapter) = self.adapter.take() else { return };
        let (context, incarnation) = (Rc::clone(&self.context), self.incarnation.clone());
        if !self.may_still_run {
            context.end_use(&incarnation, &adapter);
            return;
        }
        // An unload of an adapter that is in use holds up its engine, so it counts as in use until the
        // run has most likely ended.
        spawn_local(async move {
            sleep(constants::ABANDONED_RUN_TIME).await;
            context.end_use(&incarnation, &adapter);
        });
    }
}

/// A call that waits for an adapter at a target, for as long as this lives.
pub(crate) struct WaitGuard {
    context: Rc<RouterContext>,
    woken: Rc<Notify>,
    incarnation: TargetIncarnation,
    adapter: AdapterId,
    version: AdapterVersion,
    due: Timestamp,
}

/// An adapter that a call needs.
pub(crate) struct AdapterNeed<'a> {
    /// The adapter.
    pub(crate) adapter: &'a AdapterId,
    /// Oldest version that serves.
    pub(crate) version: AdapterVersion,
    /// Rank of the call; 0 is first.
    pub(crate) priority: u8,
    /// When it must be there for the call to meet its objective.
    pub(crate) due: Timestamp,
}

impl WaitGuard {
    /// Wishes for the adapter.
    pub(crate) fn new(
        context: &Rc<RouterContext>,
        incarnation: &TargetIncarnation,
        need: &AdapterNeed<'_>,
    ) -> Self {
        let AdapterNeed { adapter, version, priority, due } = *need;
        let now = clock::now();
        context.pool.borrow_mut().add_waiter(incarnation, adapter, version, priority, due, now);
        context.notify_loader(incarnation);
        Self {
            context: Rc::clone(context),
            woken: context.waiter(incarnation),
            incarnation: incarnation.clone(),
            adapter: adapter.clone(),
            version,
            due,
        }
    }

    /// The target.
    pub(crate) fn target(&self) -> &TargetIncarnation {
        &self.incarnation
    }

    /// Waits until the target's loader has news, or for `limit`.
    pub(crate) async fn wait_for_report(&self, limit: Duration) {
        let _ = timeout(limit, self.woken.notified()).await;
    }

    /// Whether it waits for this version of the adapter at this target. A version that is announced meanwhile must
    /// be wished for anew, or its loader takes the wish for met once the one before is there.
    pub(crate) fn is_for(
        &self,
        incarnation: &TargetIncarnation,
        adapter: &AdapterId,
        version: AdapterVersion,
    ) -> bool {
        self.incarnation == *incarnation && self.adapter == *adapter && self.version == version
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.context.pool.borrow_mut().remove_waiter(&self.incarnation, &self.adapter, self.due);
    }
}
