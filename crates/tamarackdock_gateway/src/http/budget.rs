use std::{cell::Cell, rc::Rc};

/// Bytes of message bodies that a process holds at once. A body can go on without end on each
/// of many connections, so that a bound on each one alone does not bound the process.
#[derive(Debug, Clone)]
pub struct Budget(Rc<Cell<usize>>);

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
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Returns a reservation of no bytes yet.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Reserves more bytes, or returns `false` if the budget is used up.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let free = &self.budget.0;
        let Some(left) = free.get().checked_sub(bytes) else { return false };
        free.set(left);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.set(self.budget.0.get() + self.bytes);
    }
}
