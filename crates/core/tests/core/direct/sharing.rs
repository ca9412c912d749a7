//! The list of targets, shared by the routers of a zone.

mod growth;
mod zone;

use super::support::{DESK, ENGINES, target};
use plantain_core::direct::{
    membership::{InstanceId, ListChange, TargetEntry},
    sharing::{
        ChangeImportance, ChangeLog, LoggedChange, SharedChange, StorePosition, order::RelayOrder,
    },
    snapshot::FollowedState,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

/// Ids of the targets in the store.
const TARGETS: [&str; 4] = ["t0", "t1", "t2", "t3"];

/// One event of the test.
#[derive(Clone, Copy, Debug)]
enum ShareStep {
    /// A target's entry changes or is removed.
    Change { target: usize, is_removed: bool },
    /// A watching router reads the store.
    Read { log: usize },
    /// A router loses the store, or stops watching.
    Lose { log: usize },
    /// The router under test queries another one.
    Query { log: usize },
    /// The router under test reads the store.
    Follow,
}

impl Arbitrary for ShareStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let log = usize::arbitrary(g) % 2;
        match u8::arbitrary(g) % 16 {
            0..=4 => {
                Self::Change { target: usize::arbitrary(g) % 4, is_removed: bool::arbitrary(g) }
            }
            5..=8 => Self::Read { log },
            9 => Self::Lose { log },
            10..=14 => Self::Query { log },
            _ => Self::Follow,
        }
    }
}

/// The store, with one change per revision.
#[derive(Default)]
struct FakeStore(Vec<SharedChange>);

impl FakeStore {
    fn revision(&self) -> u64 {
        self.0.len() as u64
    }

    fn change(&mut self, index: usize, is_removed: bool) {
        let id: InstanceId = TARGETS[index].into();
        let change = if is_removed {
            ListChange::Removed(id)
        } else {
            ListChange::Put(Arc::new(target(&id, DESK, "a", self.0.len() as u16 + 1)))
        };
        self.0.push(SharedChange::Target(change));
    }

    fn after(&self, revision: u64) -> Vec<SharedChange> {
        self.0[revision as usize..].to_vec()
    }

    /// The list of targets as of `revision`.
    fn list_at(&self, revision: u64) -> BTreeMap<InstanceId, u64> {
        let mut list = BTreeMap::new();
        apply(&mut list, &self.0[..revision as usize]);
        list
    }
}

fn apply(list: &mut BTreeMap<InstanceId, u64>, changes: &[SharedChange]) {
    for change in changes {
        let SharedChange::Target(change) = change else { continue };
        match change {
            ListChange::Put(entry) => {
                list.insert(Arc::clone(&entry.incarnation.id), entry.generation)
            }
            ListChange::Removed(id) => list.remove(id),
        };
    }
}

/// A position of the first era.
pub fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn required(changes: Vec<SharedChange>) -> Vec<LoggedChange> {
    let importance = ChangeImportance::Required;
    changes.into_iter().map(|change| LoggedChange { change, importance }).collect()
}

/// A router reads the store at times, and otherwise queries one of two others that lose the store and reach
/// it again. If a change were missing from its list, a target that has drained would get calls until its
/// entry changes again. In any order of events its list must equal the store's at the revision of the
/// answer, and its revision must never fall.
#[test]
fn a_shared_list_equals_the_stores() {
    fn holds(steps: Vec<ShareStep>) -> bool {
        let mut store = FakeStore::default();
        let mut logs = [(ChangeLog::default(), 0), (ChangeLog::default(), 0)];
        let (mut list, mut revision) = (BTreeMap::new(), 0);
        for step in steps {
            match step {
                ShareStep::Change { target, is_removed } => store.change(target, is_removed),
                ShareStep::Read { log } => {
                    let (log, known) = &mut logs[log];
                    let changes = required(store.after(*known));
                    log.append(at(*known), at(store.revision()), changes);
                    *known = store.revision();
                }
                ShareStep::Lose { log } => {
                    logs[log].0.stop();
                    logs[log].1 = store.revision();
                }
                ShareStep::Query { log } => {
                    let Some(delta) = logs[log].0.since(at(revision)) else { continue };
                    apply(&mut list, &delta.changes);
                    if delta.revision < revision || list != store.list_at(delta.revision) {
                        return false;
                    }
                    revision = delta.revision;
                }
                ShareStep::Follow => {
                    apply(&mut list, &store.after(revision));
                    revision = store.revision();
                }
            }
        }
        true
    }
    quickcheck(holds as fn(Vec<ShareStep>) -> bool);
}

struct LogCase {
    name: &'static str,
    rounds: u64,
    since: u64,
    /// Number of changes; `None` if the querying router needs a snapshot.
    count: Option<usize>,
}

/// A router that was disconnected for long queries from a revision that the log no longer covers. An empty
/// delta would make it keep entries of targets that are gone.
#[test]
fn a_router_too_far_behind_reads_a_snapshot() {
    let cases = [
        LogCase { name: "nothing new", rounds: 3, since: 3, count: Some(0) },
        LogCase { name: "one round", rounds: 3, since: 2, count: Some(1) },
        LogCase { name: "ahead", rounds: 3, since: 9, count: Some(0) },
        LogCase { name: "from the start", rounds: 3, since: 0, count: Some(3) },
        LogCase { name: "before the log", rounds: 40, since: 2, count: None },
        LogCase { name: "just in the log", rounds: 40, since: 8, count: Some(4) },
    ];
    for case in cases {
        let mut store = FakeStore::default();
        let mut log = ChangeLog::default();
        log.restart(at(0));
        for round in 0..case.rounds {
            store.change(round as usize % TARGETS.len(), false);
            log.append(at(round), at(round + 1), required(store.after(round)));
        }
        let count = log.since(at(case.since)).map(|delta| delta.changes.len());
        assert_eq!(count, case.count, "{}", case.name);
    }
    assert!(ChangeLog::default().since(at(0)).is_none(), "a log that does not follow the store");
}

