//! Random histories of events: the agent's invariants hold in any order of events.

use super::{BATCH, SLOTS, offer, options};
use plantain_core::{
    agent::{
        AgentState,
        events::{AgentAction, AgentEvent, LoadResult, OfferSummary, WorkId},
    },
    ids::{AdapterKey, Timestamp},
    priority::Priority,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const ADAPTERS: u32 = 7;

/// A step of a random history. The indices select among the items that are possible at that point.
#[derive(Clone, Debug)]
enum Step {
    Offer { adapter: u32, idempotent: bool, priority: usize, millis: u64 },
    Release(usize),
    Cancel(usize),
    Finish(usize),
    Missing(usize),
    Permit(usize),
    EndLoad(usize, u8),
    EndEvict(bool),
    Restart,
    Down(bool),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let pick = usize::arbitrary(generator) % 64;
        match u8::arbitrary(generator) % 20 {
            0..=5 => Self::Offer {
                adapter: u32::arbitrary(generator) % ADAPTERS,
                idempotent: u8::arbitrary(generator) % 4 > 0,
                priority: pick % 3,
                millis: 100 + u64::arbitrary(generator) % 5_000,
            },
            6 => Self::Release(pick),
            7 => Self::Cancel(pick),
            8..=9 => Self::Finish(pick),
            10 => Self::Missing(pick),
            11..=12 => Self::Permit(pick),
            13..=14 => Self::EndLoad(pick, u8::arbitrary(generator) % 5),
            15 => Self::EndEvict(pick % 5 > 0),
            16 if pick < 8 => Self::Restart,
            17 if pick < 16 => Self::Down(bool::arbitrary(generator)),
            _ => Self::Wait(u64::arbitrary(generator) % 700),
        }
    }
}

