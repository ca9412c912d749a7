//! The loader's orders, against an engine whose answers get lost and that carries orders out late.

mod fake_engine;
mod incarnations;
mod memory;
mod order;
mod priority;

use self::fake_engine::FakeEngine;
use super::support::{BASE, adapter, holding, ms};
use plantain_core::direct::{
    call::AdapterId,
    loader::{LoaderMachine, LoaderStep},
    messages::{AdapterUse, BaseOffer, LoadRequest, RouterNotice},
    orders::{EngineOrder, EngineReport, OrderAnswer, OrderVerb},
};
use quickcheck::{Gen, QuickCheck};
use std::{net::SocketAddr, time::Duration};

const SLOTS: u16 = 4;

fn router(index: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + index).into()
}

fn request(name: &str, waiting: u16) -> LoadRequest {
    LoadRequest {
        base: BASE.into(),
        adapter: name.into(),
        version: 1,
        waiting,
        priority: 0,
        slack_ms: 500,
    }
}

fn running(name: &str, count: u16) -> AdapterUse {
    AdapterUse {
        base: BASE.into(),
        adapter: name.into(),
        running: count,
        started: count,
        started_tokens: 0,
    }
}

fn started(name: &str) -> AdapterUse {
    AdapterUse { running: 0, ..running(name, 1) }
}

fn notice(sequence: u32, load_requests: Vec<LoadRequest>, uses: Vec<AdapterUse>) -> RouterNotice {
    RouterNotice {
        boot: 1,
        sequence,
        incarnation: "e1".into(),
        adapter_slots: SLOTS,
        memory_mb: 80_000.0,
        bases: vec![BaseOffer { base: BASE.into(), weights_mb: 70_000.0, adapter_mb: 60.0 }],
        load_requests,
        uses,
        wants_report: false,
        answered_tokens: 0,
        best_prefill: 0,
        ended_runs: 0,
        ended_ms: 0,
        sizes: vec![],
    }
}

fn report(order_count: u64, adapters: &[(&str, u32)]) -> EngineReport {
    EngineReport { holdings: vec![holding(adapters)], order_count, ..EngineReport::default() }
}

/// A machine whose engine is identified and has reported what it holds.
fn machine(order_count: u64, adapters: &[(&str, u32)]) -> LoaderMachine {
    let mut machine = LoaderMachine::new(1);
    machine.take_report(report(order_count, adapters), ms(0));
    machine.take_instance("e1".into());
    machine.take_report(report(order_count, adapters), ms(0));
    machine
}

fn order_of(step: &LoaderStep) -> Option<&EngineOrder> {
    match step {
        LoaderStep::Order(order) => Some(order),
        _ => None,
    }
}

struct OrderCase {
    name: &'static str,
    held: &'static [(&'static str, u32)],
    notice: RouterNotice,
    at: u64,
    verb: Option<OrderVerb>,
}

#[test]
fn load_requests_become_orders() {
    let full = &[("a", 1), ("b", 1), ("c", 1), ("d", 1)];
    let cases = [
        OrderCase {
            name: "nothing requested",
            held: &[("a", 1)],
            notice: notice(1, vec![], vec![]),
            at: 1,
            verb: None,
        },
        OrderCase {
            name: "a free slot",
            held: &[("a", 1)],
            notice: notice(1, vec![request("z", 1)], vec![]),
            at: 1,
            verb: Some(OrderVerb::LoadAdapter(adapter("z"), 1)),
        },
        OrderCase {
            name: "held already",
            held: &[("z", 1)],
            notice: notice(1, vec![request("z", 1)], vec![]),
            at: 1,
            verb: None,
        },
        OrderCase {
            name: "a newer version replaces the old in its slot",
            held: full,
            notice: notice(1, vec![LoadRequest { version: 2, ..request("b", 1) }], vec![]),
            at: 1,
            verb: Some(OrderVerb::LoadAdapter(adapter("b"), 2)),
        },
        OrderCase {
            name: "full: the one not in use is evicted",
            held: full,
            notice: notice(
                1,
                vec![request("z", 1)],
                vec![running("a", 1), running("b", 1), running("d", 2)],
            ),
            at: 1,
            verb: Some(OrderVerb::UnloadAdapter(adapter("c"))),
        },
        OrderCase {
            name: "an adapter that is not running but was just used stays",
            held: full,
            notice: notice(
                1,
                vec![request("z", 1)],
                vec![running("a", 1), running("b", 1), running("d", 2), started("c")],
            ),
            at: 1,
            verb: None,
        },
        OrderCase {
            name: "all in use: the request waits",
            held: full,
            notice: notice(
                1,
                vec![request("z", 1)],
                vec![running("a", 1), running("b", 3), running("c", 1), running("d", 2)],
            ),
            at: 1,
            verb: None,
        },
        OrderCase {
            name: "a call before a prefetch",
            held: &[],
            notice: notice(1, vec![request("y", 0), request("z", 1)], vec![]),
            at: 1,
            verb: Some(OrderVerb::LoadAdapter(adapter("z"), 1)),
        },
    ];
    for case in cases {
        let mut machine = machine(7, case.held);
        machine.take_notice(router(1), case.notice, ms(0));
        let step = machine.next_step(ms(case.at));
        let order = order_of(&step);
        assert_eq!(order.map(|order| order.verb.clone()), case.verb, "{}", case.name);
        assert!(order.is_none_or(|order| order.order_count == 7), "{}", case.name);
    }
}

