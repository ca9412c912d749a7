//! Tests of the agent's state machine.

mod history;

use plantain_core::{
    agent::{
        AgentOptions, AgentState,
        events::{AgentAction, AgentEvent, LoadResult, OfferSummary, WorkId},
        residency::EvictionPolicy,
    },
    ids::AdapterKey,
    outcome::RefusalReason,
    priority::Priority,
    protocol::WorkItem,
    target::TargetKind,
};
use std::time::Duration;

const SLOTS: usize = 3;
const BATCH: u32 = 4;

fn key(index: u32) -> AdapterKey {
    AdapterKey::new(format!("house-{index}"), 1)
}

fn options() -> AgentOptions {
    AgentOptions {
        kind: TargetKind::Engine("scribe".into()),
        slots: SLOTS,
        batch_limit: BATCH,
        load_limit: 2,
        eviction: EvictionPolicy::Worth,
        residency_base: 0,
    }
}

fn offer(work: WorkId, adapter: u32) -> OfferSummary {
    OfferSummary {
        work,
        item: WorkItem::Completion { key: key(adapter), base: "scribe".into() },
        idempotent: true,
        priority: Priority::Normal,
        caller: "desk".into(),
        share: 1,
        time_left: Duration::from_secs(30),
        revision: 0,
    }
}

struct RefusalCase {
    name: &'static str,
    prepare: fn(&mut AgentState),
    change: fn(&mut OfferSummary),
    reason: RefusalReason,
}

#[test]
fn offers_that_cannot_be_served_are_refused_at_once() {
    let cases = [
        RefusalCase {
            name: "stopping",
            prepare: |state| drop(state.handle(AgentEvent::Stopping, Duration::ZERO)),
            change: |_| {},
            reason: RefusalReason::Leaving,
        },
        RefusalCase {
            name: "lease lost",
            prepare: |state| drop(state.handle(AgentEvent::LeaseHeld(false), Duration::ZERO)),
            change: |_| {},
            reason: RefusalReason::NoLease,
        },
        RefusalCase {
            name: "engine down",
            prepare: |state| drop(state.handle(AgentEvent::TargetUp(false), Duration::ZERO)),
            change: |_| {},
            reason: RefusalReason::TargetDown,
        },
        RefusalCase {
            name: "engine backs off",
            prepare: |state| {
                let backoff = AgentEvent::TargetBacksOff(Duration::from_secs(3));
                drop(state.handle(backoff, Duration::ZERO));
            },
            change: |_| {},
            reason: RefusalReason::TargetDown,
        },
        RefusalCase {
            name: "another base model",
            prepare: |_| {},
            change: |offer| {
                offer.item = WorkItem::Completion { key: key(1), base: "clerk".into() };
            },
            reason: RefusalReason::WrongTarget,
        },
        RefusalCase {
            name: "older configuration",
            prepare: |state| {
                let configured = AgentEvent::Configured { revision: 5, queue_limit: 8 };
                drop(state.handle(configured, Duration::ZERO));
            },
            change: |offer| offer.revision = 4,
            reason: RefusalReason::ConfigBehind,
        },
        RefusalCase {
            name: "no time left, adapter resident",
            prepare: |state| {
                drop(state.handle(AgentEvent::Inventory(vec![key(1)]), Duration::ZERO));
            },
            change: |offer| offer.time_left = Duration::ZERO,
            reason: RefusalReason::TooLate,
        },
        RefusalCase {
            name: "deadline before the load could end",
            prepare: |_| {},
            change: |offer| offer.time_left = Duration::from_millis(20),
            reason: RefusalReason::TooLate,
        },
    ];
    for case in cases {
        let mut state = AgentState::new(options());
        state.handle(AgentEvent::TargetUp(true), Duration::ZERO);
        (case.prepare)(&mut state);
        let mut offer = offer(1, 1);
        (case.change)(&mut offer);
        let actions = state.handle(AgentEvent::Offered(Box::new(offer)), Duration::ZERO);
        let refused = actions.iter().any(|action| {
            matches!(action, AgentAction::Refuse { refusal, .. } if refusal.reason == case.reason)
        });
        assert!(refused, "{}: {actions:?}", case.name);
    }
}

