//! How many copies of an adapter the loader of its first preferred engine decides, while calls follow the decision.

use super::super::support::{adapter, ms};
use plantain_core::{
    direct::loader::copies::{CopyDecisions, CopyShare},
    ids::Timestamp,
};
use std::{collections::VecDeque, ops::RangeInclusive, time::Duration};

/// Batch of the engines: four calls of one adapter at each copy.
const BATCH: u16 = 16;
/// Time of a run: a copy serves ten calls a second.
const RUN_MS: u16 = 400;
/// Calls a second that one copy serves.
const COPY_RATE: f64 = 10.0;
/// Interval of the loader's reports.
const REPORT_PAUSE: u64 = 100;
/// Time from a decision until routers know the engines that hold the adapter by it.
const FOLLOW_TIME: u64 = 500;

/// How the fleet follows a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FleetBehavior {
    /// Copies are loaded, and calls are spread evenly over them.
    Follows,
    /// No further engine loads the adapter.
    LoadsNothing,
    /// Copies are loaded, but all calls go on to the first engine.
    StaysAtFirst,
}

/// The first engine's loader, and the calls that it sees.
struct DecisionLoop {
    decisions: CopyDecisions,
    behavior: FleetBehavior,
    now: u64,
    random: u64,
    /// Decided copies, with the time from which routers know them.
    pending: VecDeque<(u64, u8)>,
    holders: u8,
    copies: u8,
    /// Numbers of copies as decided, in order.
    history: Vec<(u64, u8)>,
}

impl DecisionLoop {
    fn new(behavior: FleetBehavior) -> Self {
        Self {
            decisions: CopyDecisions::default(),
            behavior,
            now: 0,
            random: 0x9e37_79b9_7f4a_7c15,
            pending: VecDeque::new(),
            holders: 1,
            copies: 0,
            history: Vec::new(),
        }
    }

    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn time(&self) -> Timestamp {
        ms(self.now)
    }

    /// Lets calls come at random at `rate` a second over the fleet, for `seconds`.
    fn run(&mut self, rate: f64, seconds: u64) {
        let share = CopyShare::new(BATCH, RUN_MS).expect("known");
        let end = self.now + seconds * 1_000;
        while self.now < end {
            self.now += 1;
            while self.pending.front().is_some_and(|(due, _)| *due <= self.now) {
                let (_, copies) = self.pending.pop_front().expect("checked");
                let follows = self.behavior != FleetBehavior::LoadsNothing;
                self.holders = if follows { copies.max(1) } else { 1 };
            }
            let part = match self.behavior {
                FleetBehavior::StaysAtFirst => 1.0,
                _ => 1.0 / f64::from(self.holders),
            };
            if self.draw() < rate * part / 1_000.0 {
                self.decisions.record(&adapter("h7"), 1, self.holders, self.time());
            }
            // Calls for another adapter at the engine.
            if self.now.is_multiple_of(50) {
                self.decisions.record(&adapter("h8"), 1, 1, self.time());
            }
            if self.now.is_multiple_of(REPORT_PAUSE) {
                let copies = self.decisions.decide(&adapter("h7"), 0, share, self.time());
                if copies != self.copies {
                    self.history.push((self.now, copies));
                    self.pending.push_back((self.now + FOLLOW_TIME, copies));
                    self.copies = copies;
                }
            }
        }
    }
}

struct SteadyCase {
    name: &'static str,
    behavior: FleetBehavior,
    /// Demand in copies.
    demand: f64,
    copies: RangeInclusive<u8>,
    /// Most changes within two minutes, after the first ten seconds.
    changes: usize,
}

