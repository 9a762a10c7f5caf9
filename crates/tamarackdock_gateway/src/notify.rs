//! Notification of tasks on the same thread.

use std::{
    cell::RefCell,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
};

#[derive(Debug, Default)]
struct State {
    notifications: u64,
    wakers: Vec<Waker>,
}

/// A counter that tasks can wait on.
#[derive(Debug, Clone, Default)]
pub(crate) struct Notify(Rc<RefCell<State>>);

impl Notify {
    /// Increments the counter and wakes all waiting tasks.
    pub(crate) fn notify_all(&self) {
        let mut state = self.0.borrow_mut();
        state.notifications += 1;
        let wakers = std::mem::take(&mut state.wakers);
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Returns the counter, which is the number of notifications so far.
    pub(crate) fn count(&self) -> u64 {
        self.0.borrow().notifications
    }

    /// Waits until the counter exceeds `seen`.
    pub(crate) async fn changed_since(&self, seen: u64) {
        poll_fn(|context| {
            let mut state = self.0.borrow_mut();
            if state.notifications > seen {
                return Poll::Ready(());
            }
            if !state.wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                state.wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