/// A busy caller and a quiet one wait for the same full engine. The busy one has queued many requests
/// first; the quiet one's request must start within two free slots, not behind the whole queue.
#[test]
fn busy_caller_does_not_starve_a_quiet_one() {
    let mut state = AgentState::new(AgentOptions { batch_limit: 1, ..options() });
    state.handle(AgentEvent::TargetUp(true), Duration::ZERO);
    state.handle(AgentEvent::Inventory(vec![key(1)]), Duration::ZERO);
    let mut started = Vec::new();
    let mut handle = |state: &mut AgentState, event: AgentEvent| {
        for action in state.handle(event, Duration::ZERO) {
            if let AgentAction::Start { work, .. } = action {
                started.push(work);
            }
        }
    };
    for work in 0..10 {
        handle(&mut state, AgentEvent::Offered(Box::new(offer(work, 1))));
    }
    let quiet = OfferSummary { caller: "guide".into(), ..offer(99, 1) };
    handle(&mut state, AgentEvent::Offered(Box::new(quiet)));
    for work in 0..2 {
        handle(&mut state, AgentEvent::Finished { work, service_time: Duration::from_millis(1) });
    }
    assert!(started.contains(&99), "started: {started:?}");
}

/// The queue is full of lower-priority work when an upper-priority request arrives: the newest of the
/// lower ones is refused at once with a `retry_after`, and the upper one gets its slot.
#[test]
fn upper_priority_request_displaces_lower_work() {
    let mut state = AgentState::new(AgentOptions { batch_limit: 1, ..options() });
    state.handle(AgentEvent::TargetUp(true), Duration::ZERO);
    state.handle(AgentEvent::Configured { revision: 1, queue_limit: 4 }, Duration::ZERO);
    let with = |work, priority| OfferSummary { priority, revision: 1, ..offer(work, 1) };
    let mut refused = Vec::new();
    for work in 0..8 {
        let event = AgentEvent::Offered(Box::new(with(work, Priority::Lower)));
        for action in state.handle(event, Duration::ZERO) {
            if let AgentAction::Refuse { work, refusal } = action {
                assert!(refusal.retry_after.is_some());
                refused.push(work);
            }
        }
    }
    assert_eq!(refused, [3, 4, 5, 6, 7], "the lower priority may fill half of the queue");
    let mut shed = Vec::new();
    for work in 10..13 {
        let event = AgentEvent::Offered(Box::new(with(work, Priority::Upper)));
        for action in state.handle(event, Duration::ZERO) {
            if let AgentAction::Refuse { work, .. } = action {
                shed.push(work);
            }
        }
    }
    assert_eq!(shed, [2], "one lower request is refused");
}

/// Guards against adapters that evict each other in turn: an adapter that was just loaded is worth more
/// than its demand for a few seconds, so the next load evicts an older adapter of equal demand.
#[test]
fn fresh_adapter_is_evicted_after_an_older_one_of_equal_demand() {
    let mut state = AgentState::new(options());
    state.handle(AgentEvent::TargetUp(true), Duration::ZERO);
    state.handle(AgentEvent::Inventory((0..3).map(key).collect()), Duration::ZERO);
    let mut evicted = Vec::new();
    for (round, adapter) in (3..6).enumerate() {
        let now = Duration::from_secs(20) + Duration::from_millis(100) * round as u32;
        let mut events = vec![AgentEvent::Offered(Box::new(offer(round as u64, adapter)))];
        while let Some(event) = events.pop() {
            for action in state.handle(event, now) {
                match action {
                    AgentAction::AskPermit { key, .. } => {
                        events.push(AgentEvent::LoadPermitted(key));
                    }
                    AgentAction::Evict { key } => {
                        evicted.push(key.clone());
                        events.push(AgentEvent::EvictEnded { key, evicted: true });
                    }
                    AgentAction::Load { key } => events.push(AgentEvent::LoadEnded {
                        key,
                        result: LoadResult::Loaded,
                        took: Duration::from_millis(10),
                    }),
                    AgentAction::Start { work, .. } => events.push(AgentEvent::Finished {
                        work,
                        service_time: Duration::from_millis(10),
                    }),
                    _ => {}
                }
            }
        }
    }
    assert_eq!(evicted, [key(0), key(1), key(2)]);
}

