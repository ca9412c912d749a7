//! Versions of targets' software in answers between routers of this build and of builds without them.

use super::support::{DESK, ENGINES, target};
use plantain_core::direct::{
    membership::{ListChange, TargetEntry},
    sharing::{KindDelta, SharedChange, SharedDelta},
    snapshot::PeerSnapshot,
    software::{decode_answer, encode_answer},
};
use std::sync::Arc;

fn entries() -> Vec<Arc<TargetEntry>> {
    let unknown = TargetEntry { software: None, ..target("e2", ENGINES, "a", 2) };
    let newer = TargetEntry { software: Some("v1.2".into()), ..target("d1", DESK, "b", 3) };
    [target("e1", ENGINES, "a", 1), unknown, newer].map(Arc::new).into()
}

fn delta() -> SharedDelta {
    let mut changes: Vec<_> =
        entries().into_iter().map(ListChange::Put).map(SharedChange::Target).collect();
    changes.insert(1, SharedChange::Target(ListChange::Removed("e9".into())));
    let kind = KindDelta { revision: 7, changes, ..KindDelta::default() };
    SharedDelta { age_ms: 3, regained_ms: None, kinds: vec![KindDelta::default(), kind] }
}

fn without_software(entries: Vec<Arc<TargetEntry>>) -> Vec<Arc<TargetEntry>> {
    let unknown = |entry: Arc<TargetEntry>| TargetEntry { software: None, ..(*entry).clone() };
    entries.into_iter().map(unknown).map(Arc::new).collect()
}

/// Guards against versions that are lost, or move to another target, on their way between routers.
#[test]
fn answers_carry_the_version_of_each_target() {
    let snapshot = PeerSnapshot { targets: Some(entries()), ..PeerSnapshot::default() };
    let bytes = encode_answer(&snapshot).expect("encoded");
    assert_eq!(decode_answer::<PeerSnapshot>(&bytes).expect("decoded"), snapshot);
    let bytes = encode_answer(&delta()).expect("encoded");
    assert_eq!(decode_answer::<SharedDelta>(&bytes).expect("decoded"), delta());
}

/// Guards against routers of builds with and without versions that cannot read each other's lists.
#[test]
fn builds_without_versions_are_understood_and_understand() {
    let snapshot = PeerSnapshot { targets: Some(entries()), ..PeerSnapshot::default() };
    let unknown =
        PeerSnapshot { targets: Some(without_software(entries())), ..PeerSnapshot::default() };
    let old = postcard::to_allocvec(&snapshot).expect("encoded");
    assert_eq!(decode_answer::<PeerSnapshot>(&old).expect("decoded"), unknown);
    let new = encode_answer(&snapshot).expect("encoded");
    assert_eq!(postcard::from_bytes::<PeerSnapshot>(&new).expect("decoded"), unknown);
}
