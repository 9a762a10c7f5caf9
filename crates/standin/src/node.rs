//! A node on a thread of its own, for demos and tests in one process.

use std::{
    io,
    sync::{Arc, mpsc},
    time::Duration,
};

use tamarackdock_config::Settings;
use tamarackdock_node::{self as node, Addresses, log};

use crate::thread::{Switches, Thread};

const POLL: Duration = Duration::from_millis(10);

/// A running node. Dropping it ends the node without a shutdown, as a kill does.
#[derive(Debug)]
pub struct Node {
    addresses: Addresses,
    thread: Thread,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or a port can't be had.
    pub fn spawn(settings: Settings) -> io::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let name = settings.host.to_string();
        let thread = Thread::run(&name, move |switches| run(settings, sender, switches))?;
        let addresses = receiver.recv().map_err(|_| io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { addresses, thread })
    }

    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Begins a graceful shutdown.
    pub fn shut_down(&self) {
        self.thread.switches().set_down(true);
    }

    /// Returns whether the node has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Ends the node at once, with all of its connections.
    pub fn kill(&mut self) {
        self.thread.stop();
    }
}

async fn run(settings: Settings, bound: mpsc::Sender<Addresses>, switches: Arc<Switches>) {
    let log = log::root(settings.log);
    let Ok(running) = node::Node::new(settings, log).start() else {
        return;
    };
    let _ = bound.send(running.addresses());
    while !switches.is_stopped() && !switches.is_down() {
        monoio::time::sleep(POLL).await;
    }
    if switches.is_down() {
        running.shut_down().await;
    }
}
