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

/// The configuration of this node and its way to and from the other nodes.
pub(crate) struct Service {
    pub(super) context: Context,
    pub(super) log: Logger,
    propagation: RefCell<Propagation>,
    /// Newest head that was read.
    head: RefCell<Head>,
    /// Members that the propagation knows.
    revision: Cell<u64>,
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
            revision: Cell::new(0),
        }
    }

    /// Returns the active version.
    pub(crate) fn active(&self) -> Snapshot {
        self.propagation.borrow().active().clone()
    }

    /// Takes a message of a peer and returns the messages for it.
    pub(crate) fn receive(self: &Rc<Self>, from: &HostName, message: Message) -> Vec<Message> {
        self.update_peers();
        let actions = self.propagation().receive(from, message);
        self.act(actions, Some(from))
    }

    /// Does what is due.
    pub(super) fn tick(self: &Rc<Self>) {
        self.update_peers();
        let actions = self.propagation().tick(BootClock.now(), rand::random());
        self.act(actions, None);
    }

    pub(super) fn propagation(&self) -> RefMut<'_, Propagation> {
        self.propagation.borrow_mut()
    }

    /// Remembers a head that was read, and returns the newest one.
    pub(super) fn newest_head(&self, read: Option<Head>) -> Head {
        let mut newest = self.head.borrow_mut();
        if let Some(head) = read.filter(|head| head.number >= newest.number) {
            *newest = head;
        }
        newest.clone()
    }

    fn update_peers(&self) {
        let revision = self.context.peers.revision();
        if self.revision.replace(revision) != revision {
            let live = self.context.peers.live().into_iter().map(|entry| entry.status.host);
            self.propagation().set_peers(live);
        }
    }

    /// Describes the state.
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
