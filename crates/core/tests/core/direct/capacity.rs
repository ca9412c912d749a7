//! Capacity of engines: the loader's estimate, and what routers know of it.

mod estimate;
mod queue_model;

use super::support::{ENGINES, model_call, ms, need, pool, report, target};
use plantain_core::direct::{
    backlog::TOKENS_PER_MS,
    call::ModelCall,
    capacity::encode_rate,
    membership::{TargetEntry, TargetIncarnation},
    messages::{LoaderMessage, LoaderReport, decode_datagram},
    selection::{TargetChoice, choose_target},
    targets::TargetPool,
};
use queue_model::{QueueModel, ServedCalls};
use std::sync::Arc;

fn take_report(pool: &mut TargetPool, report: LoaderReport, at: u64) {
    let target = pool.target(&report.incarnation).expect("a known target");
    let host = target.entry.address.ip();
    assert!(pool.take_report(host, report, ms(at)), "a new report");
}

/// A report with a prefill rate in tokens a millisecond.
fn rated(id: &str, sequence: u32, tokens_per_ms: f64, run_ms: u16) -> LoaderReport {
    LoaderReport { prefill_rate: encode_rate(tokens_per_ms), run_ms, ..report(id, sequence, &[]) }
}

/// Prefill rate in tokens a millisecond and run time in milliseconds, as costs use them.
fn known(pool: &TargetPool, id: &str, at: u64) -> (f64, f64) {
    let target = pool.target(&id.into()).expect("a known target");
    let capacity = pool.capacity(target, ms(at));
    (capacity.tokens_per_ms, capacity.run_ms)
}

const TODAY: (f64, f64) = (TOKENS_PER_MS, 400.0);

/// Calls of the engines `first..last` over their speed, and their share of late calls.
fn shares(speeds: &[f64], served: &[ServedCalls], first: usize, last: usize) -> (f64, f64) {
    let some: ServedCalls = served[first..last].iter().copied().sum();
    (some.calls / speeds[first..last].iter().sum::<f64>(), some.late / some.calls)
}

/// Guards against slow engines whose calls are late while fast ones have time: costs that count the same for all
/// engines send long prompts, and too many calls, to slow ones.
#[test]
fn engines_get_calls_in_proportion_to_their_speed() {
    let speeds = [0.55, 0.55, 1.2, 1.2, 1.2, 1.2];
    for seed in 1..=4 {
        let served = QueueModel::new(&speeds, seed).with_reported_rates().run();
        let (slow, slow_late) = shares(&speeds, &served, 0, 2);
        let (fast, fast_late) = shares(&speeds, &served, 2, 6);
        assert!((slow / fast - 1.0).abs() < 0.1, "seed {seed}: calls over speed {slow} and {fast}");
        let difference = slow_late - fast_late;
        assert!(difference.abs() < 0.05, "seed {seed}: late {slow_late} and {fast_late}");
        let served = QueueModel::new(&speeds, seed).run();
        let (_, slow_late) = shares(&speeds, &served, 0, 2);
        let (_, fast_late) = shares(&speeds, &served, 2, 6);
        assert!(slow_late - fast_late > 0.1, "seed {seed}, without rates: {slow_late} {fast_late}");
    }
}

/// Three engines of which one is slow, and which hold no adapters.
fn uneven_pool() -> TargetPool {
    let mut pool = pool();
    take_report(&mut pool, rated("e1", 1, 20.0, 900), 0);
    take_report(&mut pool, rated("e2", 1, 40.0, 500), 0);
    take_report(&mut pool, rated("e3", 1, 44.0, 450), 0);
    pool
}

/// Guards against an engine that looks better while nothing is known of it than any that is known: all calls would go
/// there. It counts as one of the median capacity.
#[test]
fn unknown_engines_count_as_the_median() {
    let mut pool = pool();
    let entries = ["e1", "e2", "e3", "e4"].into_iter().enumerate();
    let entries = entries.map(|(index, id)| Arc::new(target(id, ENGINES, "a", index as u16 + 1)));
    pool.replace_list(entries.collect(), ms(0));
    take_report(&mut pool, rated("e1", 1, 20.0, 900), 0);
    take_report(&mut pool, rated("e2", 1, 40.0, 500), 0);
    take_report(&mut pool, rated("e3", 1, 44.0, 450), 0);
    assert_eq!(known(&pool, "e4", 10), (40.0, 500.0));
    let call = ModelCall { tokens_in: 9_000, ..model_call(None) };
    let (service, zone) = (ENGINES.into(), "a".into());
    let choice = choose_target(&pool, &need(&service, &zone, Some(&call)), ms(10), || 0.5);
    assert_eq!(choice, TargetChoice::Send("e3".into(), None), "long prompts go to fast engines");
}

/// Guards against a report that lacks the fields (of an older loader, or of one that has restarted) and is read as a
/// rate of 0, or does not clear the rate that an earlier start of the loader reported.
#[test]
fn a_report_without_capacity_means_unknown() {
    let mut pool = uneven_pool();
    assert_eq!(known(&pool, "e1", 0), (20.0, 900.0));
    let message = LoaderMessage::Report(report("e1", 2, &[]));
    let datagram = postcard::to_allocvec(&message).expect("a datagram");
    // The last three fields of an older loader's report are missing, one byte each.
    let old = &datagram[..datagram.len() - 3];
    let decoded = decode_datagram::<LoaderMessage>(old).expect("a report of an older loader");
    assert_eq!(decoded, message);
    let LoaderMessage::Report(old) = decoded else { panic!("a report") };
    take_report(&mut pool, old, 10);
    assert_eq!(known(&pool, "e1", 10), TODAY, "two engines of 40 and 44 do not differ");
    take_report(&mut pool, rated("e2", 2, 60.0, 300), 20);
    assert_eq!(known(&pool, "e1", 20), (44.0, 300.0), "the median of 44 and 60, the lower one");
}

