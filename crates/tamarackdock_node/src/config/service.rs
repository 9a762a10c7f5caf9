use std::{
    cell::{Cell, RefCell, RefMut},
    rc::Rc,
    time::Duration,
};

use serde_json::{Value, json};
use slog::Logger;
use tamarackdock_config::{
    accept::Head,
    propagate::{Message, POLL_INTERVAL, Propagation},
    version::Snapshot,
};
use tamarackdock_types::{
    HostName,
    clock::{BootClock, Clock},
};

use crate::{context::Context, telemetry::log};

/// Holds the configuration of this node and exchanges it with the store and other nodes.
pub(crate) struct Service {
    pub(super) context: Context,
    pub(super) log: Logger,
    propagation: RefCell<Propagation>,
    /// Newest head that was read from the store.
    head: RefCell<Head>,
    /// Revision of the members that `propagation` was last given.
    members_revision: Cell<u64>,
}

impl Service {
    pub(crate) fn new(context: Context) -> Self {
        let interval = u64::try_from(POLL_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        let phase = Duration::from_millis(rand::random::<u64>() % interval);
        let host = context.settings.host.clone();
        Self {
            log: log::part(&context.log, "config"),
            context,
            propagation: RefCell::new(Propagation::new(host, BootClock.now(), phase)),
            head: RefCell::new(Head::empty()),
            members_revision: Cell::new(0),
        }
    }

    /// Returns the active version with its content.
    pub(crate) fn active(&self) -> Snapshot {
        self.propagation.borrow().active().clone()
    }

    /// Handles a message of a peer and returns the messages to send back.
    pub(crate) fn receive(self: &Rc<Self>, from: &HostName, message: Message) -> Vec<Message> {
        self.update_members();
        let actions = self.propagation().receive(from, message);
        self.perform(actions, Some(from))
    }

    /// Passes changes of the members on and performs the actions that are due.
    pub(super) fn tick(self: &Rc<Self>) {
        self.update_members();
        let actions = self.propagation().tick(BootClock.now(), rand::random());
        self.perform(actions, None);
    }

    pub(super) fn propagation(&self) -> RefMut<'_, Propagation> {
        self.propagation.borrow_mut()
    }

    /// Records a head if one was read, and returns the newest one.
    pub(super) fn newest_head(&self, read: Option<Head>) -> Head {
        let mut newest = self.head.borrow_mut();
        if let Some(head) = read.filter(|head| head.number >= newest.number) {
            *newest = head;
        }
        newest.clone()
    }

    fn update_members(&self) {
        let revision = self.context.peers.revision();
        if self.members_revision.replace(revision) != revision {
            let live = self.context.peers.live().into_iter().map(|entry| entry.status.host);
            self.propagation().set_peers(live);
        }
    }

    /// Returns the state as JSON for `/debug/state`.
    pub(crate) fn dump(&self) -> Value {
        let active = self.active();
        let coverage = self.coverage(active.number());
        json!({
            "version": active.number(),
            "checksum": active.checksum(),
            "head": self.newest_head(None).number,
            "coverage": coverage,
        })
    }
}
