//! Counts of what is under way.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Counts one more for as long as it lives, however its holder ends.
#[derive(Debug)]
pub struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    /// Counts one more.
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
