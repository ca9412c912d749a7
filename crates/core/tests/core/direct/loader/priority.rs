//! Priority of loads, and the limit on concurrent loads from the weight store.

use super::{adapter, machine, ms, notice, order_of, report, request, router, running};
use plantain_core::direct::{
    messages::LoadRequest,
    orders::{EngineReport, OrderAnswer, OrderVerb},
};

struct PriorityCase {
    name: &'static str,
    load_requests: [LoadRequest; 2],
    first: &'static str,
}

/// The weight store is overloaded, and calls wait for their adapters longer than their objective. In FIFO
/// order all calls after the first late one would be late too, so those that can still be in time go first.
#[test]
fn calls_that_can_be_in_time_have_their_adapters_loaded_first() {
    let late = |name| LoadRequest { slack_ms: 0, ..request(name, 1) };
    let too_late = |name| LoadRequest { slack_ms: 100, ..request(name, 1) };
    let urgent = |name| LoadRequest { priority: 0, ..late(name) };
    let in_time = |name| LoadRequest { priority: 3, ..request(name, 1) };
    let cases = [
        PriorityCase { name: "late", load_requests: [late("x"), request("y", 1)], first: "y" },
        PriorityCase {
            name: "too little time",
            load_requests: [too_late("x"), request("y", 1)],
            first: "y",
        },
        PriorityCase {
            name: "late and urgent",
            load_requests: [urgent("x"), in_time("y")],
            first: "y",
        },
        PriorityCase { name: "equals", load_requests: [in_time("x"), request("y", 1)], first: "y" },
        PriorityCase { name: "both late", load_requests: [late("x"), late("y")], first: "x" },
        PriorityCase { name: "prefetch", load_requests: [request("x", 0), late("y")], first: "y" },
    ];
    for case in cases {
        let mut machine = machine(7, &[]);
        let [early, later] = case.load_requests;
        machine.take_notice(router(1), notice(1, vec![early.clone()], vec![]), ms(0));
        machine.take_notice(router(1), notice(2, vec![early, later], vec![]), ms(1));
        let step = machine.next_step(ms(2));
        let verb = order_of(&step).map(|order| order.verb.clone());
        assert_eq!(verb, Some(OrderVerb::LoadAdapter(adapter(case.first), 1)), "{}", case.name);
    }
}

fn loading(order_count: u64, held: &[(&str, u32)], names: &[&str]) -> EngineReport {
    let loading = names.iter().map(|name| (adapter(name), 1)).collect();
    EngineReport { loading, ..report(order_count, held) }
}

/// A loader that runs as many loads as its engine takes slows down the loads of all others. It must begin
/// with a single one; a load from host memory does not use the store and does not count.
#[test]
fn loads_from_the_store_wait_for_the_window() {
    let mut machine = machine(7, &[("a", 1)]);
    machine.take_notice(
        router(1),
        notice(1, vec![request("x", 1), request("y", 1)], vec![]),
        ms(0),
    );
    let step = machine.next_step(ms(1));
    machine.take_answer(order_of(&step).expect("a load"), OrderAnswer::Accepted, ms(2));
    machine.take_report(loading(8, &[("a", 1)], &["x"]), ms(20));
    assert!(order_of(&machine.next_step(ms(21))).is_none(), "one is loading");
    let waits = machine.make_report(ms(21)).expect("a report");
    assert!(waits.queue_ms >= waits.load_ms, "the next one waits for it");
    machine.take_report(report(8, &[("a", 1), ("x", 1)]), ms(250));
    let step = machine.next_step(ms(251));
    let verb = order_of(&step).map(|order| order.verb.clone());
    assert_eq!(verb, Some(OrderVerb::LoadAdapter(adapter("y"), 1)));
}

/// A new version replaces an adapter whose runs last for seconds, and counts as loading all that time. If it
/// were recorded as a slow load, the window would shrink for calls that wait for other adapters.
#[test]
fn a_replacement_that_waits_for_runs_delays_no_load() {
    let mut machine = machine(7, &[("a", 1)]);
    let newer = LoadRequest { version: 2, ..request("a", 1) };
    machine.take_notice(router(1), notice(1, vec![newer], vec![running("a", 3)]), ms(0));
    let step = machine.next_step(ms(1));
    machine.take_answer(order_of(&step).expect("a replacement"), OrderAnswer::Accepted, ms(2));
    machine.take_report(loading(8, &[("a", 1)], &["a"]), ms(20));
    machine.take_notice(router(1), notice(2, vec![request("y", 1)], vec![running("a", 3)]), ms(21));
    let step = machine.next_step(ms(22));
    let verb = order_of(&step).map(|order| order.verb.clone());
    assert_eq!(verb, Some(OrderVerb::LoadAdapter(adapter("y"), 1)));
    let before = machine.make_report(ms(23)).expect("a report").load_ms;
    machine.take_report(report(8, &[("a", 2)]), ms(4_000));
    assert_eq!(machine.make_report(ms(4_001)).expect("a report").load_ms, before);
}

/// The window is full, and a call waits for an adapter that was just evicted and is still in host memory.
/// Its load must not wait for loads from the weight store, which it does not use.
#[test]
fn a_load_from_the_hosts_memory_does_not_wait_for_the_window() {
    let held: &[(&str, u32)] = &[("b", 1), ("c", 1), ("d", 1)];
    let mut machine = machine(7, &[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    machine.take_notice(router(1), notice(1, vec![request("y", 1)], vec![]), ms(200));
    for verb in [OrderVerb::UnloadAdapter(adapter("a")), OrderVerb::LoadAdapter(adapter("y"), 1)] {
        let step = machine.next_step(ms(201));
        let order = order_of(&step).expect("an order").clone();
        assert_eq!(order.verb, verb);
        let is_load = matches!(verb, OrderVerb::LoadAdapter(..));
        let answer = if is_load { OrderAnswer::Accepted } else { OrderAnswer::Done };
        machine.take_answer(&order, answer, ms(202));
    }
    machine.take_report(loading(9, held, &["y"]), ms(210));
    machine.take_notice(router(1), notice(2, vec![request("z", 1)], vec![]), ms(211));
    assert!(order_of(&machine.next_step(ms(212))).is_none(), "never held: it waits");
    machine.take_notice(router(1), notice(3, vec![request("a", 1)], vec![]), ms(213));
    let step = machine.next_step(ms(214));
    let verb = order_of(&step).map(|order| order.verb.clone());
    assert!(matches!(verb, Some(OrderVerb::UnloadAdapter(_))), "a slot for it: {verb:?}");
}
