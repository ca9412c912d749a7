//! Which loads go first, and how many are on their way from the weight store.

use super::{adapter, machine, ms, notice, order_of, report, request, router, running};
use plantain_core::direct::{
    messages::LoadRequest,
    orders::{EngineReport, OrderAnswer, OrderVerb},
};

struct TurnCase {
    name: &'static str,
    load_requests: [LoadRequest; 2],
    first: &'static str,
}

/// The weight store is overloaded, and calls wait for their adapters longer than their objective. Served in
/// the order in which they came, each would be late once the first was; so those that can still be in time
/// go first.
#[test]
fn calls_that_can_be_in_time_have_their_adapters_loaded_first() {
    let late = |name| LoadRequest { slack_ms: 0, ..request(name, 1) };
    let hopeless = |name| LoadRequest { slack_ms: 100, ..request(name, 1) };
    let urgent = |name| LoadRequest { priority: 0, ..late(name) };
    let calm = |name| LoadRequest { priority: 3, ..request(name, 1) };
    let cases = [
        TurnCase { name: "late", load_requests: [late("x"), request("y", 1)], first: "y" },
        TurnCase {
            name: "too little time",
            load_requests: [hopeless("x"), request("y", 1)],
            first: "y",
        },
        TurnCase { name: "late and urgent", load_requests: [urgent("x"), calm("y")], first: "y" },
        TurnCase { name: "equals", load_requests: [calm("x"), request("y", 1)], first: "y" },
        TurnCase { name: "both late", load_requests: [late("x"), late("y")], first: "x" },
        TurnCase {
            name: "ahead of calls",
            load_requests: [request("x", 0), late("y")],
            first: "y",
        },
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

/// Each loader that keeps as many loads on their way as its engine takes slows down those of all others.
/// One begins with a single load; what the host still has in its memory takes nothing of the store.
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
    assert!(order_of(&machine.next_step(ms(21))).is_none(), "one is on its way");
    let waits = machine.make_report(ms(21)).expect("a report");
    assert!(waits.queue_ms >= waits.load_ms, "the next one waits for it");
    machine.take_report(report(8, &[("a", 1), ("x", 1)]), ms(250));
    let step = machine.next_step(ms(251));
    let verb = order_of(&step).map(|order| order.verb.clone());
    assert_eq!(verb, Some(OrderVerb::LoadAdapter(adapter("y"), 1)));
}

/// A new version replaces an adapter whose runs last for seconds, and is on its way all that time. Taken for
/// a slow load, it would close the window for the calls that wait for other adapters.
#[test]
fn a_replacement_that_waits_for_runs_holds_up_no_load() {
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

/// The window is full, and a call waits for an adapter that was evicted a moment ago and is still in the
/// host's memory. It must not wait for loads from the weight store, of which it needs nothing.
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
    assert!(matches!(verb, Some(OrderVerb::UnloadAdapter(_))), "a place for it: {verb:?}");
}
