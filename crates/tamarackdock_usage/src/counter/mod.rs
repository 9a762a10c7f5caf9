use tamarackdock_types::{AccountName, clock::Instant};

use crate::{Action, Batch, Counts, Input, NodeRun, Settings, UsageTotals, flush::Flush};

/// Counts usage on the node that ran the calls, and keeps the counts until they are in the table.
#[derive(Debug)]
pub struct Counter {
    settings: Settings,
    flush: Flush,
    window: u64,
    /// Counts that are not part of a batch yet.
    open: Counts,
    last_number: u64,
    next_copy: Instant,
    next_flush: Instant,
}

impl Counter {
    /// Creates the counter of a run, in the current window.
    #[must_use]
    pub fn new(node_run: NodeRun, settings: Settings, window: u64, now: Instant) -> Self {
        let random = node_run.run;
        Self {
            settings,
            flush: Flush::new(node_run, window, random),
            window,
            open: Counts::default(),
            last_number: 0,
            next_copy: now + settings.copy,
            next_flush: now + settings.flush,
        }
    }

    /// Sets the current window. A window lower than the current one has no effect.
    pub fn set_window(&mut self, window: u64) {
        self.window = self.window.max(window);
        self.flush.set_window(window);
    }

    /// Counts a call that ended in the current window.
    pub fn count(&mut self, account: AccountName, totals: UsageTotals) {
        self.open.add(self.window, account, totals);
    }

    /// Returns the lowest window that may still receive counts of this node.
    #[must_use]
    pub fn open_window(&self) -> u64 {
        self.flush.window()
    }

    /// Returns the number of batches that are not known to be in the table.
    #[must_use]
    pub fn unflushed(&self) -> usize {
        self.flush.batches().len()
    }

    /// Returns whether all counts are in the table, so that the process can stop.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        self.open.is_empty() && self.flush.batches().is_empty()
    }

    /// Makes the next copy and the next flush due now, for a planned stop.
    pub fn flush_now(&mut self, now: Instant) {
        self.next_copy = now;
        self.next_flush = now;
    }

    /// Handles an input at the time `now`.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut actions: Vec<_> = self.flush.step(input).into_iter().collect();
        if now >= self.next_copy {
            self.next_copy = now + self.settings.copy;
            actions.extend(self.copy());
        }
        if now >= self.next_flush && self.flush.is_idle() {
            self.next_flush = now + self.settings.flush;
            actions.extend((!self.flush.batches().is_empty()).then(|| self.flush.start()));
        }
        actions
            .push(Action::Wake(self.next_copy.min(self.next_flush.max(now + self.settings.copy))));
        actions
    }

    /// Closes the open batch and returns all unflushed batches, so that the peer's copy has no
    /// gap if an earlier message was lost.
    fn copy(&mut self) -> Option<Action> {
        if !self.open.is_empty() {
            self.last_number += 1;
            self.flush
                .push(Batch { number: self.last_number, counts: std::mem::take(&mut self.open) });
        }
        let batches = self.flush.batches().to_vec();
        let origin = self.flush.node_run().clone();
        (!batches.is_empty()).then_some(Action::Copy { origin, batches })
    }
}
