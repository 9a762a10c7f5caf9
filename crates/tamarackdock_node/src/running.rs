use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::future::join;
use serde::{Deserialize, Serialize};
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{info, warn};
use tamarackdock_wire::{flag::Flag, server::Listener};

use crate::{context::Context, membership, step::Service, telemetry::log, usage};

const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The bound addresses of a node, printed as one JSON line at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Address of the caller port, for apps and trainers.
    pub callers: SocketAddr,
    /// Address of the operator port.
    pub operators: SocketAddr,
    /// Address of the peer port, for other nodes.
    pub peers: SocketAddr,
}

/// The listening ports of a node.
pub(crate) struct Listeners {
    pub(crate) callers: Listener,
    pub(crate) operators: Listener,
    pub(crate) peers: Listener,
}

/// A started node.
pub struct Running {
    listeners: Listeners,
    context: Context,
    steps: Rc<Service>,
    members: Rc<membership::Service>,
    stop: Flag,
}

impl Running {
    pub(crate) fn new(
        listeners: Listeners,
        context: Context,
        steps: Rc<Service>,
        members: Rc<membership::Service>,
        stop: Flag,
    ) -> Self {
        Self { listeners, context, steps, members, stop }
    }

    /// Returns the addresses of the node's ports.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        Addresses {
            callers: self.listeners.callers.address(),
            operators: self.listeners.operators.address(),
            peers: self.listeners.peers.address(),
        }
    }

    /// Serves until SIGTERM or SIGINT arrives, then shuts down gracefully.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no signal handler can be installed.
    pub async fn serve(self) -> io::Result<()> {
        let signalled = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, signalled.clone())?;
        signal_hook::flag::register(SIGINT, signalled.clone())?;
        while !signalled.load(Ordering::Relaxed) {
            monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
        }
        self.shut_down().await;
        Ok(())
    }

    /// Fails the health check, waits until the load balancer has noticed it, releases
    /// the leases, closes the ports, and finishes the calls in progress within the drain
    /// timeout.
    pub async fn shut_down(&self) {
        let log = log::part(&self.context.log, "node");
        let settings = &self.context.settings;
        info!(log, "leaving"; "open_connections" => self.listeners.callers.open_connections());
        self.context.leaving.set();
        let grace = monoio::time::sleep(settings.balancer_grace_ms);
        join(self.members.announce_leave(), grace).await;
        self.context.data_centres.release();
        self.steps.release_leases().await;
        self.stop.set();
        let drained = self.listeners.callers.wait_until_drained();
        let drained = monoio::time::timeout(settings.drain_timeout_ms, drained).await;
        usage::shut_down(&self.context).await;
        self.context.data_centres.wait_until_released().await;
        match drained {
            Ok(()) => info!(log, "stopped"),
            Err(_) => {
                warn!(log, "stopped with open calls";
                    "open" => self.listeners.callers.open_connections());
            }
        }
    }
}