/// Guards against work that waits at an agent and is sent to its target during the target's backoff, and
/// against a backoff that is still in force after the target's restart.
#[test]
fn a_target_that_backs_off_gets_no_work_until_its_backoff_is_over() {
    let at = Duration::from_secs;
    let offered = |work| AgentEvent::Offered(Box::new(offer(work, 1)));
    let is_start = |action: &AgentAction| matches!(action, AgentAction::Start { .. });
    let mut state = AgentState::new(AgentOptions { batch_limit: 1, ..options() });
    state.handle(AgentEvent::TargetUp(true), at(0));
    state.handle(AgentEvent::Inventory(vec![key(1)]), at(0));
    assert!(state.handle(offered(1), at(0)).iter().any(is_start));
    state.handle(offered(2), at(0));
    let actions = state.handle(AgentEvent::TargetBacksOff(at(3)), at(1));
    let retry_after = actions.iter().find_map(|action| match action {
        AgentAction::Refuse { work: 2, refusal } => refusal.retry_after,
        _ => None,
    });
    assert_eq!(retry_after, Some(at(3)), "{actions:?}");
    let finished = AgentEvent::Finished { work: 1, service_time: at(1) };
    assert!(!state.handle(finished, at(2)).iter().any(is_start));
    assert!(!state.handle(offered(3), at(3)).iter().any(is_start));
    assert!(state.handle(offered(4), at(4)).iter().any(is_start), "the backoff is over");
    state.handle(AgentEvent::TargetBacksOff(Duration::MAX), at(5));
    state.handle(AgentEvent::TargetRestarted, at(6));
    state.handle(AgentEvent::Finished { work: 4, service_time: at(1) }, at(6));
    state.handle(AgentEvent::Inventory(vec![key(1)]), at(6));
    assert!(
        state.handle(offered(5), at(6)).iter().any(is_start),
        "the next incarnation takes work"
    );
}

/// Guards against a non-idempotent request that is sent to the engine again although its caller disconnected, because
/// the engine had refused the first send for lack of the adapter.
#[test]
fn a_cancelled_request_that_the_engine_refused_is_not_sent_again() {
    let mut state = AgentState::new(options());
    let mut handle = |event| state.handle(event, Duration::ZERO);
    handle(AgentEvent::TargetUp(true));
    handle(AgentEvent::Inventory(vec![key(1)]));
    let offer = OfferSummary { idempotent: false, ..offer(1, 1) };
    handle(AgentEvent::Offered(Box::new(offer)));
    let started = handle(AgentEvent::Released(1));
    assert!(started.iter().any(|action| matches!(action, AgentAction::Start { work: 1, .. })));
    let cancelled = handle(AgentEvent::Cancelled(1));
    assert!(cancelled.is_empty(), "a running request was cancelled: {cancelled:?}");
    let mut actions = handle(AgentEvent::AdapterMissing(1));
    actions.extend(handle(AgentEvent::LoadPermitted(key(1))));
    let result = LoadResult::Loaded;
    let took = Duration::from_millis(30);
    actions.extend(handle(AgentEvent::LoadEnded { key: key(1), result, took }));
    let is_sent = actions.iter().any(|action| matches!(action, AgentAction::Start { .. }));
    assert!(!is_sent, "sent again: {actions:?}");
    assert_eq!((state.queued(), state.pins(&key(1))), (0, 0));
}
