//! A TCP proxy with faults that can be changed while it runs.

mod connection;
mod counts;
mod faults;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
};

use monoio::net::TcpListener;

pub use counts::Counts;
pub use faults::Faults;

use crate::thread::{Control, Thread};
use connection::Connection;

/// A running proxy, which stops when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    address: SocketAddr,
    thread: Thread,
}

/// State that the proxy's thread and its handle share.
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
        let thread_shared = shared.clone();
        let (sender, receiver) = mpsc::channel();
        let thread = Thread::run("proxy", move |control| accept(thread_shared, control, sender))?;
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

    /// Sets the target of new connections, as a load balancer does. Open connections keep
    /// theirs.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target() = target;
    }

    /// Locks the faults, which can be changed. Open connections are affected too.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.shared.faults()
    }

    /// Returns a copy of the counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        *self.shared.counts()
    }

    /// Stops the proxy and closes its connections.
    pub fn stop(&mut self) {
        self.thread.stop();
    }
}

/// Sends the bound address and accepts connections until the thread must stop.
async fn accept(
    shared: Arc<Shared>,
    control: Arc<Control>,
    address_sender: mpsc::Sender<io::Result<SocketAddr>>,
) {
    let listener = match TcpListener::bind((Ipv4Addr::LOCALHOST, 0)) {
        Ok(listener) => listener,
        Err(error) => return drop(address_sender.send(Err(error))),
    };
    let _ = address_sender.send(listener.local_addr());
    let listener = Rc::new(listener);
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = Connection::new(shared.clone());
            monoio::spawn(connection.run(stream));
        }
    });
    control.wait_until_stopped().await;
}
