//! The loader's estimate, from the notices of routers.

use super::super::support::{BASE, adapter, holding, ms, pool};
use plantain_core::direct::{
    capacity::{CapacityChange, CapacityEstimate, SampleKind},
    loader::LoaderMachine,
    membership::TargetIncarnation,
    messages::{AdapterUse, RouterNotice},
    notices::NoticeSchedule,
    orders::EngineReport,
};
use std::net::SocketAddr;

fn router(index: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + index).into()
}

fn incarnation(started: u64) -> TargetIncarnation {
    TargetIncarnation { id: "e1".into(), started: Some(started) }
}

/// A notice whose best first byte shows a rate in tokens a millisecond.
fn notice(best_prefill: f64) -> RouterNotice {
    RouterNotice {
        boot: 1,
        sequence: 1,
        incarnation: incarnation(1),
        adapter_slots: 4,
        memory_mb: 80_000.0,
        bases: Vec::new(),
        load_requests: Vec::new(),
        uses: Vec::new(),
        wants_report: false,
        answered_tokens: 0,
        best_prefill: (best_prefill * 16.0) as u16,
        ended_runs: 0,
        ended_ms: 0,
        sizes: vec![],
    }
}

/// A notice of prompts started and answered.
fn tokens(started_tokens: u32, answered_tokens: u32) -> RouterNotice {
    let started = AdapterUse {
        base: BASE.into(),
        adapter: "h7".into(),
        running: 1,
        started: 1,
        started_tokens,
    };
    RouterNotice { uses: vec![started], answered_tokens, ..notice(0.0) }
}

struct LoaderModel {
    estimate: CapacityEstimate,
    running: TargetIncarnation,
}

impl LoaderModel {
    fn new() -> Self {
        Self { estimate: CapacityEstimate::default(), running: incarnation(1) }
    }

    fn take(&mut self, from: u16, notice: &RouterNotice, at: u64) {
        self.estimate.take_notice(router(from), notice, Some(&self.running), ms(at));
    }

    /// Takes a sample of a rate each 100 ms.
    fn take_steadily(&mut self, rate: f64, times: std::ops::Range<u64>) {
        for at in times.step_by(100) {
            self.take(at as u16 % 7, &notice(rate), at);
        }
    }

    fn rate(&self) -> Option<f64> {
        self.estimate.tokens_per_ms()
    }
}

/// Guards against an engine that loses its calls for two seconds since one call waited behind a long prompt, or was
/// the only one in a while.
#[test]
fn one_slow_answer_changes_nothing() {
    let mut loader = LoaderModel::new();
    loader.take(0, &notice(5.0), 0);
    assert_eq!(loader.rate(), None, "one answer is no estimate");
    loader.take_steadily(40.0, 100..1_000);
    assert_eq!(loader.rate(), Some(40.0));
    loader.take(0, &notice(2.0), 1_000);
    assert_eq!(loader.rate(), Some(40.0), "among others");
    for at in (1_100..30_000).step_by(100) {
        loader.estimate.note_step(ms(at));
    }
    loader.take(0, &notice(2.0), 30_000);
    assert_eq!(loader.rate(), Some(40.0), "after a time without calls");
}

/// Guards against an estimate that is stuck while its engine has become slow, as under a fault of its hardware.
#[test]
fn a_slow_engine_is_followed_within_two_seconds() {
    let mut loader = LoaderModel::new();
    loader.take_steadily(40.0, 0..5_000);
    loader.take_steadily(8.0, 5_000..6_900);
    assert_eq!(loader.rate(), Some(40.0), "answers from before count for 2 s");
    loader.take_steadily(8.0, 6_900..7_001);
    assert_eq!(loader.rate(), Some(8.0));
    loader.take_steadily(40.0, 7_100..7_101);
    assert_eq!(loader.rate(), Some(40.0), "fast again: at once");
}

/// Guards against a steady engine whose estimate falls and rises with the queues that its calls met: routers would
/// treat equal engines as different ones.
#[test]
fn scatter_below_a_fifth_does_not_lower_the_estimate() {
    let mut loader = LoaderModel::new();
    loader.take_steadily(40.0, 0..1_000);
    loader.take_steadily(33.0, 1_000..9_000);
    assert_eq!(loader.rate(), Some(40.0));
    loader.take_steadily(31.0, 9_000..12_000);
    assert_eq!(loader.rate(), Some(31.0));
}

/// Guards against samples of an engine that no longer runs, and of one that was suspended with its host.
#[test]
fn samples_of_other_incarnations_and_of_a_suspension_are_ignored() {
    let mut loader = LoaderModel::new();
    loader.take_steadily(20.0, 0..1_000);
    let earlier = RouterNotice { incarnation: incarnation(0), ..notice(90.0) };
    for at in [1_000, 1_100, 1_200] {
        loader.take(0, &earlier, at);
    }
    assert_eq!(loader.rate(), Some(20.0), "an earlier incarnation");
    loader.running = incarnation(2);
    loader.estimate.begin_incarnation();
    loader.take_steadily(90.0, 1_300..1_900);
    assert_eq!(loader.rate(), None, "all notices are of the one before");
    loader.running = incarnation(1);
    loader.take_steadily(20.0, 2_000..2_500);
    // Suspended for 3 s; the notices of that time wait in the socket.
    for index in 0..20 {
        loader.take(index, &notice(2.0), 5_500);
    }
    loader.take_steadily(2.0, 5_600..6_500);
    assert_eq!(
        loader.rate(),
        Some(20.0),
        "notices that cover time before the end of the suspension"
    );
    loader.take_steadily(2.0, 6_500..7_000);
    assert_eq!(loader.rate(), Some(2.0), "the engine is slow after it");
}