/// Guards against copies that run away, because the calls of a part of the fleet are multiplied by the number of copies
/// that were decided, and against copies that are added and removed in turns: each costs a load.
#[test]
fn copies_neither_run_away_nor_flap() {
    use FleetBehavior::{Follows, LoadsNothing, StaysAtFirst};
    let case = |name, behavior, demand, copies, changes| SteadyCase {
        name,
        behavior,
        demand,
        copies,
        changes,
    };
    let cases = [
        case("rare", Follows, 0.02, 1..=1, 0),
        case("below one copy", Follows, 0.8, 1..=2, 1),
        case("at a boundary", Follows, 2.0, 2..=3, 2),
        case("three and a half", Follows, 3.5, 3..=5, 4),
        case("at a high boundary", Follows, 8.0, 7..=11, 8),
        case("twenty", Follows, 20.0, 16..=27, 16),
        case("copies that never arrive", LoadsNothing, 1.5, 2..=2, 1),
        case("many copies that never arrive", LoadsNothing, 5.0, 4..=5, 4),
        case("copies that get no calls", StaysAtFirst, 1.5, 2..=5, 6),
        case("many copies that get no calls", StaysAtFirst, 5.0, 4..=12, 8),
    ];
    let mut failures = Vec::new();
    for case in cases {
        let mut decision_loop = DecisionLoop::new(case.behavior);
        decision_loop.run(case.demand * COPY_RATE, 10);
        decision_loop.history.clear();
        let mut seen = vec![decision_loop.copies];
        decision_loop.run(case.demand * COPY_RATE, 120);
        seen.extend(decision_loop.history.iter().map(|(_, copies)| *copies));
        let is_within = seen.iter().all(|copies| case.copies.contains(copies));
        let changes = decision_loop.history.len();
        println!("{}: {seen:?}", case.name);
        if !is_within || changes > case.changes {
            failures.push(format!("{}: {seen:?}", case.name));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against an adapter in sudden demand whose calls queue at one engine for seconds, and against copies that keep
/// slots after its demand has ended.
#[test]
fn copies_follow_demand() {
    let mut decision_loop = DecisionLoop::new(FleetBehavior::Follows);
    decision_loop.run(1.0, 10);
    assert_eq!(decision_loop.copies, 1);
    decision_loop.run(100.0, 1);
    assert!(decision_loop.copies >= 4, "after a second: {:?}", decision_loop.history);
    decision_loop.run(100.0, 3);
    assert!(decision_loop.copies >= 6, "after four seconds: {:?}", decision_loop.history);
    decision_loop.run(100.0, 4);
    assert!((8..=14).contains(&decision_loop.copies), "{:?}", decision_loop.history);
    decision_loop.run(1.0, 1);
    assert!(decision_loop.copies >= 8, "a pause of a second: {:?}", decision_loop.history);
    decision_loop.run(1.0, 19);
    assert_eq!(decision_loop.copies, 1, "{:?}", decision_loop.history);
}

/// A loader that was suspended has missed calls and then reads those that piled up at once. Guards against a number of
/// copies that falls to one or rises to many after it, and against a decision that is stated before it is known.
#[test]
fn a_suspended_loader_states_nothing_until_it_knows_the_demand() {
    let share = CopyShare::new(BATCH, RUN_MS).expect("known");
    let mut decision_loop = DecisionLoop::new(FleetBehavior::Follows);
    decision_loop.run(60.0, 20);
    let before = decision_loop.copies;
    assert!((5..=8).contains(&before), "{:?}", decision_loop.history);
    decision_loop.now += 6_000;
    let resumed = decision_loop.now;
    for _ in 0..60 {
        decision_loop.decisions.record(&adapter("h7"), 1, before, ms(resumed));
    }
    assert_eq!(decision_loop.decisions.decide(&adapter("h7"), 0, share, ms(resumed)), 0);
    decision_loop.run(60.0, 2);
    assert_eq!(decision_loop.copies, 0, "it has not counted for long enough");
    decision_loop.history.clear();
    decision_loop.run(60.0, 30);
    let stated = decision_loop.history.iter().map(|(_, copies)| *copies);
    assert!(stated.clone().all(|copies| (5..=9).contains(&copies)), "{:?}", decision_loop.history);
    assert!(stated.count() > 0);
}

/// Guards against numbers that are stated from nothing: routers would drop their own estimates for them.
#[test]
fn nothing_is_decided_without_calls_batch_or_run_time() {
    for (batch, run_ms) in [(0, 400), (16, 0), (0, 0)] {
        assert!(CopyShare::new(batch, run_ms).is_none(), "batch {batch}, run {run_ms}");
    }
    let share = CopyShare::new(BATCH, RUN_MS).expect("known");
    let mut decisions = CopyDecisions::default();
    assert_eq!(decisions.decide(&adapter("h7"), 0, share, ms(5_000)), 0, "no calls");
    decisions.record(&adapter("h8"), 1, 1, ms(5_000));
    assert_eq!(decisions.decide(&adapter("h8"), 0, share, ms(5_100)), 0, "too early");
}

/// Guards against a table that grows with every adapter that was ever called.
#[test]
fn counts_are_bounded() {
    let mut decisions = CopyDecisions::default();
    for index in 0..10_000 {
        decisions.record(&adapter(&format!("a{index}")), 1, 1, Duration::from_micros(index * 200));
    }
    assert!(decisions.len() <= 1_024, "{}", decisions.len());
}
