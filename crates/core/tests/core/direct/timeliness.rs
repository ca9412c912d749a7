//! Early refusal of calls that cannot be served before their deadline.

use super::support::{
    BASE, ENGINES, adapter, config, model_call, ms, need, pool, report, route, target,
};
use plantain_core::{
    direct::{
        call::AdapterRelease,
        config::{CallKind, RouteRule},
        membership::{BaseHolding, ListChange, TargetEntry, TargetIncarnation},
        messages::LoaderReport,
        selection::CallNeed,
        targets::TargetPool,
        timeliness::find_overrun,
    },
    ids::Timestamp,
};
use std::sync::Arc;

/// A queue that no number of concurrent loads works off within [`TIME_LEFT_MS`].
const LONG_QUEUE_MS: u16 = 8_000;
/// Time that the calls of these tests have left until they must be sent, in ms.
const TIME_LEFT_MS: u64 = 1_000;
/// When the calls of these tests decide, in ms; reports that arrived at 0 are 50 ms old.
const NOW_MS: u64 = 50;

/// Reports of three engines that lack the adapter and have long queues.
fn overloaded() -> TargetPool {
    let mut pool = pool();
    for id in ["e1", "e2", "e3"] {
        put_report(&mut pool, queued(id), ms(0));
    }
    pool
}

fn queued(id: &str) -> LoaderReport {
    LoaderReport { queue_ms: LONG_QUEUE_MS, load_ms: 288, ..report(id, 1, &[]) }
}

fn newer(id: &str) -> LoaderReport {
    LoaderReport { sequence: 2, ..queued(id) }
}

fn put_report(pool: &mut TargetPool, report: LoaderReport, now: Timestamp) {
    let host = pool.target(&report.incarnation).map(|target| target.entry.address.ip());
    assert!(pool.take_report(host.expect("a known target"), report, now));
}

/// A change to three overloaded engines or to the call, and whether the call is refused.
struct RefusalCase {
    name: &'static str,
    change: fn(&mut TargetPool),
    waiting_at: Option<&'static str>,
    excluded: &'static [&'static str],
    priority: u8,
    time_left_ms: u64,
    is_refused: bool,
}

impl Default for RefusalCase {
    fn default() -> Self {
        Self {
            name: "",
            change: |_| {},
            waiting_at: None,
            excluded: &[],
            priority: 0,
            time_left_ms: TIME_LEFT_MS,
            is_refused: true,
        }
    }
}

fn is_refused(case: &RefusalCase) -> bool {
    let mut pool = overloaded();
    (case.change)(&mut pool);
    let call = model_call(Some("h7"));
    let (service, zone) = (ENGINES.into(), "a".into());
    let waiting_at = case.waiting_at.map(TargetIncarnation::from);
    let excluded: Vec<TargetIncarnation> = case.excluded.iter().map(|id| (*id).into()).collect();
    let need = CallNeed {
        waiting_at: waiting_at.as_ref(),
        excluded: &excluded,
        ..need(&service, &zone, Some(&call))
    };
    find_overrun(&pool, &need, case.priority, ms(case.time_left_ms), ms(NOW_MS)).is_some()
}

fn check(cases: &[RefusalCase]) {
    for case in cases {
        assert_eq!(is_refused(case), case.is_refused, "{}", case.name);
    }
}

/// Load pattern: far more distinct adapters are requested than the weight store transfers, so that the queues of all
/// loaders are longer than the deadlines. A call that waits until its deadline for a load that cannot end before then
/// is refused when its caller has no time left for a retry, and meanwhile delays the loads of other calls.
#[test]
fn calls_are_refused_only_if_no_engine_can_serve_them_in_time() {
    let cases = [
        RefusalCase { name: "long queues at all engines", ..RefusalCase::default() },
        RefusalCase {
            name: "merely late: the queues end before the deadline",
            time_left_ms: 10_000,
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "the queues may move four times as fast as reported",
            time_left_ms: u64::from(LONG_QUEUE_MS) / 4 + 300,
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "one engine has a short queue",
            change: |pool| put_report(pool, LoaderReport { queue_ms: 400, ..newer("e3") }, ms(10)),
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "one engine holds the adapter",
            change: |pool| {
                let holdings = report("e3", 2, &[("h7", 1)]).holdings;
                put_report(pool, LoaderReport { holdings, ..newer("e3") }, ms(10));
            },
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "the engine that holds the adapter holds an older version",
            change: |pool| {
                let holdings = report("e3", 2, &[("h7", 1)]).holdings;
                put_report(pool, LoaderReport { holdings, ..newer("e3") }, ms(10));
                pool.take_release(AdapterRelease { adapter: adapter("h7"), version: 2 });
            },
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "the call was sent to an engine already",
            excluded: &["e3"],
            is_refused: false,
            ..RefusalCase::default()
        },
    ];
    check(&cases);
}

