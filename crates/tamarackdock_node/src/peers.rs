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

    /// Returns the other nodes that are alive.
    pub(crate) fn live(&self) -> Vec<Host> {
        self.0.borrow().values().cloned().collect()
    }

    /// Returns the peer port of the node after `host` in the ring of names.
    pub(crate) fn next_after(&self, host: &HostName) -> Option<SocketAddr> {
        let peers = self.0.borrow();
        let after = peers.range((Bound::Excluded(host), Bound::Unbounded));
        let (name, next) = after.chain(peers.iter()).next()?;
        (name != host).then_some(next.address)
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
            Ok(hosts) => {
                let own = &context.settings.host;
                let others = hosts.into_iter().filter(|host| host.name != *own);
                context.peers.replace(others.collect());
            }
            Err(error) => debug!(log, "poll failed"; "error" => %error),
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
