//! Limits how much of one kind of work is in progress.

use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    call::timeout_at,
    counter::{Counter, InProgress},
    notify::Notify,
};

/// A gate that lets a number of tasks through at the same time. The others wait.
#[derive(Debug)]
pub(crate) struct Gate {
    most: usize,
    inside: Counter,
    left: Notify,
}

/// A task's passage through a gate, until it is dropped.
#[derive(Debug)]
pub(crate) struct Passage<'a> {
    gate: &'a Gate,
    inside: Option<InProgress>,
}

impl Gate {
    pub(crate) fn new(most: usize) -> Self {
        Self { most, inside: Counter::default(), left: Notify::default() }
    }

    /// Waits until there is room, or returns `None` at a deadline.
    pub(crate) async fn enter(&self, until: Instant) -> Option<Passage<'_>> {
        while self.inside.count() >= self.most {
            let seen = self.left.count();
            timeout_at(until, self.left.changed_since(seen)).await;
            if BootClock.now() >= until {
                return None;
            }
        }
        Some(Passage { gate: self, inside: Some(self.inside.begin()) })
    }
}

impl Drop for Passage<'_> {
    fn drop(&mut self) {
        self.inside = None;
        self.gate.left.notify_all();
    }
}