/// Guards against costs that change in a deployment whose engines are alike, and whose estimates only scatter.
#[test]
fn capacity_counts_only_where_engines_differ_by_a_fifth() {
    struct EffectCase {
        name: &'static str,
        rates: [f64; 3],
        is_in_effect: bool,
    }
    let cases = [
        EffectCase { name: "unknown", rates: [0.0, 0.0, 0.0], is_in_effect: false },
        EffectCase { name: "one known", rates: [9.0, 0.0, 0.0], is_in_effect: false },
        EffectCase { name: "alike", rates: [26.0, 30.0, 35.0], is_in_effect: false },
        EffectCase { name: "one slower", rates: [24.0, 30.0, 30.0], is_in_effect: true },
        EffectCase { name: "one faster", rates: [30.0, 30.0, 37.0], is_in_effect: true },
    ];
    for case in cases {
        let mut pool = pool();
        for (id, rate) in ["e1", "e2", "e3"].into_iter().zip(case.rates) {
            take_report(&mut pool, rated(id, 1, rate, 700), 0);
        }
        assert_eq!(pool.uses_capacity(ENGINES), case.is_in_effect, "{}", case.name);
        for (id, rate) in ["e1", "e2", "e3"].into_iter().zip(case.rates) {
            let expected = if case.is_in_effect { (rate, 700.0) } else { TODAY };
            assert_eq!(known(&pool, id, 0), expected, "{} at {id}", case.name);
        }
    }
}

/// Guards against choices that differ in a deployment whose engines are alike: with and without reported rates, each
/// choice must be the same, whatever the engines' load.
#[test]
fn choices_stay_the_same_where_engines_are_alike() {
    let loads = [(0, 0, 0), (4_000, 3, 0), (15_000, 8, 0), (700, 8, 4), (0, 5, 1)];
    for tokens_in in [100, 600, 12_000] {
        for first in loads {
            for second in loads {
                let choices = [false, true].map(|has_rates| {
                    let mut pool = pool();
                    let rates =
                        [("e1", 33.0, first), ("e2", 30.0, second), ("e3", 27.0, (9_000, 8, 2))];
                    for (id, rate, (prefill_tokens, active, queued)) in rates {
                        let state =
                            if has_rates { rated(id, 1, rate, 800) } else { report(id, 1, &[]) };
                        take_report(
                            &mut pool,
                            LoaderReport { prefill_tokens, active, queued, ..state },
                            0,
                        );
                    }
                    let call = ModelCall { tokens_in, ..model_call(None) };
                    let (service, zone) = (ENGINES.into(), "c".into());
                    choose_target(&pool, &need(&service, &zone, Some(&call)), ms(40), || 0.5)
                });
                assert_eq!(choices[0], choices[1], "{tokens_in} {first:?} {second:?}");
            }
        }
    }
}

/// Guards against a capacity that is forgotten with the rest of a report, after 2.5 s: a router has fresh reports only
/// of engines that it asked just now. A lost loader's last value counts for a minute, then the median.
#[test]
fn the_last_capacity_counts_for_a_minute() {
    let mut pool = uneven_pool();
    take_report(&mut pool, rated("e2", 2, 40.0, 500), 30_000);
    take_report(&mut pool, rated("e3", 2, 60.0, 300), 30_000);
    assert_eq!(known(&pool, "e1", 60_000), (20.0, 900.0));
    assert_eq!(known(&pool, "e1", 60_001), (40.0, 500.0), "the median");
    pool.expire(ms(60_001));
    assert_eq!(known(&pool, "e3", 60_001), (60.0, 300.0), "40 and 60 still differ");
    pool.expire(ms(90_001));
    assert_eq!(known(&pool, "e3", 90_001), TODAY, "nothing is known any more");
}

/// Guards against an engine that restarts, perhaps on other hardware, and keeps the capacity of its earlier
/// incarnation.
#[test]
fn a_restarted_engine_is_unknown() {
    let incarnation = |started| TargetIncarnation { id: "e1".into(), started: Some(started) };
    let entry = |started| {
        let entry = target("e1", ENGINES, "a", 1);
        Arc::new(TargetEntry { incarnation: incarnation(started), ..entry })
    };
    let others =
        ["e2", "e3"].map(|id| Arc::new(target(id, ENGINES, "b", if id == "e2" { 2 } else { 3 })));
    let list = |started| others.iter().cloned().chain([entry(started)]).collect();
    let mut pool = pool();
    pool.replace_list(list(5), ms(0));
    let slow = LoaderReport { incarnation: incarnation(5), ..rated("e1", 1, 20.0, 900) };
    take_report(&mut pool, slow, 0);
    take_report(&mut pool, rated("e2", 1, 40.0, 500), 0);
    take_report(&mut pool, rated("e3", 1, 60.0, 300), 0);
    let read = |pool: &TargetPool, started| {
        let target = pool.target(&incarnation(started)).expect("a known target");
        encode_rate(pool.capacity(target, ms(10)).tokens_per_ms)
    };
    assert_eq!(read(&pool, 5), encode_rate(20.0));
    pool.replace_list(list(6), ms(10));
    pool.expire(ms(10));
    assert_eq!(read(&pool, 6), encode_rate(40.0), "the median");
}
