//! Rendezvous (highest random weight) hashing: every process computes the same order without messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `node` for `key`; the node with the highest weight is the first choice.
pub fn weight(key: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), key)
}

/// Indices of the `count` first choices for `key` among `nodes`, best first.
///
/// Linear in the number of nodes, so callers keep the result until the nodes change.
pub fn first_choices<'a>(
    key: u64,
    nodes: impl Iterator<Item = (usize, &'a str)>,
    count: usize,
) -> Vec<usize> {
    let mut weighted: Vec<(u64, usize)> =
        nodes.map(|(index, node)| (weight(key, node), index)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, index)| index).collect()
}
