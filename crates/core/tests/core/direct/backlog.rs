//! Prompt tokens that engines have not prefilled yet.

use super::support::{ENGINES, adapter, config, model_call, ms, pool, report, target};
use plantain_core::direct::{
    backlog::PrefillBacklog,
    messages::LoaderReport,
    selection::{CallNeed, SoftwareNeed, TargetChoice, choose_target},
    targets::TargetPool,
};
use std::sync::Arc;

/// Prompts are prefilled in order of arrival; guards against a backlog that falls at the wrong rate, or below zero.
#[test]
fn prompts_are_prefilled_in_order() {
    let mut backlog = PrefillBacklog::default();
    backlog.add(3_800, ms(1_000));
    assert_eq!(backlog.read(ms(1_000)), 3_800);
    assert_eq!(backlog.read(ms(1_050)), 1_900);
    backlog.add(1_900, ms(1_050));
    assert_eq!(backlog.read(ms(1_050)), 3_800);
    assert_eq!(backlog.read(ms(1_100)), 1_900);
    assert_eq!(backlog.read(ms(5_000)), 0, "an idle engine prefills nothing in advance");
    backlog.add(380, ms(5_000));
    assert_eq!(backlog.read(ms(5_000)), 380);
}

fn apply_report(pool: &mut TargetPool, id: &str, prefill_tokens: u32, at: u64) {
    let host = pool.target(&id.into()).expect("a known target").entry.address.ip();
    let loader_report = LoaderReport { prefill_tokens, ..report(id, at as u32 + 1, &[("h7", 1)]) };
    pool.take_report(host, loader_report, ms(at));
}

/// Two engines hold an adapter, and another router has just sent a prompt of 15,000 tokens to one of them.
/// A call sent there would get its first byte 0.4 s later than at the other engine.
#[test]
fn calls_do_not_queue_behind_long_prompts_of_other_routers() {
    let mut pool = pool();
    for (busy, free) in [("e1", "e2"), ("e2", "e1")] {
        let at = if busy == "e1" { 10 } else { 2_000 };
        apply_report(&mut pool, busy, 15_000, at);
        apply_report(&mut pool, free, 0, at);
        let call = model_call(Some("h7"));
        let (service, zone) = (ENGINES.into(), "a".into());
        let need = CallNeed {
            service: &service,
            model: Some(&call),
            zone: &zone,
            excluded: &[],
            routers: 2,
            waiting_at: None,
            may_request_report: false,
            software: SoftwareNeed::Any,
        };
        let choice = choose_target(&pool, &need, ms(at + 5), || 0.5);
        assert_eq!(choice, TargetChoice::Send(free.into(), Some(1)));
    }
}

/// Guards against tokens of an old report that still count after the engine has prefilled them: a report states the
/// tokens that were pending when it was made.
#[test]
fn reported_tokens_decrease_until_the_next_report() {
    let mut pool = TargetPool::new();
    pool.take_config(Arc::new(config(1, Vec::new())));
    pool.replace_list(vec![Arc::new(target("e1", ENGINES, "a", 1))], ms(0));
    apply_report(&mut pool, "e1", 7_600, 0);
    let prefill =
        |pool: &TargetPool, at| pool.target(&"e1".into()).expect("e1").fleet_prefill_tokens(ms(at));
    assert!((prefill(&pool, 100) - 3_800.0).abs() < 1.0);
    assert!(prefill(&pool, 1_000) < 1.0);
    pool.call_started(&"e1".into(), Some(&adapter("h7")), 900);
    assert!((prefill(&pool, 1_000) - 900.0).abs() < 1.0, "this router's own, sent since");
}
