//! Lower bound for loads: those of an offline optimal cache with the same total number of slots.

use super::workload::{Trace, Workload};
use std::collections::{BTreeSet, HashMap};

/// Counts the loads after the warm-up in a simulation where all slots form one cache and each
/// eviction removes the adapter whose next use is furthest away (Belady's algorithm).
pub fn loads(trace: &Trace, workload: &Workload) -> u64 {
    let requests = &trace.requests;
    let mut next_use = vec![usize::MAX; requests.len()];
    let mut seen: HashMap<usize, usize> = HashMap::new();
    for (index, request) in requests.iter().enumerate().rev() {
        next_use[index] = seen.insert(request.adapter, index).unwrap_or(usize::MAX);
    }
    let capacity = workload.targets * workload.slots;
    let mut resident: HashMap<usize, usize> = HashMap::new();
    let mut by_next: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut loads = 0;
    for (index, request) in requests.iter().enumerate() {
        if let Some(next) = resident.remove(&request.adapter) {
            by_next.remove(&(next, request.adapter));
        } else {
            loads += u64::from(request.at >= workload.warm_up);
            if resident.len() >= capacity
                && let Some((_, victim)) = by_next.pop_last()
            {
                resident.remove(&victim);
            }
        }
        resident.insert(request.adapter, next_use[index]);
        by_next.insert((next_use[index], request.adapter));
    }
    loads
}
