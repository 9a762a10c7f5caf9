use std::{
    io,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use futures_util::{
    future::{Either, select},
    pin_mut,
};
use monoio::net::TcpListener;

use super::{Handler, Options, connection::Connection};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A listener whose connections are served by tasks of the current thread.
#[derive(Debug, Clone)]
pub struct Listener {
    address: SocketAddr,
    open: Rc<()>,
}

impl Listener {
    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        // One reference is the listener's own; the accepting task holds a weak one.
        Rc::strong_count(&self.open) - 1
    }

    /// Waits until all connections are closed. The stop flag must be set before,
    /// since new connections are accepted until then.
    pub async fn wait_until_drained(&self) {
        while self.open_connections() > 0 {
            monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Binds a listener and serves its connections until the options' stop flag is set.
///
/// # Errors
///
/// Returns the error of the socket if the address can't be bound.
pub fn listen(
    address: SocketAddr,
    handler: Rc<dyn Handler>,
    options: Options,
) -> io::Result<Listener> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let open = Rc::new(());
    monoio::spawn(accept(listener, handler, options, Rc::downgrade(&open)));
    Ok(Listener { address, open })
}

async fn accept(listener: TcpListener, handler: Rc<dyn Handler>, options: Options, open: Weak<()>) {
    loop {
        let accepted = listener.accept();
        let stopped = options.stop.wait();
        pin_mut!(accepted, stopped);
        match select(accepted, stopped).await {
            Either::Left((Ok((stream, peer)), _)) => {
                let connection = Connection::new(stream, peer, handler.clone(), options.clone());
                let open = open.upgrade();
                monoio::spawn(async move {
                    connection.serve().await;
                    drop(open);
                });
            }
            // Running out of file descriptors is temporary, so accepting is retried.
            Either::Left((Err(_), _)) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right(_) => return,
        }
    }
}
