//! The list of targets through outages of its keeper.

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

/// Callers see every call refused: the keeper of the list is out for some seconds, all entries lapse
/// meanwhile, and the first list after it is empty although every target serves. The entries are held
/// until targets have had time to come back.
#[test]
fn entries_that_lapsed_in_an_outage_are_held() {
    let mut list = TargetList::default();
    list.replace(entries(&[("d1", 1), ("d2", 2)]), ms(0));
    list.note_outage();
    list.note_contact(ms(5_000));
    list.replace(Vec::new(), ms(5_010));
    assert_eq!(ids(&list), ["d1", "d2"]);
    list.apply(&ListChange::Put(Arc::new(target("d1", DESK, "a", 1))), ms(6_000));
    list.expire(ms(5_000) + LAPSE_GRACE);
    assert_eq!(ids(&list), ["d1"], "what is missing after the hold is gone");
}

/// A target that was leaving before the outage is gone when its entry is: holding it would send work
/// to a target that has exited.
#[test]
fn a_draining_target_is_not_held() {
    let mut list = TargetList::default();
    let leaving = TargetEntry { is_draining: true, ..target("d1", DESK, "a", 1) };
    list.replace(vec![Arc::new(leaving)], ms(0));
    list.note_outage();
    list.note_contact(ms(4_000));
    list.replace(Vec::new(), ms(4_010));
    assert!(list.is_empty());
}

/// Without an outage, some targets leave by their entry's removal alone; they must get no new work.
#[test]
fn a_removed_entry_goes_at_once_in_calm() {
    let mut list = TargetList::default();
    list.replace(entries(&[("d1", 1), ("d2", 2)]), ms(0));
    list.apply(&ListChange::Removed("d1".into()), ms(100));
    assert_eq!(ids(&list), ["d2"]);
}
