//! Load pattern: bursts of calls for rare adapters while the preferred engines are busy.

use super::{
    super::support::{ENGINES, adapter, config, model_call, ms, report, target},
    choose, need, take_report,
};
use plantain_core::direct::{
    messages::LoaderReport,
    placement::{AdapterPlacement, place_adapter},
    selection::TargetChoice,
    targets::TargetPool,
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

const ENGINE_COUNT: u16 = 24;

/// One router's view: all engines idle, except those given.
fn router_view(busy: &[&str]) -> TargetPool {
    let mut pool = TargetPool::new();
    pool.take_config(Arc::new(config(1, Vec::new())));
    let ids: Vec<String> = (1..=ENGINE_COUNT).map(|index| format!("e{index}")).collect();
    let entries = ids.iter().zip(1..).map(|(id, port)| Arc::new(target(id, ENGINES, "a", port)));
    pool.replace_list(entries.collect(), Duration::ZERO);
    for id in &ids {
        let idle = report(id, 1, &[]);
        let is_busy = busy.contains(&id.as_str());
        let state =
            if is_busy { LoaderReport { free_slots: -9, queue_ms: 900, ..idle } } else { idle };
        take_report(&mut pool, state, ms(0));
    }
    pool
}

fn placement(pool: &TargetPool, name: &str) -> AdapterPlacement {
    let (service, zone) = (ENGINES.into(), "a".into());
    let call = model_call(Some(name));
    place_adapter(pool, &need(&service, &zone, Some(&call)), &adapter(name), ms(10))
}

/// Guards against overflow copies at any engine: routers do not know of each other's, and each call loads the adapter
/// once more.
#[test]
fn calls_of_all_routers_overflow_to_the_same_engines() {
    for index in 0..50 {
        let name = format!("h{index}");
        let order = placement(&router_view(&[]), &name);
        let first: &str = &order.preferred[0].id;
        // Each router sees another set of busy engines beside the preferred one.
        let loaded_at: BTreeSet<_> = (1..=ENGINE_COUNT)
            .map(|other| {
                let other = format!("e{other}");
                let pool = router_view(&[first, &other]);
                match choose(&pool, ENGINES, Some(&model_call(Some(&name))), 10) {
                    TargetChoice::Load(incarnation, _, _) => incarnation,
                    choice => panic!("{choice:?}"),
                }
            })
            .collect();
        assert!(loaded_at.iter().all(|id| order.overflow.contains(id)), "{name}: {loaded_at:?}");
        assert!(loaded_at.len() <= 2, "{name}: {loaded_at:?}");
    }
}

/// Guards against calls that wait for their preferred engines although these and all overflow engines are gone or far
/// too busy.
#[test]
fn another_engine_serves_when_all_of_the_order_are_overloaded() {
    let order = placement(&router_view(&[]), "h7");
    let all = order.preferred.iter().chain(&order.overflow);
    let ids: Vec<&str> = all.map(|incarnation| &*incarnation.id).collect();
    let mut pool = router_view(&ids);
    for id in &ids {
        let overloaded = LoaderReport { free_slots: -60, queue_ms: 9_000, ..report(id, 2, &[]) };
        take_report(&mut pool, overloaded, ms(1));
    }
    let choice = choose(&pool, ENGINES, Some(&model_call(Some("h7"))), 10);
    let TargetChoice::Load(incarnation, _, _) = choice else { panic!("{choice:?}") };
    assert!(!ids.contains(&&*incarnation.id));
}

/// Guards against calls that load an adapter from the weight store although the host of an overflow engine has it in
/// memory, and against leaving the preferred engine for such a load when the wait there is short.
#[test]
fn a_call_overflows_to_a_host_that_has_the_adapter_in_memory() {
    struct MemoryCase {
        name: &'static str,
        /// Wait for loads at the preferred engine.
        queue_ms: u16,
        /// Position in the order of the engine whose host has the adapter; `None`: no host.
        in_memory_at: Option<usize>,
        loaded_at: usize,
    }
    let cases = [
        MemoryCase { name: "no host", queue_ms: 100, in_memory_at: None, loaded_at: 0 },
        MemoryCase { name: "preferred", queue_ms: 900, in_memory_at: Some(0), loaded_at: 0 },
        MemoryCase { name: "short wait", queue_ms: 0, in_memory_at: Some(2), loaded_at: 2 },
        MemoryCase { name: "second", queue_ms: 300, in_memory_at: Some(2), loaded_at: 2 },
        MemoryCase { name: "no host, long wait", queue_ms: 900, in_memory_at: None, loaded_at: 1 },
    ];
    for case in cases {
        let mut pool = router_view(&[]);
        let order = placement(&pool, "h7");
        let ids: Vec<_> = order.preferred.iter().chain(&order.overflow).cloned().collect();
        let first = LoaderReport { queue_ms: case.queue_ms, ..report(&ids[0].id, 2, &[]) };
        take_report(&mut pool, first, ms(1));
        if let Some(index) = case.in_memory_at {
            let id = &ids[index].id;
            let host_memory = vec![adapter("h7").fingerprint()];
            let queue_ms = if index == 0 { case.queue_ms } else { 0 };
            let holder = LoaderReport { host_memory, queue_ms, ..report(id, 3, &[]) };
            take_report(&mut pool, holder, ms(2));
        }
        let choice = choose(&pool, ENGINES, Some(&model_call(Some("h7"))), 10);
        let TargetChoice::Load(incarnation, _, _) = choice else { panic!("{choice:?}") };
        let expected = &ids[case.loaded_at];
        assert_eq!(incarnation, *expected, "{}", case.name);
    }
}
