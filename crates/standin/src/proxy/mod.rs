//! A TCP proxy between two ends with faults that are switched while it runs.

mod counts;
mod faults;
mod link;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
};

use monoio::net::TcpListener;

pub use counts::Counts;
pub use faults::Faults;

use crate::thread::{Switches, Thread};
use link::Link;

/// A running proxy, which stops when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    address: SocketAddr,
    thread: Thread,
}

#[derive(Debug)]
pub(crate) struct Shared {
    target: Mutex<SocketAddr>,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
}

impl Shared {
    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn target(&self) -> MutexGuard<'_, SocketAddr> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Proxy {
    /// Starts a proxy to a target on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or thread that can't be made.
    pub fn spawn(target: SocketAddr) -> io::Result<Self> {
        let faults = Mutex::new(Faults::default());
        let counts = Mutex::new(Counts::default());
        let target = Mutex::new(target);
        let shared = Arc::new(Shared { target, faults, counts });
        let theirs = shared.clone();
        let (sender, receiver) = mpsc::channel();
        let thread = Thread::run("proxy", move |switches| accept(theirs, switches, sender))?;
        let address = receiver.recv().map_err(|_| io::ErrorKind::AddrNotAvailable)??;
        Ok(Self { shared, address, thread })
    }

    /// Returns the address at which the proxy accepts connections.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the target of new connections.
    #[must_use]
    pub fn target(&self) -> SocketAddr {
        *self.shared.target()
    }

    /// Passes new connections to another target, as a load balancer does. Open ones stay.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target() = target;
    }

    /// Returns the faults, which act on open connections too.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.shared.faults()
    }

    /// Returns a copy of the counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        *self.shared.counts()
    }

    /// Stops the proxy and breaks its connections.
    pub fn stop(&mut self) {
        self.thread.stop();
    }
}

async fn accept(
    shared: Arc<Shared>,
    switches: Arc<Switches>,
    bound: mpsc::Sender<io::Result<SocketAddr>>,
) {
    let listener = match TcpListener::bind((Ipv4Addr::LOCALHOST, 0)) {
        Ok(listener) => listener,
        Err(error) => return drop(bound.send(Err(error))),
    };
    let _ = bound.send(listener.local_addr());
    let listener = Rc::new(listener);
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let link = Link::new(shared.clone());
            monoio::spawn(link.run(stream));
        }
    });
    switches.stopped().await;
}
