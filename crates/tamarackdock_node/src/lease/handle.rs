use std::{cell::RefCell, rc::Rc, time::Duration};

use futures_channel::mpsc;
use tamarackdock_lease::{Deadline, HeldLease, Input, Lease, OperationIds, Timing};
use tamarackdock_platform::table::Condition;
use tamarackdock_types::{
    clock::{BootClock, Clock},
    fence::Epoch,
};

use super::task::Task;
use crate::context::Context;

const TIMING: Timing = Timing {
    duration: Duration::from_secs(3),
    margin: Duration::from_millis(250),
    poll: Duration::from_millis(500),
    send_window: Duration::from_millis(500),
    delivery: Duration::from_secs(2),
};

/// A change of whether this node holds a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// The node acquired the lease, under this epoch.
    Acquired(Epoch),
    /// The node no longer holds the lease.
    Lost,
}

/// Controls a lease and tells whether this node holds it.
#[derive(Clone)]
pub(crate) struct Handle {
    lease: Rc<RefCell<Lease>>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Starts the task of a lease and returns its handle and its events.
    pub(crate) fn spawn(context: &Context, name: &str) -> (Self, mpsc::UnboundedReceiver<Event>) {
        let started_ms = BootClock.now().as_millis();
        let random = started_ms ^ (u64::from(std::process::id()) << 32);
        let host = context.settings.host.clone();
        let operation_ids = OperationIds::new(&format!("{host}-{name}"), random);
        let lease = Rc::new(RefCell::new(Lease::new(name, host, None, TIMING, operation_ids)));
        let (inputs, receiver) = mpsc::unbounded();
        let (event_sender, events) = mpsc::unbounded();
        let table = context.platform.table.clone();
        let task = Task::new(lease.clone(), table, inputs.clone(), event_sender);
        monoio::spawn(task.run(receiver));
        (Self { lease, inputs }, events)
    }

    /// Makes this node a candidate, which acquires the lease when it is free.
    pub(crate) fn acquire(&self) {
        let _ = self.inputs.unbounded_send(Input::Acquire);
    }

    /// Releases the lease, so that another node can acquire it at once.
    pub(crate) fn release(&self) {
        let _ = self.inputs.unbounded_send(Input::Release);
    }

    /// Returns the epoch if the lease is valid now. Callers must call this directly before
    /// each send.
    pub(crate) fn permit(&self) -> Option<Epoch> {
        self.lease.borrow().held()?.permit(BootClock.now())
    }

    /// Returns the condition for commits that fails once another process holds the lease.
    pub(crate) fn fence(&self) -> Option<Condition> {
        Some(self.lease.borrow().held()?.fence())
    }

    /// Registers that the record of an order is about to be committed under
    /// [`Self::fence`], and returns the deadline for sending the order.
    pub(crate) fn record(&self) -> Option<Deadline> {
        self.lease.borrow_mut().held_mut()?.record(BootClock.now())
    }

    /// Returns the epoch if a recorded order may be sent now to a receiver that ignores
    /// epochs.
    pub(crate) fn permit_recorded(&self, deadline: Deadline) -> Option<Epoch> {
        self.lease.borrow().held()?.permit_recorded(BootClock.now(), deadline)
    }

    /// Calls a function, such as a step of a state machine that records orders, with the
    /// lease, or with `None` if this node doesn't hold it.
    pub(crate) fn with_held<T>(&self, act: impl FnOnce(Option<&mut HeldLease>) -> T) -> T {
        act(self.lease.borrow_mut().held_mut())
    }

    /// Returns whether all orders of earlier epochs have expired, so that none can arrive
    /// any more.
    pub(crate) fn old_orders_expired(&self) -> bool {
        self.lease.borrow().held().is_some_and(|held| held.old_orders_expired(BootClock.now()))
    }

    /// Returns whether the release of the lease is complete.
    pub(crate) fn is_idle(&self) -> bool {
        self.lease.borrow().is_idle()
    }
}
