//! Verdicts on calls and prompt parts, from the targets that ended under them.

use super::{IncarnationHash, QUARANTINE_CRASHES, index::RecordIndex};
use crate::fingerprint::{SuspectId, is_part};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
};

/// Suspects that are held back together: a call is refused if it has all of them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Verdict {
    /// One call, or the prompt parts under which exactly the same targets ended.
    pub suspects: Vec<SuspectId>,
    /// Number of these targets.
    pub crashes: usize,
}

impl Verdict {
    /// Whether a call with these suspects is refused.
    pub fn applies_to(&self, suspects: &[SuspectId]) -> bool {
        self.suspects.iter().all(|suspect| suspects.contains(suspect))
    }
}

/// Verdicts on all suspects with at least [`QUARANTINE_CRASHES`] crashes. Crashes that a verdict with more crashes
/// explains accuse nobody else: a fatal part leaves many innocent suspects with a few crashes, but none with as many
/// as its own. Suspects that have survived before are judged after all others.
pub(super) fn judge(index: &RecordIndex, has_survived: impl Fn(SuspectId) -> bool) -> Vec<Verdict> {
    let mut groups: BTreeMap<SuspectRank, Vec<SuspectId>> = BTreeMap::new();
    for suspect in index.candidates() {
        let targets = index.counted(suspect);
        if is_enough(targets.len()) {
            let rank = SuspectRank {
                has_survived: has_survived(suspect),
                crashes: Reverse(targets.len()),
                targets,
            };
            groups.entry(rank).or_default().push(suspect);
        }
    }
    let groups: Vec<(SuspectRank, Vec<SuspectId>)> = groups.into_iter().collect();
    let mut verdicts = Vec::new();
    let mut explained: HashSet<IncarnationHash> = HashSet::new();
    for equal in groups.chunk_by(|(first, _), (second, _)| first.is_equal(second)) {
        for (rank, suspects) in by_shared_crashes(equal) {
            let unexplained = rank.targets.iter().filter(|target| !explained.contains(target));
            if is_enough(unexplained.count()) {
                verdicts.extend(verdicts_on(suspects, rank.targets.len()));
                explained.extend(&rank.targets);
            }
        }
    }
    verdicts
}

/// Groups of equal rank, those first that share the fewest crashes with the others: a sound part that met the crashes of
/// several fatal ones shares all of its own.
fn by_shared_crashes(
    equal: &[(SuspectRank, Vec<SuspectId>)],
) -> Vec<&(SuspectRank, Vec<SuspectId>)> {
    let mut groups: HashMap<IncarnationHash, usize> = HashMap::new();
    for target in equal.iter().flat_map(|(rank, _)| &rank.targets) {
        *groups.entry(*target).or_default() += 1;
    }
    let mut ordered: Vec<_> = equal.iter().collect();
    ordered.sort_by_cached_key(|(rank, _)| {
        rank.targets.iter().filter(|target| groups[*target] > 1).count()
    });
    ordered
}

/// Order in which suspects are judged; those under which the same targets ended are judged together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SuspectRank {
    has_survived: bool,
    crashes: Reverse<usize>,
    targets: BTreeSet<IncarnationHash>,
}

impl SuspectRank {
    /// Whether none of two suspects is judged before the other for its rank.
    fn is_equal(&self, other: &Self) -> bool {
        (self.has_survived, self.crashes) == (other.has_survived, other.crashes)
    }
}

fn is_enough(crashes: usize) -> bool {
    crashes >= QUARANTINE_CRASHES
}

/// Verdicts on suspects under which the same targets ended. A call that came several times has the same parts each
/// time, so the parts are accused only if no call is.
fn verdicts_on(suspects: &[SuspectId], crashes: usize) -> Vec<Verdict> {
    let (mut parts, calls): (Vec<SuspectId>, Vec<SuspectId>) =
        suspects.iter().partition(|suspect| is_part(**suspect));
    if calls.is_empty() {
        parts.sort_unstable();
        return vec![Verdict { suspects: parts, crashes }];
    }
    calls.into_iter().map(|call| Verdict { suspects: vec![call], crashes }).collect()
}
