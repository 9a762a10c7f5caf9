use std::{collections::BTreeSet, net::SocketAddr};

/// Connections that get no more bytes although they stay open.
#[derive(Debug, Default)]
pub(super) struct Silence {
    seen: BTreeSet<SocketAddr>,
    silent: BTreeSet<SocketAddr>,
    all: bool,
}

impl Silence {
    pub(super) fn see(&mut self, peer: SocketAddr) {
        self.seen.insert(peer);
    }

    /// Silences the connections that carried a request so far.
    pub(super) fn silence_existing(&mut self) {
        self.silent.append(&mut self.seen);
    }

    pub(super) fn set_all(&mut self, all: bool) {
        self.all = all;
    }

    pub(super) fn covers(&self, peer: SocketAddr) -> bool {
        self.all || self.silent.contains(&peer)
    }
}
