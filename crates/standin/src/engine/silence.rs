use std::{collections::BTreeSet, net::SocketAddr};

/// Connections on which nothing more is sent, although they stay open. The
/// address of the peer identifies a connection.
#[derive(Debug, Default)]
pub(super) struct Silence {
    /// Connections on which a request has arrived since the last call of
    /// `silence_existing`.
    with_requests: BTreeSet<SocketAddr>,
    silent: BTreeSet<SocketAddr>,
    /// Whether all connections are silent, also new ones.
    all: bool,
}

impl Silence {
    pub(super) fn record_request(&mut self, peer: SocketAddr) {
        self.with_requests.insert(peer);
    }

    /// Silences the connections on which a request has arrived so far.
    pub(super) fn silence_existing(&mut self) {
        self.silent.append(&mut self.with_requests);
    }

    pub(super) fn set_all(&mut self, all: bool) {
        self.all = all;
    }

    pub(super) fn is_silent(&self, peer: SocketAddr) -> bool {
        self.all || self.silent.contains(&peer)
    }
}
