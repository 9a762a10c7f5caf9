use std::collections::BTreeMap;

use tamarackdock_types::clock::Instant;

use crate::{Action, Batch, Input, NodeRun, Settings, flush::Flush};

/// Copies of other nodes' unflushed batches. They are flushed if their node dies.
#[derive(Debug)]
pub struct Copies {
    settings: Settings,
    random: u64,
    kept: BTreeMap<NodeRun, Vec<Batch>>,
    /// The dead run whose batches are being flushed. Only one is flushed at a time.
    flush: Option<Flush>,
    dead: Vec<NodeRun>,
    /// Time of the next attempt.
    next: Instant,
}

impl Copies {
    /// Creates an empty store of copies. The random value keeps the operation ids
    /// distinct from those of other processes.
    #[must_use]
    pub fn new(settings: Settings, random: u64) -> Self {
        let next = Instant::default();
        Self { settings, random, kept: BTreeMap::new(), flush: None, dead: Vec::new(), next }
    }

    /// Replaces the copies of a node's unflushed batches. A message that arrives after a
    /// newer one has no effect.
    pub fn keep(&mut self, origin: NodeRun, batches: Vec<Batch>) {
        let last = |batches: &[Batch]| batches.last().map_or(0, |batch| batch.number);
        let kept = self.kept.entry(origin).or_default();
        if last(kept) < last(&batches) {
            *kept = batches;
        }
    }

    /// Flushes the copies of a run that has ended or seems to have ended. It is harmless if the
    /// run still goes on, since each batch is added to the table only once.
    pub fn on_death(&mut self, origin: &NodeRun) {
        if self.kept.contains_key(origin) && !self.dead.contains(origin) {
            self.dead.push(origin.clone());
        }
    }

    /// Returns the kept copies by run, without those that are being flushed.
    pub fn kept(&self) -> impl Iterator<Item = (&NodeRun, &[Batch])> {
        self.kept.iter().map(|(origin, batches)| (origin, batches.as_slice()))
    }

    /// Returns whether no copies of a dead run are being flushed or wait for it, so that the
    /// process can stop.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.flush.is_none() && self.dead.is_empty()
    }

    /// Handles an input at the time `now`, in the current window.
    pub fn step(&mut self, now: Instant, window: u64, input: Input) -> Vec<Action> {
        let mut actions: Vec<_> =
            self.flush.as_mut().and_then(|flush| flush.step(input)).into_iter().collect();
        if self.flush.as_ref().is_some_and(|flush| flush.batches().is_empty()) {
            self.flush = None;
        }
        if self.flush.is_none() {
            self.flush = self.next_dead(window);
            self.next = now;
        }
        let Some(flush) = &mut self.flush else { return actions };
        if flush.is_idle() && now >= self.next {
            self.next = now + self.settings.retry;
            actions.push(flush.start());
        }
        actions.push(Action::Wake(self.next.max(now + self.settings.copy)));
        actions
    }

    fn next_dead(&mut self, window: u64) -> Option<Flush> {
        let origin = self.dead.pop()?;
        let batches = self.kept.remove(&origin)?;
        // Each flush needs another random value, or its operation ids would repeat.
        self.random = self.random.wrapping_add(1);
        let mut flush = Flush::new(origin, window, self.random);
        for batch in batches {
            flush.push(batch);
        }
        Some(flush)
    }
}
