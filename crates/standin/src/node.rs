//! A node on its own thread, for demos and tests that run in one process.

use std::{
    io,
    sync::{Arc, mpsc},
    time::Duration,
};

use tamarackdock_config::Settings;
use tamarackdock_node::{self as node, Addresses, log};

use crate::thread::{Control, Thread};

/// Interval at which the thread's control flags are read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running node. Dropping it ends the node without a graceful shutdown, as a kill does.
#[derive(Debug)]
pub struct Node {
    addresses: Addresses,
    thread: Thread,
}

impl Node {
    /// Starts a node and waits until its ports are bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started or a port can't be bound.
    pub fn spawn(settings: Settings) -> io::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let name = settings.host.to_string();
        let thread = Thread::run(&name, move |control| run(settings, sender, control))?;
        let addresses = receiver.recv().map_err(|_| io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { addresses, thread })
    }

    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Starts a graceful shutdown and returns without waiting for its end.
    pub fn shut_down(&self) {
        self.thread.control().set_down(true);
    }

    /// Returns whether the node has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Ends the node and closes all its connections without a graceful shutdown.
    pub fn kill(&mut self) {
        self.thread.stop();
    }
}

async fn run(settings: Settings, address_sender: mpsc::Sender<Addresses>, control: Arc<Control>) {
    let log = log::root(settings.log);
    let Ok(running) = node::Node::new(settings, log).start() else {
        return;
    };
    let _ = address_sender.send(running.addresses());
    while !control.is_stopped() && !control.is_down() {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    if control.is_down() {
        running.shut_down().await;
    }
}