/// The environment of the state machine: an engine that carries out its orders, and entries that record
/// its answers.
struct Simulation {
    state: AgentState,
    now: Timestamp,
    next: WorkId,
    offers: BTreeMap<WorkId, OfferSummary>,
    accepted: BTreeSet<WorkId>,
    released: BTreeSet<WorkId>,
    running: BTreeSet<WorkId>,
    ended: BTreeSet<WorkId>,
    aborted: BTreeSet<WorkId>,
    requested: Vec<AdapterKey>,
    loading: BTreeSet<AdapterKey>,
    loaded: BTreeSet<AdapterKey>,
    evicting: Option<AdapterKey>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            state: AgentState::new(options()),
            now: Duration::from_secs(1),
            next: 0,
            offers: BTreeMap::new(),
            accepted: BTreeSet::new(),
            released: BTreeSet::new(),
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
            aborted: BTreeSet::new(),
            requested: Vec::new(),
            loading: BTreeSet::new(),
            loaded: BTreeSet::new(),
            evicting: None,
        };
        simulation.event(AgentEvent::TargetUp(true));
        simulation
    }

    fn event(&mut self, event: AgentEvent) {
        for action in self.state.handle(event, self.now) {
            self.check_action(action);
        }
        let held = self.loaded.len() + self.loading.len();
        assert!(held <= SLOTS, "{held} adapters in {SLOTS} slots");
        assert!(self.running.len() <= BATCH as usize, "batch overfull");
    }

    fn check_action(&mut self, action: AgentAction) {
        match action {
            AgentAction::Accept { work } => {
                assert!(self.accepted.insert(work), "accepted twice");
            }
            AgentAction::Refuse { work, .. } => {
                assert!(!self.running.contains(&work), "refused running work");
                assert!(self.ended.insert(work), "ended twice");
            }
            AgentAction::Start { work, .. } => {
                let offer = &self.offers[&work];
                assert!(self.accepted.contains(&work) && !self.ended.contains(&work));
                assert!(offer.idempotent || self.released.contains(&work), "ran unreleased");
                let ready = |key: &AdapterKey| offer.needs(key);
                assert!(self.loaded.iter().any(ready), "started without its adapter");
                assert!(self.running.insert(work), "started twice");
            }
            AgentAction::Abort { work } => {
                assert!(self.offers[&work].idempotent, "aborted non-idempotent work");
                self.aborted.insert(work);
            }
            AgentAction::AskPermit { key, .. } => {
                if !self.requested.contains(&key) {
                    self.requested.push(key);
                }
            }
            AgentAction::DropPermit { key } => self.requested.retain(|requested| *requested != key),
            AgentAction::Load { key } => {
                assert!(!self.loaded.contains(&key), "loaded twice");
                assert!(self.loading.insert(key), "ordered twice");
                assert!(self.loading.len() <= 2, "more loads than the engine takes");
            }
            AgentAction::Evict { key } => {
                let pinned = |work: &&WorkId| self.offers[work].needs(&key);
                let open = self.accepted.difference(&self.ended);
                assert!(open.clone().find(pinned).is_none(), "evicted {key} in use");
                assert!(self.evicting.replace(key).is_none(), "two evictions at once");
            }
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer { adapter, idempotent, priority, millis } => {
                let work = self.next;
                self.next += 1;
                let offer = OfferSummary {
                    idempotent,
                    priority: Priority::ALL[priority],
                    time_left: Duration::from_millis(millis),
                    ..offer(work, adapter)
                };
                self.offers.insert(work, offer.clone());
                self.event(AgentEvent::Offered(Box::new(offer)));
            }
            Step::Release(pick) => {
                if let Some(work) = choose(&self.waiting(), pick) {
                    self.released.insert(work);
                    self.event(AgentEvent::Released(work));
                }
            }
            Step::Cancel(pick) => {
                let open = self.accepted.difference(&self.ended).copied().collect();
                if let Some(work) = choose(&open, pick) {
                    if !self.running.contains(&work) {
                        self.ended.insert(work);
                    }
                    self.event(AgentEvent::Cancelled(work));
                }
            }
            Step::Finish(pick) => {
                if let Some(work) = choose(&self.running, pick) {
                    self.finish(work);
                }
            }
            Step::Missing(pick) => {
                // An engine loses an adapter only by a restart that the agent has not detected yet.
                if let Some(work) = choose(&self.running, pick) {
                    self.running.remove(&work);
                    let lost = self.offers[&work].clone();
                    self.loaded.retain(|key| !lost.needs(key));
                    self.event(AgentEvent::AdapterMissing(work));
                }
            }
            Step::Permit(pick) => {
                if !self.requested.is_empty() {
                    let key = self.requested.remove(pick % self.requested.len());
                    self.event(AgentEvent::LoadPermitted(key));
                }
            }
            Step::EndLoad(pick, result) => {
                if let Some(key) = choose(&self.loading, pick) {
                    self.end_load(key, result);
                }
            }
            Step::EndEvict(evicted) => {
                if let Some(key) = self.evicting.take() {
                    if evicted {
                        self.loaded.remove(&key);
                    }
                    self.event(AgentEvent::EvictEnded { key, evicted });
                }
            }
            Step::Restart => self.restart(),
            Step::Down(down) => self.event(AgentEvent::TargetUp(!down)),
            Step::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                self.event(AgentEvent::Tick);
            }
        }
    }

    fn waiting(&self) -> BTreeSet<WorkId> {
        let open = self.accepted.difference(&self.ended);
        open.filter(|work| !self.running.contains(*work)).copied().collect()
    }

    fn finish(&mut self, work: WorkId) {
        self.running.remove(&work);
        assert!(self.ended.insert(work), "ended twice");
        self.event(AgentEvent::Finished { work, service_time: Duration::from_millis(50) });
    }

    fn end_load(&mut self, key: AdapterKey, result: u8) {
        self.loading.remove(&key);
        let result = match result {
            0 => LoadResult::Failed,
            1 => LoadResult::StoreBusy,
            _ => LoadResult::Loaded,
        };
        if result == LoadResult::Loaded {
            self.loaded.insert(key.clone());
        }
        let took = Duration::from_millis(300);
        self.event(AgentEvent::LoadEnded { key, result, took });
    }

    fn restart(&mut self) {
        self.loaded.clear();
        self.loading.clear();
        self.evicting = None;
        self.event(AgentEvent::TargetRestarted);
        for work in std::mem::take(&mut self.running) {
            self.finish(work);
        }
    }

    /// Stops the agent, lets all orders and requests end, and checks that no work is left.
    fn drain(&mut self) {
        self.event(AgentEvent::TargetUp(true));
        self.event(AgentEvent::Stopping);
        for _ in 0..2_000 {
            if self.state.is_drained() {
                break;
            }
            while let Some(work) = choose(&self.running, 0) {
                self.finish(work);
            }
            for key in std::mem::take(&mut self.requested) {
                self.event(AgentEvent::LoadPermitted(key));
            }
            while let Some(key) = choose(&self.loading, 0) {
                self.end_load(key, 4);
            }
            self.apply(&Step::EndEvict(true));
            self.apply(&Step::Wait(100));
        }
        assert!(self.state.is_drained(), "work is left over");
        assert_eq!(
            self.accepted.difference(&self.ended).count(),
            0,
            "an accepted offer never ended"
        );
    }
}

fn choose<T: Clone + Ord>(set: &BTreeSet<T>, pick: usize) -> Option<T> {
    set.iter().nth(pick % set.len().max(1)).cloned()
}

/// For any order of events: no request runs unreleased or without its adapter, no adapter in use is
/// evicted, slots and batch are never overfull, and every accepted offer ends exactly once.
#[test]
fn any_history_keeps_the_invariants() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck hands over values")]
    fn property(steps: Vec<Step>) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.apply(step);
        }
        simulation.drain();
    }
    QuickCheck::new().tests(400).quickcheck(property as fn(Vec<Step>));
}
