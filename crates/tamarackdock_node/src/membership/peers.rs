use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use tamarackdock_membership::{Entry, Membership, Peer};
use tamarackdock_types::{HostName, clock::Instant};

/// The members of the cluster as this node knows them, shared by the tasks of a thread.
#[derive(Clone, Default)]
pub(crate) struct Peers(Rc<Inner>);

#[derive(Default)]
struct Inner {
    /// `None` until the peer port is bound, since the state contains its address.
    members: RefCell<Option<Membership>>,
    revision: Cell<u64>,
}

impl Peers {
    /// Sets the initial state, in which this node knows only itself.
    pub(crate) fn start(&self, own: Peer, now: Instant) {
        *self.0.members.borrow_mut() = Some(Membership::new(own, now));
    }

    /// Returns the address of a node's peer port, or `None` if the node is unknown.
    pub(crate) fn address(&self, host: &HostName) -> Option<SocketAddr> {
        let found = |members: &mut Membership| {
            let mut entries = members.entries();
            entries.find(|entry| entry.status.host == *host).map(|entry| entry.address)
        };
        self.with(found).flatten()
    }

    /// Returns the members that are not declared dead, with their data centres.
    /// `status.leaving` is set for members that are about to leave, which they announce
    /// themselves or the platform announces.
    pub(crate) fn live(&self) -> Vec<Entry> {
        self.with(|members| members.live().cloned().collect()).unwrap_or_default()
    }

    /// Returns the addresses of the peer ports of all live nodes.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.live().into_iter().map(|entry| entry.address).collect()
    }

    /// Returns the address of the peer port of the live node that follows `host` in the order
    /// of host names, where the first node follows the last. Returns `None` if there is no
    /// other live node.
    pub(crate) fn next_after(&self, host: &HostName) -> Option<SocketAddr> {
        let mut live = self.live();
        live.sort_by(|left, right| left.status.host.cmp(&right.status.host));
        let after = live.iter().find(|entry| entry.status.host > *host);
        let next = after.or(live.first()).filter(|entry| entry.status.host != *host)?;
        Some(next.address)
    }

    /// Returns all members, including those declared dead.
    pub(crate) fn all(&self) -> Vec<Entry> {
        self.with(|members| members.entries().cloned().collect()).unwrap_or_default()
    }

    /// Returns a number that increases whenever the members or their health change.
    pub(crate) fn revision(&self) -> u64 {
        self.0.revision.get()
    }

    pub(super) fn increment_revision(&self) {
        self.0.revision.set(self.0.revision.get() + 1);
    }

    /// Calls a function with the state. Returns `None` before [`Self::start`].
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut Membership) -> T) -> Option<T> {
        self.0.members.borrow_mut().as_mut().map(act)
    }
}