/// Every adapter of an engine is in use all the time, so that a call for another one would wait until its deadline.
/// After a while the least used adapter must be evicted.
#[test]
fn a_call_that_waits_long_gets_a_slot() {
    let mut machine = machine(7, &[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    let uses = || vec![running("a", 2), running("b", 1), running("c", 3), running("d", 2)];
    machine.take_notice(router(1), notice(1, vec![request("z", 1)], uses()), ms(0));
    for (sequence, at) in [(2, 800), (3, 1_550)] {
        machine.take_report(report(7, &[("a", 1), ("b", 1), ("c", 1), ("d", 1)]), ms(at));
        let is_early = order_of(&machine.next_step(ms(at + 1))).is_none();
        assert!(is_early || at > 1_500, "at {at} ms");
        machine.take_notice(router(1), notice(sequence, vec![request("z", 1)], uses()), ms(at));
    }
    let step = machine.next_step(ms(1_551));
    let verb = order_of(&step).map(|order| order.verb.clone());
    assert_eq!(verb, Some(OrderVerb::UnloadAdapter(adapter("b"))));
}

/// A call waits for an adapter at a full engine. The adapter is loaded, but its first use is reported only half a
/// second later. If the next load request evicted it before that, two adapters would thrash while the caller waits.
#[test]
fn a_new_adapter_is_not_evicted_first() {
    let mut machine = machine(7, &[("a", 1), ("b", 1), ("c", 1)]);
    let uses = vec![running("a", 0), running("b", 0), running("c", 0)];
    machine.take_notice(router(1), notice(1, vec![request("z", 1)], uses), ms(10));
    let step = machine.next_step(ms(11));
    let order = order_of(&step).expect("a load").clone();
    machine.take_answer(&order, OrderAnswer::Accepted, ms(12));
    machine.take_report(report(8, &[("a", 1), ("b", 1), ("c", 1), ("z", 1)]), ms(40));
    machine.take_notice(router(1), notice(2, vec![request("y", 1)], vec![]), ms(200));
    machine.take_report(report(8, &[("a", 1), ("b", 1), ("c", 1), ("z", 1)]), ms(200));
    let step = machine.next_step(ms(201));
    let verb = order_of(&step).map(|order| order.verb.clone());
    assert_eq!(verb, Some(OrderVerb::UnloadAdapter(adapter("a"))));
}

/// A call's adapter was loaded and evicted again before the router's next notice, so its last notice still
/// requests it. Loading it once more would evict an adapter in demand for a call that was served already.
#[test]
fn a_fulfilled_load_request_causes_no_second_load() {
    let mut machine = machine(7, &[("a", 1)]);
    machine.take_notice(router(1), notice(1, vec![request("z", 1)], vec![]), ms(0));
    machine.take_report(report(8, &[("a", 1), ("z", 1)]), ms(40));
    machine.take_report(report(9, &[("a", 1)]), ms(60));
    assert!(matches!(machine.next_step(ms(61)), LoaderStep::Wait(_)));
    machine.take_notice(router(1), notice(2, vec![request("z", 1)], vec![]), ms(70));
    assert!(order_of(&machine.next_step(ms(71))).is_some(), "a new notice requests it again");
}

/// Rare adapters are loaded and evicted; one with lasting demand must stay even if its last call is older
/// than theirs.
#[test]
fn the_adapter_with_the_least_demand_is_evicted() {
    let mut machine = machine(7, &[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    let used = |name, count| AdapterUse { started: count, ..running(name, 0) };
    machine.take_notice(router(1), notice(1, vec![], vec![used("a", 9), used("b", 5)]), ms(0));
    machine.take_notice(router(1), notice(2, vec![], vec![used("c", 1), used("d", 2)]), ms(500));
    machine.take_notice(router(1), notice(3, vec![request("z", 1)], vec![]), ms(900));
    machine.take_report(report(7, &[("a", 1), ("b", 1), ("c", 1), ("d", 1)]), ms(900));
    let step = machine.next_step(ms(901));
    let verb = order_of(&step).map(|order| order.verb.clone());
    assert_eq!(verb, Some(OrderVerb::UnloadAdapter(adapter("c"))));
}

struct FreeSlotsCase {
    name: &'static str,
    held: &'static [(&'static str, u32)],
    load_requests: Vec<LoadRequest>,
    uses: Vec<AdapterUse>,
    free_slots: i32,
}

/// All slots of an engine are taken by adapters in use. A load there waits until runs end, while another
/// engine has free slots: routers must learn this from the report before they choose a target.
#[test]
fn reports_state_how_many_loads_can_begin_without_waiting() {
    let full = &[("a", 1), ("b", 1), ("c", 1), ("d", 1)];
    let all_used = || ["a", "b", "c", "d"].map(|name| running(name, 1)).to_vec();
    let cases = [
        FreeSlotsCase {
            name: "empty",
            held: &[],
            load_requests: vec![],
            uses: vec![],
            free_slots: 4,
        },
        FreeSlotsCase {
            name: "full, none in use",
            held: full,
            load_requests: vec![],
            uses: vec![],
            free_slots: 4,
        },
        FreeSlotsCase {
            name: "full, two in use",
            held: full,
            load_requests: vec![],
            uses: vec![running("a", 1), running("b", 3)],
            free_slots: 2,
        },
        FreeSlotsCase {
            name: "all in use",
            held: full,
            load_requests: vec![],
            uses: all_used(),
            free_slots: 0,
        },
        FreeSlotsCase {
            name: "all in use, and two loads wait for a slot",
            held: full,
            load_requests: vec![request("x", 1), request("y", 2)],
            uses: all_used(),
            free_slots: -2,
        },
        FreeSlotsCase {
            name: "prefetches take no slot",
            held: full,
            load_requests: vec![request("x", 0)],
            uses: all_used(),
            free_slots: 0,
        },
    ];
    for case in cases {
        let mut machine = machine(4, case.held);
        machine.take_notice(router(1), notice(1, case.load_requests, case.uses), ms(0));
        let report = machine.make_report(ms(500)).expect("a report");
        assert_eq!(report.free_slots, case.free_slots, "{}", case.name);
    }
}

/// An engine that does not answer gets no orders, and the loader's report says that it does not answer.
#[test]
fn an_unresponsive_engine_gets_no_orders() {
    let mut machine = machine(7, &[("a", 1)]);
    machine.take_notice(router(1), notice(1, vec![request("z", 1)], vec![]), ms(0));
    machine.note_silence(ms(5));
    assert!(matches!(machine.next_step(ms(6)), LoaderStep::Wait(_)));
    assert!(!machine.make_report(ms(0)).expect("a report").is_answering);
}

/// A simulated engine: it accepts an order only on its order count; some answers are lost, and some orders
/// are carried out late.
/// An engine that is ordered to hold more adapters than it has slots crashes and ends all its streams. This
/// must not happen, whichever answers are lost or orders carried out late, even in a later incarnation under
/// the same id.
#[test]
fn an_engine_is_never_ordered_to_hold_more_than_its_slots() {
    fn property(events: Vec<(u8, u8)>, reports_start: bool) -> bool {
        let mut machine = machine(0, &[]);
        let mut engine = FakeEngine::new(reports_start.then_some(1));
        let mut now = ms(1);
        for (sequence, (kind, detail)) in events.into_iter().enumerate() {
            now += Duration::from_millis(u64::from(detail % 40));
            let name = format!("a{}", detail % 9);
            if kind % 5 == 0 {
                let load_requests = vec![request(&name, u16::from(kind % 2))];
                machine.take_notice(
                    router(1),
                    notice(sequence as u32 + 1, load_requests, vec![]),
                    now,
                );
            }
            engine.play(&mut machine, kind, true, now);
            if engine.overfilled {
                return false;
            }
        }
        true
    }
    let property = property as fn(Vec<(u8, u8)>, bool) -> bool;
    QuickCheck::new().rng(Gen::new(500)).tests(1_000).quickcheck(property);
}

/// Guards against routers that treat a load from host memory like one from the weight store, because the loader does not
/// report what its host has.
#[test]
fn a_report_lists_the_adapters_in_host_memory() {
    let mut machine = machine(1, &[("h1", 1), ("h2", 1)]);
    let fingerprint = |name: &str| AdapterId { base: BASE.into(), name: name.into() }.fingerprint();
    assert!(machine.make_report(ms(1)).expect("a report").host_memory.is_empty());
    let order = EngineOrder {
        verb: OrderVerb::UnloadAdapter(AdapterId { base: BASE.into(), name: "h1".into() }),
        order_count: 1,
        incarnation: "e1".into(),
    };
    machine.take_answer(&order, OrderAnswer::Done, ms(2));
    let unloaded = machine.make_report(ms(3)).expect("a report");
    assert_eq!(unloaded.host_memory, [fingerprint("h1")]);
    machine.take_report(report(0, &[]), ms(10));
    machine.take_instance("e1".into());
    machine.take_report(report(0, &[]), ms(11));
    let restarted = machine.make_report(ms(12)).expect("a report");
    assert!(restarted.host_memory.is_empty(), "a host forgets with a restart of its engine");
}