/// Load pattern: the same overload, while engines start, drain, fail or have just evicted the adapter. An engine whose
/// wait is not known may serve the call, so that refusals then would lose calls for no gain. An engine that loads nothing
/// keeps its last load time; if calls were refused by it, none would ever be loaded there again.
#[test]
fn an_engine_whose_wait_is_not_known_may_serve_a_call() {
    let cases = [
        RefusalCase {
            name: "one engine is loading the adapter",
            change: |pool| {
                let loading = vec![(BASE.into(), "h7".into())];
                put_report(pool, LoaderReport { loading, ..newer("e3") }, ms(10));
            },
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "the host of one engine may have the adapter in memory",
            change: |pool| {
                let holdings = report("e3", 2, &[("h7", 1)]).holdings;
                let entry = TargetEntry { holdings, ..target("e3", ENGINES, "c", 3) };
                pool.apply_changes(&[ListChange::Put(Arc::new(entry))], ms(10));
            },
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "one engine has just started and holds no base model",
            change: |pool| {
                put_report(pool, LoaderReport { holdings: Vec::new(), ..newer("e3") }, ms(10));
            },
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "one engine holds another base model",
            change: |pool| {
                let other = BaseHolding {
                    base: "other".into(),
                    ..report("e3", 2, &[]).holdings[0].clone()
                };
                put_report(pool, LoaderReport { holdings: vec![other], ..newer("e3") }, ms(10));
            },
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "one engine loads nothing, so that its load time may be of long ago",
            change: |pool| {
                let idle = LoaderReport { queue_ms: 0, load_ms: 8_000, ..newer("e3") };
                put_report(pool, idle, ms(10));
            },
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "one engine loads other adapters and has no queue; a load takes too long",
            change: |pool| {
                let loading = vec![(BASE.into(), "other".into())];
                let busy = LoaderReport { queue_ms: 0, load_ms: 2_000, loading, ..newer("e3") };
                put_report(pool, busy, ms(10));
            },
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "one engine does not answer its loader just now",
            change: |pool| {
                put_report(pool, LoaderReport { is_answering: false, ..newer("e3") }, ms(10));
            },
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "the engine with the short queue drains",
            change: |pool| {
                let drained = LoaderReport { is_draining: true, queue_ms: 0, ..newer("e3") };
                put_report(pool, drained, ms(10));
            },
            ..RefusalCase::default()
        },
    ];
    check(&cases);
}

/// Load pattern: the same overload with calls that wait already, and with a batch customer's loads in the queues. A call
/// that goes before the queue must not be refused because of its length.
#[test]
fn a_queue_counts_only_where_it_is_before_the_call() {
    let with_batch = |pool: &mut TargetPool| {
        let batch = RouteRule { priority: 2, ..route("/batch/", CallKind::Idempotent, &[]) };
        let routes = vec![route("/chat/", CallKind::Idempotent, &[]), batch];
        assert!(pool.take_config(Arc::new(config(2, routes))));
    };
    let cases = [
        RefusalCase {
            name: "the call's place in the queue where it waits is not known",
            waiting_at: Some("e1"),
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "the load alone takes too long where the call waits",
            waiting_at: Some("e1"),
            time_left_ms: 237,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "the load may have begun right after the report, 50 ms ago",
            waiting_at: Some("e1"),
            time_left_ms: 238,
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "the queues may consist of loads of lower priority",
            change: with_batch,
            is_refused: false,
            ..RefusalCase::default()
        },
        RefusalCase {
            name: "the call itself has the lowest priority",
            change: with_batch,
            priority: 2,
            ..RefusalCase::default()
        },
    ];
    check(&cases);
}

/// Load pattern: a partition or a dead loader. Its engine may be idle, so a call whose wait there is unknown must not
/// be refused, although all known engines are overloaded.
#[test]
fn a_call_whose_wait_is_unknown_is_not_refused() {
    let call = model_call(Some("h7"));
    let (service, zone) = (ENGINES.into(), "a".into());
    let need = need(&service, &zone, Some(&call));
    let decide = |pool: &TargetPool, at| find_overrun(pool, &need, 0, ms(TIME_LEFT_MS), ms(at));
    let mut silent = pool();
    put_report(&mut silent, queued("e1"), ms(0));
    put_report(&mut silent, queued("e2"), ms(0));
    assert_eq!(decide(&silent, NOW_MS), None, "no report of the third");
    assert_eq!(decide(&pool(), NOW_MS), None, "no report at all");
    let mut aging = overloaded();
    put_report(&mut aging, newer("e2"), ms(2_000));
    assert_eq!(decide(&aging, 2_600), None, "two reports are too old");
}

/// Load pattern: as above, with reports that are old but still fresh. The queue of a report has moved on since, and a
/// call that is refused because of what it was would have been served.
#[test]
fn queues_shrink_with_the_age_of_their_report() {
    let call = model_call(Some("h7"));
    let (service, zone) = (ENGINES.into(), "a".into());
    let need = need(&service, &zone, Some(&call));
    let pool = overloaded();
    let decide = |at| find_overrun(&pool, &need, 0, ms(TIME_LEFT_MS), ms(at));
    let overrun = decide(NOW_MS).expect("too late at all engines");
    assert_eq!((overrun.engines, overrun.oldest), (3, ms(NOW_MS)));
    assert_eq!(overrun.shortest, ms(2_000 - NOW_MS + 288));
    assert_eq!(overrun.excess(), ms(2_000 - NOW_MS + 288 - TIME_LEFT_MS));
    assert_eq!(decide(1_300), None, "2,000 ms of queue, less 1,300, and a load");
}

/// Calls without an adapter wait for no load; plain calls have no engine.
#[test]
fn calls_without_an_adapter_are_not_refused() {
    let pool = overloaded();
    let (service, zone) = (ENGINES.into(), "a".into());
    for model in [Some(model_call(None)), None] {
        let need = need(&service, &zone, model.as_ref());
        assert_eq!(find_overrun(&pool, &need, 0, ms(1), ms(NOW_MS)), None);
    }
}
