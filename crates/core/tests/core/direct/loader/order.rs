//! The order of loads where calls of different priority wait.

use super::{adapter, machine, ms, notice, order_of, report, request, router};
use plantain_core::direct::{
    loader::{
        LoaderMachine,
        order::{LoadOrder, LoadRank},
    },
    messages::LoadRequest,
    orders::{EngineReport, OrderAnswer, OrderVerb},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::cmp::Reverse;

/// When the requests of the tables below decide, in ms.
const NOW_MS: u64 = 10_000;

/// An awaited request that has waited for this long, in ms.
fn awaited(priority: u8, waited_ms: u64) -> LoadRank {
    LoadRank {
        is_awaited: true,
        is_timely: true,
        priority,
        callers: 1,
        since: ms(NOW_MS - waited_ms),
    }
}

struct OrderCase {
    name: &'static str,
    /// In the order in which their loads are to begin.
    ranks: Vec<LoadRank>,
    is_late_first: bool,
}

/// Load pattern: a batch customer's calls for many adapters wait beside interactive ones. In today's order the adapters
/// with the most waiting callers go first, so that batch loads delay the interactive calls.
#[test]
fn priority_comes_before_callers_where_priorities_differ() {
    let late = |rank: LoadRank| LoadRank { is_timely: false, ..rank };
    let callers = |callers, rank: LoadRank| LoadRank { callers, ..rank };
    let prefetch = LoadRank { is_awaited: false, is_timely: false, ..awaited(u8::MAX, 400) };
    let cases = [
        OrderCase {
            name: "higher priority before more callers",
            ranks: vec![awaited(0, 10), callers(9, awaited(1, 20)), awaited(2, 400)],
            is_late_first: false,
        },
        OrderCase {
            name: "in time before late, whatever the priority",
            ranks: vec![awaited(2, 10), late(awaited(0, 400)), late(awaited(1, 400))],
            is_late_first: false,
        },
        OrderCase {
            name: "the turn of a late one: the higher priority among them",
            ranks: vec![late(awaited(1, 10)), late(awaited(2, 10)), awaited(0, 10)],
            is_late_first: true,
        },
        OrderCase {
            name: "within a priority more callers, then the older one",
            ranks: vec![
                callers(2, awaited(1, 10)),
                awaited(1, 40),
                awaited(1, 30),
                callers(8, awaited(2, 40)),
            ],
            is_late_first: false,
        },
        OrderCase {
            name: "half a second and less: no class",
            ranks: vec![awaited(0, 1), awaited(1, 999)],
            is_late_first: false,
        },
        OrderCase {
            name: "a class after a further half second: the older one of equals",
            ranks: vec![awaited(1, 1_000), awaited(0, 999), awaited(1, 999)],
            is_late_first: false,
        },
        OrderCase {
            name: "two classes: before a new one of the highest priority",
            ranks: vec![awaited(1, 1_500), awaited(0, 1)],
            is_late_first: false,
        },
        OrderCase {
            name: "an old request of the lowest priority goes before everything",
            ranks: vec![awaited(2, 2_000), callers(50, awaited(0, 900)), awaited(1, 1)],
            is_late_first: false,
        },
        OrderCase {
            name: "prefetches last, however old",
            ranks: vec![awaited(0, 1), late(awaited(1, 1)), prefetch],
            is_late_first: false,
        },
    ];
    for case in cases {
        assert_eq!(LoadOrder::of(&case.ranks), LoadOrder::ByClass, "{}", case.name);
        let keys = case
            .ranks
            .iter()
            .map(|rank| LoadOrder::ByClass.key(rank, case.is_late_first, ms(NOW_MS)));
        assert!(keys.is_sorted_by(|a, b| a < b), "{}", case.name);
    }
}

#[derive(Clone, Debug)]
struct AnyRank(LoadRank);

impl Arbitrary for AnyRank {
    fn arbitrary(generator: &mut Gen) -> Self {
        let is_awaited = u8::arbitrary(generator) % 4 > 0;
        let priority = u8::arbitrary(generator) % 3;
        Self(LoadRank {
            is_awaited,
            is_timely: bool::arbitrary(generator),
            priority: if is_awaited { priority } else { u8::MAX },
            callers: u32::from(u8::arbitrary(generator) % 4),
            since: ms(NOW_MS - u64::from(u16::arbitrary(generator) % 5_000)),
        })
    }
}

/// Load pattern: any, with one priority. All deployments whose calls have the same priority must be served in the order
/// from before priorities counted: callers, priority, age, with no effect of aging.
#[test]
fn without_different_priorities_the_order_is_as_before() {
    fn property(ranks: Vec<AnyRank>, priority: u8, is_late_first: bool) -> bool {
        let mut ranks: Vec<LoadRank> = ranks.into_iter().map(|AnyRank(rank)| rank).collect();
        for rank in ranks.iter_mut().filter(|rank| rank.is_awaited) {
            rank.priority = priority;
        }
        let order = LoadOrder::of(&ranks);
        let mut before = ranks.clone();
        before.sort_by_key(|rank| {
            let goes_after = rank.is_timely == is_late_first;
            (!rank.is_awaited, goes_after, Reverse(rank.callers), rank.priority, rank.since)
        });
        ranks.sort_by_key(|rank| order.key(rank, is_late_first, ms(NOW_MS)));
        order == LoadOrder::ByCallers && ranks == before
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<AnyRank>, u8, bool) -> bool);
}

