//! Draining and backoff that targets advertise, against outdated lists and reports.

use super::support::{DESK, ENGINES, config, model_call, ms, need, report, target};
use plantain_core::{
    direct::{
        advertised_state::{AdvertisedState, MAX_BACKOFF, advertises_draining, requested_backoff},
        membership::{ListChange, TargetEntry, TargetIncarnation},
        placement::place_adapter,
        proof::{AnswerHead, RunProof},
        selection::{TargetChoice, choose_target},
        target_limit::AdvertisedLimit,
        targets::TargetPool,
    },
    ids::{ServiceName, ZoneName},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Number of simulations, and of events in each.
const SIMULATIONS: u64 = 2_000;
const EVENTS: usize = 120;
/// Ids, services and ports of the simulated targets.
const TARGETS: [(&str, &str, u16); 5] =
    [("e1", ENGINES, 1), ("e2", ENGINES, 2), ("e3", ENGINES, 3), ("d1", DESK, 4), ("d2", DESK, 5)];

fn answer(status: u16, instance: Option<&str>) -> AnswerHead {
    AnswerHead {
        status,
        echoed_id: None,
        is_signed: false,
        declares_not_run: false,
        instance: instance.map(Into::into),
        limit: AdvertisedLimit::Unlimited,
        is_draining: true,
        backoff: None,
    }
}

/// Guards against a target that counts as draining because another target, which has its address now, drains.
#[test]
fn an_answer_counts_only_for_the_target_of_the_request() {
    let cases = [
        ("a success", answer(200, None), true),
        ("a refusal", answer(503, None), true),
        ("a failure that names itself", answer(500, Some("d1")), true),
        ("it holds something else", answer(421, Some("d1")), true),
        ("another target", answer(421, Some("d2")), false),
        ("a target that does not name itself", answer(421, None), false),
        ("another target's late answer", answer(200, Some("d2")), false),
    ];
    for (name, head, is_accepted) in cases {
        assert_eq!(advertises_draining(&head, &"d1".into()), is_accepted, "{name}");
        let not_draining = AnswerHead { is_draining: false, ..head };
        assert!(!advertises_draining(&not_draining, &"d1".into()), "{name}, without draining");
    }
}

/// What a target has advertised, recorded independently of the pool.
#[derive(Clone, Copy, Debug, Default)]
struct ExpectedState {
    is_draining: bool,
    backoff_until: Duration,
}

impl ExpectedState {
    fn takes_calls(self, now: Duration) -> bool {
        !self.is_draining && now >= self.backoff_until
    }
}

/// A router's pool under random events: answers, restarts, reports, and changes of the list.
struct AdvertisedSimulation {
    pool: TargetPool,
    random: StdRng,
    now: Duration,
    /// Start of each target's current incarnation.
    starts: HashMap<&'static str, u64>,
    expected: HashMap<TargetIncarnation, ExpectedState>,
}

impl AdvertisedSimulation {
    fn new(seed: u64) -> Self {
        let mut pool = TargetPool::new();
        pool.take_config(Arc::new(config(1, Vec::new())));
        let starts = TARGETS.iter().map(|(id, ..)| (*id, 1)).collect();
        let random = StdRng::seed_from_u64(seed);
        let mut simulation = Self { pool, random, now: ms(0), starts, expected: HashMap::new() };
        simulation.replace_list();
        simulation
    }

    fn incarnation(&self, id: &str) -> TargetIncarnation {
        TargetIncarnation { id: id.into(), started: Some(self.starts[id]) }
    }

    /// Returns an entry of the target that does not drain. One in ten is of the previous incarnation, the others of
    /// the current one.
    fn entry(&mut self, (id, service, port): (&str, &str, u16)) -> Arc<TargetEntry> {
        let incarnation = self.incarnation(id);
        let is_old = self.random.random_bool(0.1);
        let started =
            incarnation.started.map(|start| if is_old { start.max(2) - 1 } else { start });
        let incarnation = TargetIncarnation { started, ..incarnation };
        Arc::new(TargetEntry { incarnation, ..target(id, service, "a", port) })
    }

    fn replace_list(&mut self) {
        let entries = TARGETS.map(|target| self.entry(target)).into_iter();
        let kept: Vec<_> = entries.filter(|_| self.random.random_bool(0.8)).collect();
        self.pool.replace_list(kept, self.now);
    }

    fn step(&mut self) {
        self.now += ms(self.random.random_range(1..400));
        let drawn = TARGETS[self.random.random_range(0..TARGETS.len())];
        let incarnation = self.incarnation(drawn.0);
        match self.random.random_range(0..10) {
            0 => self.replace_list(),
            1 => {
                let entry = self.entry(drawn);
                self.pool.apply_changes(&[ListChange::Put(entry)], self.now);
            }
            2 => self.pool.apply_changes(&[ListChange::Removed(drawn.0.into())], self.now),
            3 => self.pool.note_outage(),
            4 => self.pool.note_contact(self.now),
            5 if self.random.random_bool(0.3) => *self.starts.entry(drawn.0).or_default() += 1,
            6 if drawn.1 == ENGINES => {
                let mut report = report(drawn.0, self.random.random_range(0..9), &[]);
                report.incarnation = incarnation;
                let host = [127, 0, 0, drawn.2 as u8].into();
                self.pool.take_report(host, report, self.now);
            }
            7 if self.random.random_bool(0.3) => {
                self.expected.entry(incarnation.clone()).or_default().is_draining = true;
                self.pool.record_draining(&incarnation, self.now);
            }
            8 => {
                let backoff = ms(self.random.random_range(0..3_000));
                let expected = self.expected.entry(incarnation.clone()).or_default();
                expected.backoff_until = expected.backoff_until.max(self.now + backoff);
                self.pool.record_backoff(&incarnation, backoff, self.now);
            }
            _ => {}
        }
    }

    fn check(&mut self, seed: u64) {
        let zone: ZoneName = "a".into();
        let call = model_call(Some("a1"));
        for (service, model) in [(ENGINES, Some(&call)), (DESK, None)] {
            let service: ServiceName = service.into();
            let need = need(&service, &zone, model);
            let choice = choose_target(&self.pool, &need, self.now, || 0.5);
            let preferred = model.map_or(Vec::new(), |call| {
                let adapter = plantain_core::direct::selection::adapter_of(call);
                let adapter = adapter.expect("an adapter");
                let placement = place_adapter(&self.pool, &need, &adapter, self.now);
                [placement.preferred, placement.overflow].concat()
            });
            let chosen = match choice {
                TargetChoice::Send(incarnation, _)
                | TargetChoice::RequestReport(incarnation)
                | TargetChoice::Load(incarnation, ..) => Some(incarnation),
                TargetChoice::AwaitBase | TargetChoice::Nowhere => None,
            };
            for incarnation in chosen.iter().chain(&preferred) {
                let expected = self.expected.get(incarnation).copied().unwrap_or_default();
                assert!(
                    expected.takes_calls(self.now),
                    "seed {seed}: {incarnation} was chosen: {expected:?}"
                );
            }
        }
    }
}

/// Guards against a target's draining or backoff being undone by an older list, a report, the expiry of its entry or
/// an outage of the store.
#[test]
fn late_updates_do_not_undo_advertised_state() {
    let mut chosen = 0;
    for seed in 0..SIMULATIONS {
        let mut simulation = AdvertisedSimulation::new(seed);
        for _ in 0..EVENTS {
            simulation.step();
            simulation.check(seed);
        }
        chosen += usize::from(
            simulation.expected.values().any(|expected| !expected.takes_calls(simulation.now)),
        );
    }
    assert!(chosen as u64 > SIMULATIONS / 2, "draining or backoff in {chosen} simulations only");
}

/// Guards against the loss of what an incarnation has advertised when an older list shows the incarnation before it.
#[test]
fn an_older_list_does_not_end_what_a_later_incarnation_has_advertised() {
    let entry = |started| {
        let incarnation = TargetIncarnation { id: "d1".into(), started: Some(started) };
        Arc::new(TargetEntry { incarnation, ..target("d1", DESK, "a", 4) })
    };
    let (earlier, current) = (entry(1), entry(2));
    let mut pool = TargetPool::new();
    pool.take_config(Arc::new(config(1, Vec::new())));
    pool.replace_list(vec![Arc::clone(&current)], ms(0));
    pool.record_limit(&current.incarnation, AdvertisedLimit::Limited(3.9), ms(10), ms(20));
    pool.replace_list(vec![earlier], ms(30));
    pool.replace_list(vec![Arc::clone(&current)], ms(40));
    let target = pool.target(&current.incarnation).expect("the current incarnation");
    assert_eq!(target.limit.rate, Some(3.9));
}

struct BackoffCase {
    name: &'static str,
    proof: RunProof,
    status: u16,
    requested: Option<Duration>,
    backoff: Option<Duration>,
}

/// Guards against a backoff from an answer that was meant for one caller or came from a run that failed.
#[test]
fn only_a_rejected_request_sets_a_backoff() {
    let case = |name, proof, status, requested, backoff| BackoffCase {
        name,
        proof,
        status,
        requested,
        backoff,
    };
    let some = Some(ms(3_000));
    let cases = [
        case("rejected", RunProof::NotRun, 503, some, some),
        case("rejected without a time", RunProof::NotRun, 503, None, None),
        case("rejected with a time of zero", RunProof::NotRun, 503, Some(ms(0)), None),
        case("a limit for one customer", RunProof::NotRun, 429, some, None),
        case("a run that failed", RunProof::Failed, 503, some, None),
        case("another call's answer", RunProof::Unknown, 503, some, None),
        case("another target", RunProof::Misdirected, 421, some, None),
    ];
    for case in cases {
        let head = AnswerHead { backoff: case.requested, ..answer(case.status, None) };
        assert_eq!(requested_backoff(case.proof, &head), case.backoff, "{}", case.name);
    }
}

/// Guards against a backoff that a shorter one cuts, and against one without an upper bound.
#[test]
fn the_longest_backoff_counts_and_is_bounded() {
    let mut advertised = AdvertisedState::default();
    assert!(advertised.record_backoff(ms(3_000), ms(100)), "a new backoff");
    assert!(!advertised.record_backoff(ms(200), ms(150)), "already backing off");
    assert!(advertised.is_backing_off(ms(3_099)) && !advertised.is_backing_off(ms(3_100)));
    advertised.record_backoff(Duration::MAX, ms(4_000));
    assert_eq!(advertised.backoff_until, ms(4_000) + MAX_BACKOFF);
}

/// Guards against callers that get too short a time to retry after, or wait for a base model, while all targets back
/// off, and against callers that get a long one although a target accepts requests.
#[test]
fn callers_retry_when_the_first_backoff_ends() {
    let mut pool = super::support::pool();
    let (zone, service): (ZoneName, ServiceName) = ("a".into(), ENGINES.into());
    let call = model_call(None);
    for (id, backoff) in [("e1", 3_000), ("e2", 2_000)] {
        pool.record_backoff(&id.into(), ms(backoff), ms(0));
    }
    assert_eq!(pool.backoff_left(ENGINES, ms(0)), None, "one accepts requests");
    pool.record_backoff(&"e3".into(), ms(5_000), ms(0));
    assert_eq!(pool.backoff_left(ENGINES, ms(500)), Some(ms(1_500)));
    let need = need(&service, &zone, Some(&call));
    assert_eq!(choose_target(&pool, &need, ms(500), || 0.5), TargetChoice::Nowhere);
    assert_eq!(pool.backoff_left(ENGINES, ms(2_000)), None, "the second is back");
    assert_eq!(pool.backoff_left(DESK, ms(0)), None);
    pool.record_draining(&"e2".into(), ms(2_000));
    assert_eq!(pool.backoff_left(ENGINES, ms(2_000)), Some(ms(1_000)), "the second drains");
}
