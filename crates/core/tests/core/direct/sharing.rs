//! The list of targets, shared by the routers of a zone.

mod growth;
mod zone;

use super::support::{DESK, ENGINES, target};
use plantain_core::direct::{
    membership::{InstanceId, ListChange, TargetEntry},
    sharing::{ChangeImportance, ChangeLog, LoggedChange, SharedChange, order::RelayOrder},
    snapshot::FollowedState,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

/// Targets of the keeper.
const TARGETS: [&str; 4] = ["t0", "t1", "t2", "t3"];

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum ShareStep {
    /// A target's entry changes, or goes.
    Change { target: usize, is_removed: bool },
    /// A router that watches reads the keeper.
    Read { log: usize },
    /// A router loses the keeper, or leaves the watch to another one.
    Lose { log: usize },
    /// The router under test asks another one.
    Ask { log: usize },
    /// The router under test reads the keeper.
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
            10..=14 => Self::Ask { log },
            _ => Self::Follow,
        }
    }
}

/// The keeper: a change a revision.
#[derive(Default)]
struct Keeper(Vec<SharedChange>);

impl Keeper {
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

fn needed(changes: Vec<SharedChange>) -> Vec<LoggedChange> {
    let importance = ChangeImportance::Required;
    changes.into_iter().map(|change| LoggedChange { change, importance }).collect()
}

/// A router follows the keeper now and then, and otherwise asks one of two others that lose the keeper
/// and find it again. If it took a list that lacks a change, a target that has left would get calls for
/// as long as its entry does not change again. Whatever the order, its list is the keeper's own at the
/// revision that it was told, and its revision never falls.
#[test]
fn a_shared_list_is_the_keepers() {
    fn holds(steps: Vec<ShareStep>) -> bool {
        let mut keeper = Keeper::default();
        let mut logs = [(ChangeLog::default(), 0), (ChangeLog::default(), 0)];
        let (mut list, mut revision) = (BTreeMap::new(), 0);
        for step in steps {
            match step {
                ShareStep::Change { target, is_removed } => keeper.change(target, is_removed),
                ShareStep::Read { log } => {
                    let (log, known) = &mut logs[log];
                    log.append(*known, keeper.revision(), needed(keeper.after(*known)));
                    *known = keeper.revision();
                }
                ShareStep::Lose { log } => {
                    logs[log].0.stop();
                    logs[log].1 = keeper.revision();
                }
                ShareStep::Ask { log } => {
                    let Some(news) = logs[log].0.since(revision) else { continue };
                    apply(&mut list, &news.changes);
                    if news.revision < revision || list != keeper.list_at(news.revision) {
                        return false;
                    }
                    revision = news.revision;
                }
                ShareStep::Follow => {
                    apply(&mut list, &keeper.after(revision));
                    revision = keeper.revision();
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
    /// Changes told; `None` if the asker must read the whole list.
    told: Option<usize>,
}

/// A router that was away for long asks from a revision of which the log knows no more. Told "nothing",
/// it would keep entries of targets that are gone.
#[test]
fn one_that_is_too_far_behind_reads_a_snapshot() {
    let cases = [
        LogCase { name: "nothing new", rounds: 3, since: 3, told: Some(0) },
        LogCase { name: "one round", rounds: 3, since: 2, told: Some(1) },
        LogCase { name: "ahead", rounds: 3, since: 9, told: Some(0) },
        LogCase { name: "from the start", rounds: 3, since: 0, told: Some(3) },
        LogCase { name: "before the log", rounds: 40, since: 2, told: None },
        LogCase { name: "just in the log", rounds: 40, since: 8, told: Some(4) },
    ];
    for case in cases {
        let mut keeper = Keeper::default();
        let mut log = ChangeLog::default();
        log.restart(0);
        for round in 0..case.rounds {
            keeper.change(round as usize % TARGETS.len(), false);
            log.append(round, round + 1, needed(keeper.after(round)));
        }
        let told = log.since(case.since).map(|news| news.changes.len());
        assert_eq!(told, case.told, "{}", case.name);
    }
    assert!(ChangeLog::default().since(0).is_none(), "one that does not follow the keeper");
}

/// Every router of a zone must name the same watcher, whatever the order in which it heard of the
/// others; with two, the keeper gets twice the calls, and with none the list stands still.
#[test]
fn all_routers_of_a_zone_name_the_same_watcher() {
    let routers: Vec<SocketAddr> =
        (1..9).map(|host| SocketAddr::from(([10, 0, 0, host], 8_144))).collect();
    let named: HashSet<SocketAddr> = routers
        .iter()
        .map(|own| {
            let others = routers.iter().rev().copied().filter(|other| other != own);
            let order = RelayOrder::new(others.chain([*own]));
            order.upstream(*own, |_| true).unwrap_or(*own)
        })
        .collect();
    assert_eq!(named.len(), 1);
    assert_eq!(RelayOrder::new([routers[0]]).upstream(routers[0], |_| true), None, "one alone");
}

/// Guards against routers that read the whole list one after the other: a relay that did passes on what has changed.
#[test]
fn a_snapshot_is_passed_on_as_changes() {
    let put = |id: &str, port| ListChange::Put(Arc::new(target(id, DESK, "a", port)));
    let mut state = FollowedState::default();
    for (id, port) in [("same", 1), ("changed", 2), ("gone", 3)] {
        state.take_change(&put(id, port));
    }
    let whole = [put("same", 1), put("changed", 9), put("new", 4)].map(SharedChange::Target);
    let changes = state.changes_to(&whole);
    let removed = ListChange::Removed("gone".into());
    let expected = [put("changed", 9), put("new", 4), removed].map(SharedChange::Target);
    assert_eq!(changes, expected);
}

struct HintCase {
    name: &'static str,
    change: fn(&mut TargetEntry),
    importance: ChangeImportance,
}

/// Guards against a change of a target that is left out as a hint: calls would go on to one that leaves, has moved, or
/// has lost its base model.
#[test]
fn only_a_change_of_adapters_alone_is_a_hint() {
    let needed = ChangeImportance::Required;
    let case = |name, importance, change| HintCase { name, change, importance };
    let cases = [
        case("adapters", ChangeImportance::Hint, |entry| {
            entry.holdings[0].adapters.insert("a1".into(), 2);
        }),
        case("leaving", needed, |entry| entry.is_draining = true),
        case("address", needed, |entry| entry.address.set_port(9)),
        case("another life", needed, |entry| entry.incarnation.started = Some(7)),
        case("another base model", needed, |entry| entry.holdings[0].base = "other".into()),
        case("other weights", needed, |entry| entry.holdings[0].version += 1),
        case("no base model", needed, |entry| entry.holdings.clear()),
        case("adapters and slots", needed, |entry| {
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