/// Every router of a zone must compute the same watcher, in whatever order it learned of the others: with two
/// watchers the store gets twice the calls, and with none the list is not updated.
#[test]
fn all_routers_of_a_zone_compute_the_same_watcher() {
    let routers: Vec<SocketAddr> =
        (1..9).map(|host| SocketAddr::from(([10, 0, 0, host], 8_144))).collect();
    let watchers: HashSet<SocketAddr> = routers
        .iter()
        .map(|own| {
            let others = routers.iter().rev().copied().filter(|other| other != own);
            let order = RelayOrder::new(others.chain([*own]));
            order.upstream(*own, |_| true).unwrap_or(*own)
        })
        .collect();
    assert_eq!(watchers.len(), 1);
    assert_eq!(
        RelayOrder::new([routers[0]]).upstream(routers[0], |_| true),
        None,
        "a single router"
    );
}

/// Guards against a snapshot that makes each router behind a relay read a snapshot too: the relay must pass on only
/// the changes.
#[test]
fn a_snapshot_is_passed_on_as_changes() {
    let put = |id: &str, port| ListChange::Put(Arc::new(target(id, DESK, "a", port)));
    let mut state = FollowedState::default();
    for (id, port) in [("same", 1), ("changed", 2), ("gone", 3)] {
        state.take_change(&put(id, port));
    }
    let snapshot = [put("same", 1), put("changed", 9), put("new", 4)].map(SharedChange::Target);
    let changes = state.changes_to(&snapshot);
    let removed = ListChange::Removed("gone".into());
    let expected = [put("changed", 9), put("new", 4), removed].map(SharedChange::Target);
    assert_eq!(changes, expected);
}

struct HintCase {
    name: &'static str,
    change: fn(&mut TargetEntry),
    importance: ChangeImportance,
}

/// Guards against a required change that is dropped as a hint: calls would still go to a target that drains,
/// has moved, or has lost its base model.
#[test]
fn only_a_change_of_adapters_alone_is_a_hint() {
    let required = ChangeImportance::Required;
    let case = |name, importance, change| HintCase { name, change, importance };
    let cases = [
        case("adapters", ChangeImportance::Hint, |entry| {
            entry.holdings[0].adapters.insert("a1".into(), 2);
        }),
        case("draining", required, |entry| entry.is_draining = true),
        case("address", required, |entry| entry.address.set_port(9)),
        case("another incarnation", required, |entry| entry.incarnation.started = Some(7)),
        case("another base model", required, |entry| entry.holdings[0].base = "other".into()),
        case("other weights", required, |entry| entry.holdings[0].version += 1),
        case("no base model", required, |entry| entry.holdings.clear()),
        case("adapters and slots", required, |entry| {
            entry.holdings[0].adapters.insert("a1".into(), 2);
            entry.slots += 1;
        }),
    ];
    let known = target("t0", ENGINES, "a", 1);
    let mut state = FollowedState::default();
    state.take_change(&ListChange::Put(Arc::new(known.clone())));
    for case in cases {
        let mut changed = known.clone();
        (case.change)(&mut changed);
        let change = SharedChange::Target(ListChange::Put(Arc::new(changed)));
        assert_eq!(state.classify_change(change).importance, case.importance, "{}", case.name);
    }
}

struct EraCase {
    name: &'static str,
    /// Positions of the log, from the one at which it starts.
    log: &'static [(u64, u64)],
    known: (u64, u64),
    /// Position and number of changes of the answer; `None` if the querying router needs a snapshot.
    answer: Option<((u64, u64), usize)>,
}

/// Guards against a router that misses changes because revisions of two eras were compared as numbers.
#[test]
fn positions_of_an_earlier_era_need_a_snapshot() {
    let cases = [
        EraCase {
            name: "a higher revision of the era before",
            log: &[(2, 76), (2, 80)],
            known: (1, 144),
            answer: None,
        },
        EraCase {
            name: "the same revision of the era before",
            log: &[(2, 76), (2, 80)],
            known: (1, 80),
            answer: None,
        },
        EraCase { name: "an era was skipped", log: &[(3, 9)], known: (1, 50), answer: None },
        EraCase {
            name: "the era changed within the log",
            log: &[(1, 140), (1, 144), (2, 76), (2, 80)],
            known: (1, 144),
            answer: None,
        },
        EraCase {
            name: "after a change of the era within the log",
            log: &[(1, 140), (1, 144), (2, 76), (2, 80)],
            known: (2, 76),
            answer: Some(((2, 80), 1)),
        },
        EraCase {
            name: "the log is of the era before",
            log: &[(1, 140), (1, 144)],
            known: (2, 76),
            answer: Some(((2, 76), 0)),
        },
    ];
    for case in cases {
        let position = |(era, revision)| StorePosition::new(era, revision);
        let mut store = FakeStore::default();
        let mut log = ChangeLog::default();
        log.restart(position(case.log[0]));
        for step in case.log.windows(2) {
            store.change(0, false);
            let changes = required(store.after(store.revision() - 1));
            log.append(position(step[0]), position(step[1]), changes);
        }
        let known = position(case.known);
        let answer = log.since(known).map(|delta| (delta.position(), delta.changes.len()));
        let expected = case.answer.map(|(at, count)| (position(at), count));
        assert_eq!(answer, expected, "{}", case.name);
        let has_changes = case.answer.is_none_or(|(_, count)| count > 0);
        assert_eq!(log.has_changes(known), has_changes, "{}", case.name);
    }
}
