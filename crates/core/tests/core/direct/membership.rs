//! The list of targets during outages of the store.

use super::support::{DESK, ms, target};
use plantain_core::direct::membership::{LAPSE_GRACE, ListChange, TargetEntry, TargetList};
use std::sync::Arc;

fn entries(ids: &[(&str, u16)]) -> Vec<Arc<TargetEntry>> {
    ids.iter().map(|(id, port)| Arc::new(target(id, DESK, "a", *port))).collect()
}

fn ids(list: &TargetList) -> Vec<String> {
    let mut ids: Vec<String> =
        list.entries().map(|entry| entry.incarnation.id.to_string()).collect();
    ids.sort();
    ids
}

/// The store is out for some seconds, all entries lapse meanwhile, and the first list after it is empty although
/// every target serves: all calls would be refused. The entries must be kept until targets have had time to
/// register again.
#[test]
fn entries_that_lapsed_in_an_outage_are_kept() {
    let mut list = TargetList::default();
    list.replace(entries(&[("d1", 1), ("d2", 2)]), ms(0));
    list.note_outage();
    list.note_contact(ms(5_000));
    list.replace(Vec::new(), ms(5_010));
    assert_eq!(ids(&list), ["d1", "d2"]);
    list.apply(&ListChange::Put(Arc::new(target("d1", DESK, "a", 1))), ms(6_000));
    list.expire(ms(5_000) + LAPSE_GRACE);
    assert_eq!(ids(&list), ["d1"], "missing entries are dropped after the grace period");
}

/// A target that was draining before the outage has exited when its entry is gone: keeping the entry would send
/// calls to it.
#[test]
fn a_draining_target_is_not_kept() {
    let mut list = TargetList::default();
    let draining = TargetEntry { is_draining: true, ..target("d1", DESK, "a", 1) };
    list.replace(vec![Arc::new(draining)], ms(0));
    list.note_outage();
    list.note_contact(ms(4_000));
    list.replace(Vec::new(), ms(4_010));
    assert!(list.is_empty());
}

/// Without an outage, some targets end by the removal of their entry alone; they must get no new calls.
#[test]
fn a_removed_entry_is_dropped_at_once_without_an_outage() {
    let mut list = TargetList::default();
    list.replace(entries(&[("d1", 1), ("d2", 2)]), ms(0));
    list.apply(&ListChange::Removed("d1".into()), ms(100));
    assert_eq!(ids(&list), ["d2"]);
}

/// What a router knew of a target before the store returned from a copy.
struct ReturnCase {
    name: &'static str,
    before: fn(&mut TargetList),
    /// The copy's list.
    copy: Vec<Arc<TargetEntry>>,
    /// Changes after the copy's list was read.
    after: Vec<ListChange>,
    /// The target and whether it is draining, if it is in use.
    expected: Option<bool>,
}

/// Guards against calls to a draining target because the copy shows it as before, and against a target that stays
/// draining although the restored list says otherwise for good.
#[test]
fn a_draining_target_stays_so_after_a_return() {
    let put = |is_draining| {
        ListChange::Put(Arc::new(TargetEntry { is_draining, ..target("d1", DESK, "a", 1) }))
    };
    let ready = || entries(&[("d1", 1)]);
    let drain = |list: &mut TargetList| {
        let draining = TargetEntry { is_draining: true, ..target("d1", DESK, "a", 1) };
        list.replace(vec![Arc::new(draining)], ms(0));
    };
    let drain_and_remove = |list: &mut TargetList| {
        let draining = TargetEntry { is_draining: true, ..target("d1", DESK, "a", 1) };
        list.replace(vec![Arc::new(draining)], ms(0));
        list.apply(&ListChange::Removed("d1".into()), ms(500));
    };
    let case =
        |name, before, copy, after, expected| ReturnCase { name, before, copy, after, expected };
    let removed = || ListChange::Removed("d1".into());
    let cases = [
        case("the copy is older", drain, ready(), vec![], Some(true)),
        case("written again unchanged", drain, ready(), vec![put(false)], Some(true)),
        case("removed before", drain_and_remove, ready(), vec![], Some(true)),
        case("shown draining again", drain, ready(), vec![put(true)], Some(true)),
        case("then taken back", drain, ready(), vec![put(true), put(false)], Some(false)),
        case("removed again", drain, ready(), vec![removed()], None),
        case("removed and added", drain, ready(), vec![removed(), put(false)], Some(false)),
        case("missing from the copy", drain, vec![], vec![], None),
        case(
            "never draining",
            |list| list.replace(entries(&[("d1", 1)]), ms(0)),
            ready(),
            vec![],
            Some(false),
        ),
    ];
    for case in cases {
        let mut list = TargetList::default();
        (case.before)(&mut list);
        list.note_return(ms(1_000));
        list.replace(case.copy, ms(1_010));
        for change in &case.after {
            list.apply(change, ms(1_500));
        }
        let is_draining = list.entries().next().map(|entry| entry.is_draining);
        assert_eq!(is_draining, case.expected, "{}", case.name);
    }
}

/// Guards against targets that get no calls because the copy was made before they registered.
#[test]
fn entries_missing_from_the_copy_are_kept_for_the_grace_period() {
    let mut list = TargetList::default();
    list.replace(entries(&[("d1", 1), ("d2", 2)]), ms(0));
    list.note_return(ms(1_000));
    list.replace(entries(&[("d2", 2)]), ms(1_010));
    assert_eq!(ids(&list), ["d1", "d2"]);
    list.expire(ms(1_000) + LAPSE_GRACE);
    assert_eq!(ids(&list), ["d2"]);
}

/// Guards against a target that gets no calls because an entry of the lost history at its address has a higher
/// generation.
#[test]
fn an_entry_of_the_lost_history_supersedes_none() {
    let mut list = TargetList::default();
    let entry = |id, generation| Arc::new(TargetEntry { generation, ..target(id, DESK, "a", 1) });
    list.replace(vec![entry("lost", 90)], ms(0));
    list.note_return(ms(1_000));
    list.replace(vec![entry("new", 40)], ms(1_010));
    let highest = list.entries().max_by_key(|entry| entry.generation).expect("an entry");
    assert_eq!(&*highest.incarnation.id, "new");
}
