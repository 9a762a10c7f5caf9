//! Counters of what is in progress.

use std::{cell::Cell, rc::Rc};

/// A number of things in progress, which tasks on the same thread share.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counter(Rc<Cell<usize>>);

/// Counts one thing as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgress(Counter);

impl Counter {
    /// Counts one more until the returned guard is dropped.
    pub(crate) fn begin(&self) -> InProgress {
        self.0.set(self.0.get() + 1);
        InProgress(self.clone())
    }

    /// Returns how many are in progress.
    pub(crate) fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}