/// Guards against an overloaded engine that seems slow since all of its calls wait: the answered tokens show its rate.
/// And against a rate above the true one, from tokens that were answered before the period began.
#[test]
fn an_engine_with_a_queue_is_measured_by_its_throughput() {
    let mut loader = LoaderModel::new();
    loader.take(3, &tokens(0, 0), 0);
    loader.take(1, &tokens(30_000, 0), 50);
    loader.take(3, &tokens(0, 8_000), 100);
    // Each 100 ms the engine prefills 3,000 tokens, and as many are sent.
    for at in (150..10_000).step_by(100) {
        loader.take(1, &tokens(3_000, 3_000), at);
        loader.take(2, &notice(4.0), at);
    }
    let rate = loader.rate().expect("enough samples");
    assert!((24.0..=30.0).contains(&rate), "{rate}");
}

/// Guards against an engine that looks slower the fewer calls it has: a router reports answered tokens up to 0.8 s
/// later, so that the engine seems to prefill all the time.
#[test]
fn few_calls_do_not_lower_the_estimate() {
    let mut loader = LoaderModel::new();
    loader.take_steadily(40.0, 0..1_000);
    for at in (1_000..20_000).step_by(400) {
        loader.take(1, &tokens(100, 100), at);
    }
    assert_eq!(loader.rate(), Some(40.0));
}

/// Guards against one run of an unusual length that decides the mean, and against a mean that does not follow.
#[test]
fn run_times_are_averaged() {
    let mut loader = LoaderModel::new();
    assert_eq!(loader.estimate.run_ms(), 0, "unknown");
    let runs = |ended_runs: u16, mean: u32| {
        let ended_ms = u32::from(ended_runs) * mean;
        RouterNotice { ended_runs, ended_ms, ..notice(0.0) }
    };
    loader.take(0, &runs(4, 400), 0);
    assert_eq!(loader.estimate.run_ms(), 400);
    loader.take(0, &runs(1, 4_000), 100);
    assert_eq!(loader.estimate.run_ms(), 580);
    loader.take(0, &runs(60, 2_000), 200);
    assert!((1_900..2_000).contains(&loader.estimate.run_ms()));
}

/// Guards against a log line for each sample, or none at all.
#[test]
fn a_change_by_more_than_a_quarter_is_noted_once() {
    let mut loader = LoaderModel::new();
    loader.take_steadily(40.0, 0..500);
    let (old, new, age) = (0.0, 40.0, ms(0));
    let first = CapacityChange { old, new, kind: SampleKind::FirstByte, age };
    // The estimate begins with the third sample, which is also the last of three equal ones.
    assert_eq!(loader.estimate.take_change(), Some(first));
    assert_eq!(loader.estimate.take_change(), None);
    loader.take_steadily(48.0, 500..1_000);
    assert_eq!(loader.estimate.take_change(), None, "a fifth");
    loader.take_steadily(52.0, 1_000..1_100);
    let change = loader.estimate.take_change().expect("a change since the last line");
    assert_eq!((change.old, change.new), (40.0, 52.0));
}

/// From a router's calls to the loader's report. Guards against samples that are lost on the way or counted twice.
#[test]
fn samples_pass_from_the_router_to_the_report() {
    let mut pool = pool();
    let e1: TargetIncarnation = "e1".into();
    let (h7, mut schedule) = (adapter("h7"), NoticeSchedule::new(1));
    let mut machine = LoaderMachine::new(1);
    let held = EngineReport { holdings: vec![holding(&[])], ..EngineReport::default() };
    machine.take_report(held.clone(), ms(0));
    machine.take_instance("e1".into());
    machine.take_report(held, ms(0));
    for at in [100, 200, 300] {
        for (prompt, time) in [(100, 1), (600, 20), (600, 100)] {
            pool.call_started(&e1, Some(&h7), prompt);
            pool.call_answered(&e1, Some(&h7), prompt, ms(time));
            pool.call_ended(&e1, 0);
            pool.run_ended(&e1, ms(250));
            pool.use_ended(&e1, &h7);
        }
        let notice = schedule.make(&mut pool, &e1, ms(at)).expect("a notice");
        assert_eq!((notice.answered_tokens, notice.best_prefill), (1_300, 30 * 16));
        assert_eq!((notice.ended_runs, notice.ended_ms), (3, 750));
        let sequence = notice.sequence;
        machine.take_notice(router(1), notice, ms(at));
        let repeated = RouterNotice { sequence, incarnation: e1.clone(), ..notice_of_runs(9) };
        machine.take_notice(router(1), repeated, ms(at));
    }
    let notice = schedule.make(&mut pool, &e1, ms(400)).expect("a notice");
    assert_eq!((notice.answered_tokens, notice.best_prefill, notice.ended_runs), (0, 0, 0));
    let report = machine.make_report(ms(400)).expect("a report");
    assert_eq!((report.prefill_rate, report.run_ms), (30 * 16, 250));
}

fn notice_of_runs(ended_runs: u16) -> RouterNotice {
    RouterNotice { ended_runs, ended_ms: 90_000, ..notice(90.0) }
}
