use std::{cell::RefCell, rc::Rc, time::Duration};

use futures_channel::mpsc;
use tamarackdock_lease::{Deadline, Held, Input, Lease, Operations, Terms};
use tamarackdock_platform::table::Condition;
use tamarackdock_types::{
    clock::{BootClock, Clock},
    fence::Epoch,
};

use super::task::Task;
use crate::context::Context;

const TERMS: Terms = Terms {
    duration: Duration::from_secs(3),
    margin: Duration::from_millis(250),
    poll: Duration::from_millis(500),
    send_window: Duration::from_millis(500),
    delivery: Duration::from_secs(2),
};

/// A change of the role that a lease stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// The node holds the lease.
    Acquired(Epoch),
    /// The node no longer holds the lease.
    Lost,
}

/// A lease that the node may hold.
#[derive(Clone)]
pub(crate) struct Handle {
    lease: Rc<RefCell<Lease>>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Starts the task of a lease and returns its handle and its events.
    pub(crate) fn spawn(context: &Context, name: &str) -> (Self, mpsc::UnboundedReceiver<Event>) {
        let started = BootClock.now().as_millis();
        let random = started ^ (u64::from(std::process::id()) << 32);
        let host = context.settings.host.clone();
        let operations = Operations::new(&format!("{host}-{name}"), random);
        let lease = Rc::new(RefCell::new(Lease::new(name, host, TERMS, operations)));
        let (inputs, receiver) = mpsc::unbounded();
        let (events, changes) = mpsc::unbounded();
        let table = context.platform.table.clone();
        let task = Task::new(lease.clone(), table, inputs.clone(), events);
        monoio::spawn(task.run(receiver));
        (Self { lease, inputs }, changes)
    }

    /// Becomes a candidate.
    pub(crate) fn want(&self) {
        let _ = self.inputs.unbounded_send(Input::Want);
    }

    /// Gives the lease up, so that another node can take it at once.
    pub(crate) fn release(&self) {
        let _ = self.inputs.unbounded_send(Input::Release);
    }

    /// Returns the epoch if the lease is valid at this moment. To be asked
    /// directly before each send.
    pub(crate) fn permit(&self) -> Option<Epoch> {
        self.lease.borrow().held()?.permit(BootClock.now())
    }

    /// Returns the condition that fails once another process holds the lease.
    pub(crate) fn fence(&self) -> Option<Condition> {
        Some(self.lease.borrow().held()?.fence())
    }

    /// Returns the send deadline of an order whose record, under
    /// [`Self::fence`], is about to be sent.
    pub(crate) fn record(&self) -> Option<Deadline> {
        self.lease.borrow_mut().held_mut()?.record(BootClock.now())
    }

    /// Returns the epoch if a recorded order may be sent at this moment to a
    /// receiver that ignores epochs.
    pub(crate) fn permit_recorded(&self, deadline: Deadline) -> Option<Epoch> {
        self.lease.borrow().held()?.permit_recorded(BootClock.now(), deadline)
    }

    /// Runs a state machine that records orders, with the lease if it is held.
    pub(crate) fn with_held<T>(&self, act: impl FnOnce(Option<&mut Held>) -> T) -> T {
        act(self.lease.borrow_mut().held_mut())
    }

    /// Whether no order of an earlier epoch can arrive any more.
    pub(crate) fn is_quiet(&self) -> bool {
        self.lease.borrow().held().is_some_and(|held| held.is_quiet(BootClock.now()))
    }

    /// Whether a release has ended.
    pub(crate) fn is_idle(&self) -> bool {
        self.lease.borrow().is_idle()
    }
}
