//! Rendezvous (highest random weight) hashing: every process computes the same order without messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `node` for `key`; the node with the highest weight is the first choice.
pub fn weight(key: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), key)
}

/// Score of a node of relative capacity `capacity`, whose weight for the key is `hash`. The node with the highest score
/// is the first choice, and each node is the first choice of a share of keys in proportion to its capacity. Nodes of equal
/// capacity have the order of their hashes.
///
/// Processes on machines whose logarithms differ in the last bit order two nodes differently only if their scores agree
/// in all but that bit.
pub fn weighted_score(hash: u64, capacity: f64) -> f64 {
    // 52 bits and a half are exact in an `f64`, so that the fraction is neither 0 nor 1.
    let fraction = ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    -capacity / fraction.ln()
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
