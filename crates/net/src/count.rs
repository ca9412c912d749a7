//! Counts of operations in progress.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Increments a shared count while it exists; dropping it decrements the count, also on cancellation or panic.
#[derive(Debug)]
pub struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    /// Increments `count`.
    pub fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
