//! Load shedding for plain targets: one of three is left, and calls arrive twice as fast as it can serve them.

use super::support::ms;
use plantain_core::direct::load_shedding::{ConcurrencyGauge, LatencyGauge, shed_share};
use std::{collections::VecDeque, time::Duration};

const OBJECTIVE: Duration = Duration::from_millis(150);
const WORK_MS: f64 = 30.0;
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// Outcomes of the simulated calls.
#[derive(Default)]
struct LoadResult {
    in_time: u32,
    late: u32,
    refused: u32,
}

/// Simulates ten seconds of calls from `routers` routers to one target, `rate` per second in total.
fn simulate(rate: f64, routers: usize, sheds: bool) -> LoadResult {
    let mut gauges = vec![LatencyGauge::default(); routers];
    let mut result = LoadResult::default();
    let mut slots = [0.0_f64; SLOTS];
    let mut ends: VecDeque<(f64, usize, f64)> = VecDeque::new();
    let mut draw = 0.37_f64;
    let mut next = || {
        draw = (draw * 997.0 + 0.123).fract();
        draw
    };
    let mut now = 0.0;
    while now < 10_000.0 {
        now += -1_000.0 / rate * (1.0 - next()).ln();
        while ends.front().is_some_and(|(end, _, _)| *end <= now) {
            let (end, router, took) = ends.pop_front().expect("one");
            gauges[router].record(ms(took as u64), ms(end as u64));
        }
        let router = (next() * routers as f64) as usize % routers;
        let expected = gauges[router].read_ms(ms(now as u64));
        if sheds && next() < shed_share(expected, OBJECTIVE) {
            result.refused += 1;
            continue;
        }
        if ends.len() >= SLOTS + QUEUE {
            gauges[router].record(OBJECTIVE, ms(now as u64));
            result.refused += 1;
            continue;
        }
        let slot = slots.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("slots");
        let end = slot.max(now) + WORK_MS * (0.5 + next());
        *slot = end;
        let at = ends.partition_point(|(other, _, _)| *other <= end);
        ends.insert(at, (end, router, end - now));
        if end - now <= 150.0 { result.in_time += 1 } else { result.late += 1 }
    }
    result
}

struct LoadCase {
    name: &'static str,
    rate: f64,
    sheds: bool,
    in_time: std::ops::Range<u32>,
    late: std::ops::Range<u32>,
}

/// Callers get every answer late: the queue of the one remaining target is always full, so each call waits
/// for all those before it. If some calls are refused at once, as many are served, but in time.
#[test]
fn shedding_keeps_other_calls_in_time() {
    let cases = [
        LoadCase { name: "low load", rate: 100.0, sheds: true, in_time: 900..1_200, late: 0..5 },
        LoadCase {
            name: "twice the capacity, no shedding",
            rate: 400.0,
            sheds: false,
            in_time: 0..1_500,
            late: 600..2_100,
        },
        LoadCase {
            name: "twice the capacity",
            rate: 400.0,
            sheds: true,
            in_time: 1_700..2_100,
            late: 0..200,
        },
        LoadCase {
            name: "a fifth above capacity",
            rate: 240.0,
            sheds: true,
            in_time: 1_700..2_100,
            late: 0..200,
        },
    ];
    for case in cases {
        let result = simulate(case.rate, 8, case.sheds);
        let LoadResult { in_time, late, refused } = result;
        assert!(case.in_time.contains(&in_time), "{}: {in_time}, {late}, {refused}", case.name);
        assert!(case.late.contains(&late), "{}: {in_time}, {late}, {refused}", case.name);
    }
    assert_eq!(simulate(100.0, 8, true).refused, 0, "no call is refused at low load");
}

/// All targets of a service take five times as long as usual, and two thirds of their slots are free.
/// Refusing calls would not lower the latency. With all slots in use it would, so calls must be refused then.
#[test]
fn slow_targets_with_free_slots_cause_no_shedding() {
    const ROUTERS: usize = 4;
    let slots = (SLOTS * 4) as u32;
    let mut gauge = ConcurrencyGauge::default();
    for _ in 0..100 {
        gauge.record(2);
    }
    assert!(!gauge.shows_queue(ROUTERS, slots), "8 calls at 24 slots");
    for _ in 0..100 {
        gauge.record(8);
    }
    assert!(gauge.shows_queue(ROUTERS, slots), "32 calls at 24 slots");
}

/// One answer in a hundred takes five times as long; that alone must not refuse any call.
#[test]
fn one_slow_answer_causes_no_shedding() {
    let mut gauge = LatencyGauge::default();
    for at in 0..10 {
        gauge.record(ms(35), ms(at * 50));
    }
    gauge.record(ms(220), ms(500));
    assert!(shed_share(gauge.read_ms(ms(510)), OBJECTIVE) < 0.001);
}
