//! Engines that restart under another id or the same one.

use super::{BASE, adapter, machine, ms, notice, order_of, report, request, router};
use plantain_core::direct::{
    loader::LoaderStep,
    membership::TargetIncarnation,
    orders::{EngineReport, OrderAnswer, OrderVerb},
};

/// An engine restarted empty at the same address. Orders for its earlier incarnation must not reach the new
/// one, so the loader first queries its id and then loads its base model.
#[test]
fn a_restarted_engine_is_identified_and_gets_its_base_model() {
    let mut machine = machine(7, &[("a", 1)]);
    machine.take_notice(router(1), notice(1, vec![request("z", 1)], vec![]), ms(0));
    machine.take_report(EngineReport::default(), ms(10));
    assert_eq!(machine.next_step(ms(11)), LoaderStep::Identify);
    machine.take_instance("e2".into());
    assert_eq!(machine.next_step(ms(12)), LoaderStep::Poll);
    machine.take_report(EngineReport::default(), ms(13));
    let step = machine.next_step(ms(14));
    let order = order_of(&step).expect("an order");
    assert_eq!(order.verb, OrderVerb::LoadBase(BASE.into()));
    assert_eq!((&*order.incarnation.id, order.order_count), ("e2", 0));
}

/// An engine restarts under the same id, so its health check answers the same id as before. Only its start
/// time, or an order count that fell, shows that the adapters loaded before are gone.
#[test]
fn an_engine_that_restarts_under_its_id_is_another_incarnation() {
    for (started, order_count) in [(Some(900), 7), (Some(2_000), 9), (None, 0)] {
        let mut machine = machine(7, &[("a", 1)]);
        let first = EngineReport { started: Some(1_000), ..report(7, &[("a", 1)]) };
        machine.take_report(first, ms(1));
        machine.take_notice(router(1), notice(1, vec![request("z", 1)], vec![]), ms(2));
        let second = EngineReport { started, order_count, ..EngineReport::default() };
        machine.take_report(second.clone(), ms(10));
        assert_eq!(machine.next_step(ms(11)), LoaderStep::Identify, "{started:?}");
        machine.take_instance("e1".into());
        assert_eq!(machine.next_step(ms(12)), LoaderStep::Poll);
        machine.take_report(second, ms(13));
        let step = machine.next_step(ms(14));
        let order = order_of(&step).expect("an order");
        assert_eq!(order.verb, OrderVerb::LoadBase(BASE.into()));
        assert_eq!(order.incarnation, TargetIncarnation { id: "e1".into(), started });
    }
}

/// Guards against a run of a new incarnation that a router takes for one of the earlier incarnation, whose report it still
/// has: the new one must hold nothing until that report has expired.
#[test]
fn a_new_incarnation_loads_nothing_while_reports_of_the_earlier_one_count() {
    let of_start = |started| EngineReport { started: Some(started), ..EngineReport::default() };
    let mut machine = machine(0, &[]);
    machine.take_report(of_start(1_000), ms(1));
    machine.take_notice(router(1), notice(1, vec![request("z", 1)], vec![]), ms(2));
    machine.make_report(ms(100)).expect("a report");
    machine.take_report(of_start(2_000), ms(110));
    machine.take_instance("e1".into());
    let mut first_order = None;
    for now in 110..2_000 {
        match machine.next_step(ms(now)) {
            LoaderStep::Poll => machine.take_report(of_start(2_000), ms(now)),
            LoaderStep::Order(_) => {
                first_order = Some(now);
                break;
            }
            LoaderStep::Identify | LoaderStep::Wait(_) => {}
        }
    }
    assert!(first_order.is_some_and(|at| (400..700).contains(&at)), "{first_order:?}");
}

/// A load is delayed, and the engine restarts under the same id. When the new incarnation reaches the order
/// count of that load, the engine carries it out. If all slots were taken by then, it would hold one adapter
/// too many and crash; so one slot stays free until the count has passed.
#[test]
fn a_load_lost_in_an_earlier_incarnation_finds_a_slot() {
    let mut machine = machine(4, &[("a", 1), ("b", 1), ("c", 1)]);
    machine.take_notice(router(1), notice(1, vec![request("z", 1)], vec![]), ms(0));
    let step = machine.next_step(ms(1));
    machine.take_answer(order_of(&step).expect("a load"), OrderAnswer::Silent, ms(2));
    machine.take_report(report(0, &[]), ms(3));
    machine.take_instance("e1".into());
    machine.take_report(report(4, &[("d", 1), ("e", 1), ("f", 1)]), ms(4));
    let step = machine.next_step(ms(30));
    let verb = order_of(&step).map(|order| order.verb.clone());
    assert_eq!(verb, Some(OrderVerb::UnloadAdapter(adapter("d"))), "the fourth slot stays free");
    machine.take_report(report(5, &[("d", 1), ("e", 1), ("f", 1)]), ms(31));
    let step = machine.next_step(ms(32));
    let verb = order_of(&step).map(|order| order.verb.clone());
    assert_eq!(verb, Some(OrderVerb::LoadAdapter(adapter("z"), 1)), "the count has passed");
}
