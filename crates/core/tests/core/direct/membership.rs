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
