//! Counted calls and injected faults.

use rand::Rng;
use tamarackdock_types::AccountName;
use tamarackdock_usage::UsageTotals;

use super::{COUNTS_END, Event, FAULTS_END, NODES, WINDOW, World, node};

impl World {
    pub(super) fn count(&mut self) {
        if self.time > COUNTS_END {
            return;
        }
        let window = self.time / WINDOW;
        let account = ["a", "b"][self.random.random_range(0..2)];
        let account = AccountName::new(account).unwrap();
        let node = &mut self.nodes[self.random.random_range(0..NODES)];
        if node.paused_until <= self.time {
            let totals = UsageTotals { calls: 1, tokens: 7 };
            node.counter.set_window(window);
            node.counter.count(account.clone(), totals);
            node.counted += 1;
            *self.counted.entry((window, account)).or_default() += totals;
        }
        let delay = self.random.random_range(0..200);
        self.push(delay, Event::Count);
    }

    pub(super) fn fault(&mut self) {
        if self.time > FAULTS_END {
            return;
        }
        let index = self.random.random_range(0..NODES);
        let until = self.time + self.random.random_range(10..4_000);
        match self.random.random_range(0..6) {
            0 => self.nodes[index].paused_until = until,
            1 => self.store.down_until = until,
            2 => self.add_reporter(),
            3 | 4 if self.flushes_no_copies(index) => self.kill(index),
            _ => self.announce_death(index),
        }
        let delay = self.random.random_range(100..1_500);
        self.push(delay, Event::Fault);
    }

    /// Returns whether this node is flushing no copies of a dead run and will not be told to.
    fn flushes_no_copies(&self, index: usize) -> bool {
        let announced = |event| matches!(event, &Event::Dead { to, .. } if to == index);
        self.nodes[index].copies.is_idle() && !self.queue.values().any(announced)
    }

    /// Announces to the peer that a node died, whether or not it did.
    fn announce_death(&mut self, index: usize) {
        let origin = self.nodes[index].origin.clone();
        let delay = self.random.random_range(10..1_000);
        self.push(delay, Event::Dead { to: (index + 1) % NODES, origin });
    }

    /// Replaces a node by a new run. The counts of which the peer has no copy may be lost, and so
    /// are the copies that this node kept for the node before it.
    fn kill(&mut self, index: usize) {
        self.kills += 1;
        self.announce_death(index);
        let dead = &self.nodes[index];
        if !dead.counter.is_flushed() {
            self.losable += dead.counted - dead.covered;
        }
        let run = dead.origin.run + 1;
        self.nodes[(index + NODES - 1) % NODES].covered = 0;
        self.nodes[index] = node(index, run, self.time);
        self.start(index);
    }
}
