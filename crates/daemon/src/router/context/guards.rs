//! Guards that count a call, or its wait, at a target and release it when dropped.

use super::{
    super::{constants, slots::SlotGuard},
    RouterContext,
};
use crate::clock;
use plantain_core::{
    crashes::{BEGUN_EVENTS, CallSuspects, UnresolvedRun},
    direct::{call::AdapterId, membership::TargetIncarnation},
    ids::{AdapterVersion, Timestamp},
};
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Counts a call at its target until dropped, and then records how its run ended.
pub(crate) struct CallGuard {
    context: Rc<RouterContext>,
    incarnation: TargetIncarnation,
    suspects: Rc<CallSuspects>,
    adapter: Option<AdapterId>,
    prefill_tokens: u32,
    sent: Timestamp,
    stage: AnswerStage,
    is_overdue: bool,
    may_still_run: bool,
    end: RunEnd,
    /// Slot of a plain service's target that the call holds.
    slot: Option<SlotGuard>,
}

/// How far the answer to a call is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
enum AnswerStage {
    /// No byte of it has arrived.
    Awaited,
    /// Its first byte has arrived.
    Answered,
    /// Its target has begun to write and lives.
    Begun,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunEnd {
    /// Unknown: the caller left, the wait for the answer timed out, or the answer does not show whether the call ran.
    Unresolved,
    /// The target closed the connection before the end of its answer.
    Broken,
    /// The run ended, or never began.
    Settled,
}

impl CallGuard {
    /// Counts a call whose prompt has `tokens` tokens.
    pub(crate) fn new(
        context: &Rc<RouterContext>,
        incarnation: &TargetIncarnation,
        suspects: Rc<CallSuspects>,
        adapter: Option<AdapterId>,
        tokens: u32,
    ) -> Self {
        let is_only = context.pool.borrow_mut().call_started(incarnation, adapter.as_ref(), tokens);
        if is_only {
            // The loader may be about to evict the adapter. An unload waits for the runs that use the adapter and
            // blocks all further orders of the engine until they end.
            context.notify_loader(incarnation);
        }
        Self {
            context: Rc::clone(context),
            incarnation: incarnation.clone(),
            suspects,
            adapter,
            prefill_tokens: tokens,
            sent: clock::now(),
            stage: AnswerStage::Awaited,
            is_overdue: false,
            may_still_run: false,
            end: RunEnd::Unresolved,
            slot: None,
        }
    }

    /// Holds a slot until the call ends.
    pub(crate) fn with_slot(mut self, slot: Option<SlotGuard>) -> Self {
        self.slot = slot;
        self
    }

    /// Target of the call.
    pub(crate) fn target(&self) -> &TargetIncarnation {
        &self.incarnation
    }

    /// When the call was sent.
    pub(crate) fn sent(&self) -> Timestamp {
        self.sent
    }

    /// Sets how the run ended; [`RunEnd::Unresolved`] if this is never called.
    pub(crate) fn set_end(&mut self, end: RunEnd) {
        self.end = end;
    }

    /// Records that the target completed its answer and did not crash.
    pub(crate) fn set_survived(&mut self) {
        self.end = RunEnd::Settled;
        self.context.note_survival(&self.incarnation, &self.suspects.all());
    }

    /// Records that the target failed the run and did not crash. It may not have come to the parts of the prompt.
    pub(crate) fn set_failed(&mut self) {
        self.end = RunEnd::Settled;
        self.context.note_survival(&self.incarnation, &[self.suspects.call()]);
    }

    /// Records how many events of its answer the target has sent.
    pub(crate) fn set_events(&mut self, events: u64) {
        if events >= BEGUN_EVENTS && self.stage < AnswerStage::Begun {
            self.stage = AnswerStage::Begun;
            self.context.note_survival(&self.incarnation, self.suspects.parts());
        }
    }

    /// Records that the call got no answer and that the target may still run it.
    pub(crate) fn set_may_still_run(&mut self) {
        self.may_still_run = true;
    }

    /// Records the first byte of the answer.
    pub(crate) fn set_answered(&mut self) {
        if self.stage == AnswerStage::Awaited {
            self.stage = AnswerStage::Answered;
            let tokens = std::mem::take(&mut self.prefill_tokens);
            let time = clock::now().saturating_sub(self.sent);
            let mut pool = self.context.pool.borrow_mut();
            pool.call_answered(&self.incarnation, self.adapter.as_ref(), tokens, time);
        }
        self.set_overdue(false);
    }

    /// Sets whether the first byte of the answer is overdue.
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
            let suspects = self.suspects.accused(self.stage == AnswerStage::Begun);
            let run = UnresolvedRun { suspects, sent: self.sent, is_broken };
            self.context.note_unresolved_run(&self.incarnation, run);
        }
        {
            let mut pool = self.context.pool.borrow_mut();
            pool.call_ended(&self.incarnation, self.prefill_tokens);
            if self.stage > AnswerStage::Awaited {
                pool.run_ended(&self.incarnation, clock::now().saturating_sub(self.sent));
            }
        }
        if let Some(slot) = self.slot.as_mut().filter(|_| self.stage > AnswerStage::Awaited) {
            slot.set_run(clock::now().saturating_sub(self.sent));
        }
        let Some(adapter) = self.adapter.take() else { return };
        let (context, incarnation) = (Rc::clone(&self.context), self.incarnation.clone());
        if !self.may_still_run {
            context.end_use(&incarnation, &adapter);
            return;
        }
        // Unloading an adapter that is in use blocks its engine, so the adapter counts as in use until the run has
        // most likely ended.
        spawn_local(async move {
            sleep(constants::ABANDONED_RUN_TIME).await;
            context.end_use(&incarnation, &adapter);
        });
    }
}

/// Requests an adapter load at a target for a waiting call until dropped.
pub(crate) struct WaitGuard {
    context: Rc<RouterContext>,
    woken: Rc<Notify>,
    incarnation: TargetIncarnation,
    adapter: AdapterId,
    version: AdapterVersion,
    due: Timestamp,
}

/// Adapter that a call needs.
pub(crate) struct AdapterNeed<'a> {
    /// Base model and name of the adapter.
    pub(crate) adapter: &'a AdapterId,
    /// Oldest version that may serve the call.
    pub(crate) version: AdapterVersion,
    /// Priority of the call; 0 is the highest.
    pub(crate) priority: u8,
    /// When the adapter must be loaded for the call to meet its objective.
    pub(crate) due: Timestamp,
}

impl WaitGuard {
    /// Adds a waiter for the adapter and sends the loader a notice.
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

    /// Target at which the adapter is requested.
    pub(crate) fn target(&self) -> &TargetIncarnation {
        &self.incarnation
    }

    /// Waits for the next report of the target's loader, at most `limit`.
    pub(crate) async fn wait_for_report(&self, limit: Duration) {
        let _ = timeout(limit, self.woken.notified()).await;
    }

    /// Whether the guard waits for this version of the adapter at this target. A version announced during the wait
    /// needs a new load request: the loader considers the old one fulfilled once the previous version is loaded.
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