/// The next adapter that the loader orders, which is then loaded and evicted again at once, so that only the order of the
/// requests counts.
fn load_next(machine: &mut LoaderMachine, order_count: &mut u64, at: u64) -> Option<String> {
    let step = machine.next_step(ms(at));
    let order = order_of(&step)?.clone();
    let OrderVerb::LoadAdapter(loaded, _) = &order.verb else { panic!("{order:?}") };
    let name = loaded.name.to_string();
    assert!(machine.load_turn(&order.verb, ms(at)).is_some(), "each load has its reason");
    machine.take_answer(&order, OrderAnswer::Accepted, ms(at));
    let loading =
        EngineReport { loading: vec![(adapter(&name), 1)], ..report(*order_count + 1, &[]) };
    machine.take_report(loading, ms(at + 1));
    machine.take_report(report(*order_count + 1, &[(&name, 1)]), ms(at + 99));
    *order_count += 2;
    machine.take_report(report(*order_count, &[]), ms(at + 99));
    Some(name)
}

/// Load pattern: interactive calls for ever new adapters come faster than loads end, and batch calls wait beside them.
/// The batch adapters must come after the interactive ones at first, but be loaded within their deadline of 5 s: without
/// aging, they wait for as long as the interactive load lasts.
#[test]
fn a_lower_priority_goes_after_a_higher_one_and_does_not_starve() {
    for slack_ms in [500, 0] {
        let mut machine = machine(7, &[]);
        let mut order_count = 7;
        let mut loads: Vec<(u64, String)> = Vec::new();
        for round in 0..50_u64 {
            let at = 10 + round * 100;
            // Two new urgent adapters a round, one load a round. Callers of urgent calls give up after a second.
            let first = (2 * round).saturating_sub(20);
            let urgent = (first..2 * round + 2)
                .map(|index| LoadRequest { slack_ms, ..request(&format!("urgent{index}"), 3) });
            let batch = (0..2).map(|index| LoadRequest {
                priority: 2,
                slack_ms: 0,
                ..request(&format!("batch{index}"), 9)
            });
            let done =
                |wanted: &LoadRequest| loads.iter().any(|(_, loaded)| *loaded == *wanted.adapter);
            let load_requests = urgent.chain(batch).filter(|wanted| !done(wanted)).collect();
            let sequence = round as u32 + 1;
            machine.take_notice(router(1), notice(sequence, load_requests, vec![]), ms(at));
            if let Some(name) = load_next(&mut machine, &mut order_count, at) {
                loads.push((at, name));
            }
        }
        let loaded_at = |name: &str| loads.iter().find(|(_, it)| it == name).map(|(at, _)| *at);
        assert!(loads.len() > 40, "the engine is never idle: {loads:?}");
        assert!(loads[0].1.starts_with("urgent"), "{loads:?}");
        for name in ["batch0", "batch1"] {
            let at = loaded_at(name);
            assert!(at.is_some_and(|at| at < 5_000), "{name} with slack {slack_ms}: {loads:?}");
        }
        if slack_ms == 0 {
            assert!(loaded_at("batch0") > Some(1_000), "all late: by priority first: {loads:?}");
        }
    }
}

/// Load pattern: as above, from two routers of which one sends the batch calls. More callers wait for the batch adapter.
#[test]
fn a_loader_orders_by_priority_over_all_routers() {
    let mut machine = machine(7, &[]);
    let batch = LoadRequest { priority: 2, ..request("batch", 30) };
    machine.take_notice(router(1), notice(1, vec![batch], vec![]), ms(0));
    machine.take_notice(router(2), notice(1, vec![request("urgent", 1)], vec![]), ms(1));
    let step = machine.next_step(ms(2));
    let verb = order_of(&step).map(|order| order.verb.clone()).expect("a load");
    assert_eq!(verb, OrderVerb::LoadAdapter(adapter("urgent"), 1));
    let turn = machine.load_turn(&verb, ms(2)).expect("a reason");
    assert_eq!((turn.order, turn.class, turn.requests), (LoadOrder::ByClass, 0, 2));
    let expected = "in time, priority 0, class 0, 1 calls, 1 ms waited, by class of 2 requests";
    assert_eq!(turn.to_string(), expected);
}
