//! Prompts that engines have not read yet.

use super::support::{ENGINES, adapter, config, model_call, ms, pool, report, target};
use plantain_core::direct::{
    backlog::PrefillBacklog,
    messages::LoaderReport,
    selection::{CallNeed, TargetChoice, choose_target},
    targets::TargetPool,
};
use std::sync::Arc;

/// Prompts come one after the other; each is read while the next ones wait.
#[test]
fn prompts_are_read_in_time() {
    let mut backlog = PrefillBacklog::default();
    backlog.add(3_800, ms(1_000));
    assert_eq!(backlog.read(ms(1_000)), 3_800);
    assert_eq!(backlog.read(ms(1_050)), 1_900);
    backlog.add(1_900, ms(1_050));
    assert_eq!(backlog.read(ms(1_050)), 3_800);
    assert_eq!(backlog.read(ms(1_100)), 1_900);
    assert_eq!(backlog.read(ms(5_000)), 0, "an engine does not read ahead");
    backlog.add(380, ms(5_000));
    assert_eq!(backlog.read(ms(5_000)), 380);
}

fn told(pool: &mut TargetPool, id: &str, prefill_tokens: u32, at: u64) {
    let host = pool.target(&id.into()).expect("a known target").entry.address.ip();
    let told = LoaderReport { prefill_tokens, ..report(id, at as u32 + 1, &[("h7", 1)]) };
    pool.take_report(host, told, ms(at));
}

/// Two engines hold an adapter, and another router has just sent a prompt of 15,000 tokens to one of them.
/// A call sent after it would have its first byte 0.4 s later than at the other one.
#[test]
fn calls_do_not_queue_behind_long_prompts_of_other_routers() {
    let mut pool = pool();
    for (busy, free) in [("e1", "e2"), ("e2", "e1")] {
        let at = if busy == "e1" { 10 } else { 2_000 };
        told(&mut pool, busy, 15_000, at);
        told(&mut pool, free, 0, at);
        let call = model_call(Some("h7"));
        let (service, zone) = (ENGINES.into(), "a".into());
        let need = CallNeed {
            service: &service,
            model: Some(&call),
            zone: &zone,
            excluded: &[],
            routers: 2,
            waiting_at: None,
            may_ask: false,
        };
        let choice = choose_target(&pool, &need, ms(at + 5), || 0.5);
        assert_eq!(choice, TargetChoice::Send(free.into(), Some(1)));
    }
}

/// A report says what waited when it was made. A second later that has been read.
#[test]
fn what_was_reported_is_prefilled_meanwhile() {
    let mut pool = TargetPool::new();
    pool.take_config(Arc::new(config(1, Vec::new())));
    pool.replace_list(vec![Arc::new(target("e1", ENGINES, "a", 1))], ms(0));
    told(&mut pool, "e1", 7_600, 0);
    let prefill =
        |pool: &TargetPool, at| pool.target(&"e1".into()).expect("e1").fleet_prefill_tokens(ms(at));
    assert!((prefill(&pool, 100) - 3_800.0).abs() < 1.0);
    assert!(prefill(&pool, 1_000) < 1.0);
    pool.call_started(&"e1".into(), Some(&adapter("h7")), 900);
    assert!((prefill(&pool, 1_000) - 900.0).abs() < 1.0, "this router's own, sent since");
}
