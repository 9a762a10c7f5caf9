//! Addresses of the other nodes.

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, ops::Bound, rc::Rc, time::Duration,
};

use slog::debug;
use tamarackdock_platform::host::Host;
use tamarackdock_types::HostName;

use crate::{context::Context, telemetry::log};

const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The known nodes, shared by the tasks of a thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers(Rc<RefCell<BTreeMap<HostName, Host>>>);

impl Peers {
    /// Returns the peer port of a node.
    pub(crate) fn address(&self, host: &HostName) -> Option<SocketAddr> {
        Some(self.0.borrow().get(host)?.address)
    }

    /// Returns the peer port of the node after `host` in the ring of names.
    pub(crate) fn next_after(&self, host: &HostName) -> Option<SocketAddr> {
        let peers = self.0.borrow();
        let after = peers.range((Bound::Excluded(host), Bound::Unbounded));
        let (name, next) = after.chain(peers.iter()).next()?;
        (name != host).then_some(next.address)
    }

    /// Returns the peer ports of all nodes but `host`.
    pub(crate) fn others(&self, host: &HostName) -> Vec<SocketAddr> {
        let peers = self.0.borrow();
        peers.values().filter(|peer| peer.name != *host).map(|peer| peer.address).collect()
    }

    fn replace(&self, hosts: Vec<Host>) {
        let hosts = hosts.into_iter().map(|host| (host.name.clone(), host));
        *self.0.borrow_mut() = hosts.collect();
    }
}

/// Polls the platform's host list.
pub(crate) async fn run(context: Context) {
    let log = log::part(&context.log, "peers");
    loop {
        match context.platform.hosts.list().await {
            Ok(hosts) => context.peers.replace(hosts),
            Err(error) => debug!(log, "poll failed"; "error" => %error),
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
