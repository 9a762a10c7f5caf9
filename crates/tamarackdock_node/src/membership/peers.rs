use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use tamarackdock_membership::{Entry, Membership, Peer};
use tamarackdock_types::{HostName, clock::Instant};

/// The other nodes as this one knows them, shared by the tasks of a thread.
#[derive(Clone, Default)]
pub(crate) struct Peers(Rc<Inner>);

#[derive(Default)]
struct Inner {
    /// `None` until the peer port is bound, since the state names its address.
    members: RefCell<Option<Membership>>,
    revision: Cell<u64>,
}

impl Peers {
    /// Begins with a node that knows only itself.
    pub(crate) fn start(&self, own: Peer, now: Instant) {
        *self.0.members.borrow_mut() = Some(Membership::new(own, now));
    }

    /// Returns the peer port of a node.
    pub(crate) fn address(&self, host: &HostName) -> Option<SocketAddr> {
        let found = |members: &mut Membership| {
            let mut entries = members.entries();
            entries.find(|entry| entry.status.host == *host).map(|entry| entry.address)
        };
        self.with(found).flatten()
    }

    /// Returns the members that are not declared dead, with their data centres.
    /// `status.leaving` tells which of them the platform or they themselves
    /// have announced to leave.
    pub(crate) fn live(&self) -> Vec<Entry> {
        self.with(|members| members.live().cloned().collect()).unwrap_or_default()
    }

    /// Returns the peer ports of all live nodes.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.live().into_iter().map(|entry| entry.address).collect()
    }

    /// Returns the peer port of the live node after `host` in the ring of names.
    pub(crate) fn next_after(&self, host: &HostName) -> Option<SocketAddr> {
        let mut live = self.live();
        live.sort_by(|left, right| left.status.host.cmp(&right.status.host));
        let after = live.iter().find(|entry| entry.status.host > *host);
        let next = after.or(live.first()).filter(|entry| entry.status.host != *host)?;
        Some(next.address)
    }

    /// Returns all members, those declared dead included.
    pub(crate) fn all(&self) -> Vec<Entry> {
        self.with(|members| members.entries().cloned().collect()).unwrap_or_default()
    }

    /// Returns a number that changes with the members or their health.
    pub(crate) fn revision(&self) -> u64 {
        self.0.revision.get()
    }

    pub(super) fn changed(&self) {
        self.0.revision.set(self.0.revision.get() + 1);
    }

    /// Acts on the state, or returns `None` before the start.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut Membership) -> T) -> Option<T> {
        self.0.members.borrow_mut().as_mut().map(act)
    }
}
