use std::{cell::Cell, rc::Rc};

/// Bytes of messages that a process holds at once. A message can go on without end on each of many
/// connections, so that a bound on each one alone does not bound the process.
#[derive(Debug, Clone)]
pub struct Budget(Rc<Counts>);

#[derive(Debug)]
struct Counts {
    bytes: usize,
    used: Cell<usize>,
}

/// Bytes of a [`Budget`] that one body uses, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Creates a budget.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Counts { bytes, used: Cell::new(0) }))
    }

    /// Returns a reservation of no bytes yet.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// Uses bytes, or returns `false` if there are not as many left.
    pub(crate) fn take(&self, bytes: usize) -> bool {
        let left = self.0.bytes.saturating_sub(self.0.used.get());
        let fits = bytes == 0 || bytes <= left;
        if fits {
            self.force(bytes);
        }
        fits
    }

    /// Uses bytes that are in memory already, even if there are not as many left.
    pub(crate) fn force(&self, bytes: usize) {
        self.0.used.set(self.0.used.get() + bytes);
    }

    /// Returns bytes that are no longer used.
    pub(crate) fn give(&self, bytes: usize) {
        self.0.used.set(self.0.used.get().saturating_sub(bytes));
    }

    /// Returns the number of bytes of the budget.
    pub(crate) fn size(&self) -> usize {
        self.0.bytes
    }

    /// Returns the number of bytes that are used.
    pub(crate) fn used(&self) -> usize {
        self.0.used.get()
    }

    /// Returns whether at most half of the budget is used.
    pub(crate) fn is_half_free(&self) -> bool {
        self.0.used.get() <= self.0.bytes / 2
    }
}

impl Reservation {
    /// Reserves more bytes, or returns `false` if the budget is used up.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let fits = self.budget.take(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Returns all bytes to the budget.
    pub(crate) fn release(&mut self) {
        self.budget.give(std::mem::take(&mut self.bytes));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.give(self.bytes);
    }
}
