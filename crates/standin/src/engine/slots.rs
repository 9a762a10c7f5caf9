use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use futures_channel::oneshot;

use super::{Priority, State, lock};

/// Waiting calls in the order in which they get a slot.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Sequence number of the next call that waits.
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

/// Removes a call's entry from the queue when it is dropped, because the call got a slot or
/// its caller disconnected.
struct QueueGuard {
    state: Arc<Mutex<State>>,
    key: (Priority, u64),
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        lock(&self.state).queue.waiting.remove(&self.key);
    }
}

/// Slot of a running call, which is released when this is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    state: Arc<Mutex<State>>,
    /// Number of the engine's start in which the slot was acquired.
    start: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The lock is released before the send, since a failed send drops the slot, which
        // takes the lock again.
        let next = lock(&self.state).release(self.start);
        if let Some(sender) = next {
            let slot = Self { state: self.state.clone(), start: self.start };
            let _ = sender.send(slot);
        }
    }
}

impl State {
    /// Passes a slot to the first waiting call and returns that call's sender, or frees the
    /// slot if no call waits.
    fn release(&mut self, start: u64) -> Option<oneshot::Sender<Slot>> {
        // A restart has already freed all slots.
        if self.starts != start {
            return None;
        }
        let next = self.queue.waiting.pop_first().map(|(_, sender)| sender);
        self.running -= usize::from(next.is_none());
        self.record_load();
        next
    }
}

/// Waits for a slot, or returns `None` at once when the queue is full.
pub(super) async fn acquire(state: &Arc<Mutex<State>>, priority: Priority) -> Option<Slot> {
    let (sender, receiver) = oneshot::channel();
    let guard = {
        let mut inner = lock(state);
        if inner.running < inner.options.capacity {
            inner.running += 1;
            inner.record_load();
            return Some(Slot { state: state.clone(), start: inner.starts });
        }
        if inner.queue.len() >= inner.options.max_queued {
            return None;
        }
        let key = (priority, inner.queue.next);
        inner.queue.next += 1;
        inner.queue.waiting.insert(key, sender);
        inner.record_load();
        QueueGuard { state: state.clone(), key }
    };
    let slot = receiver.await.ok();
    drop(guard);
    slot
}
