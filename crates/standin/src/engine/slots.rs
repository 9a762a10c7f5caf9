use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use futures_channel::oneshot;

use super::{Priority, State, lock};

/// Waiting calls in the order in which they get a slot.
#[derive(Debug, Default)]
pub(super) struct Queue {
    next: u64,
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<Slot>>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }
}

/// A place in the queue, which ends when the call gets a slot or its caller leaves.
struct Place {
    state: Arc<Mutex<State>>,
    key: (Priority, u64),
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.state).queue.waiting.remove(&self.key);
    }
}

/// A running call's slot, free again when this is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    state: Arc<Mutex<State>>,
    start: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The lock is released before the send, since a failed send drops a slot again.
        let next = lock(&self.state).release(self.start);
        if let Some(sender) = next {
            let slot = Self { state: self.state.clone(), start: self.start };
            let _ = sender.send(slot);
        }
    }
}

impl State {
    /// Frees a slot, or returns the first waiting call, to which it passes.
    fn release(&mut self, start: u64) -> Option<oneshot::Sender<Slot>> {
        // A restart has emptied the slots already.
        if self.starts != start {
            return None;
        }
        let next = self.queue.waiting.pop_first().map(|(_, sender)| sender);
        self.running -= usize::from(next.is_none());
        self.note_load();
        next
    }
}

/// Waits for a slot, or returns `None` at once when the queue is full.
pub(super) async fn acquire(state: &Arc<Mutex<State>>, priority: Priority) -> Option<Slot> {
    let (sender, receiver) = oneshot::channel();
    let place = {
        let mut inner = lock(state);
        if inner.running < inner.options.capacity {
            inner.running += 1;
            inner.note_load();
            return Some(Slot { state: state.clone(), start: inner.starts });
        }
        if inner.queue.len() >= inner.options.queue {
            return None;
        }
        let key = (priority, inner.queue.next);
        inner.queue.next += 1;
        inner.queue.waiting.insert(key, sender);
        inner.note_load();
        Place { state: state.clone(), key }
    };
    let slot = receiver.await.ok();
    drop(place);
    slot
}
