use std::{io, net::SocketAddr, rc::Rc};

use futures_util::{
    future::{Either, select},
    pin_mut,
};
use monoio::net::TcpListener;

use super::{Handler, Options, connection::Connection};

/// Binds a listener and serves its connections in tasks of the current
/// thread until the options' stop flag is raised. Returns the bound address.
///
/// # Errors
///
/// Returns the error of the socket if the address can't be bound.
pub fn listen(
    address: SocketAddr,
    handler: Rc<dyn Handler>,
    options: Options,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    monoio::spawn(accept(listener, handler, options));
    Ok(bound)
}

async fn accept(listener: TcpListener, handler: Rc<dyn Handler>, options: Options) {
    loop {
        let accepted = listener.accept();
        let stopped = options.stop.wait();
        pin_mut!(accepted, stopped);
        match select(accepted, stopped).await {
            Either::Left((Ok((stream, peer)), _)) => {
                let connection = Connection::new(stream, peer, handler.clone(), options.clone());
                monoio::spawn(connection.serve());
            }
            // Running out of descriptors passes, and the listener must go on then.
            Either::Left((Err(_), _)) => monoio::time::sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => return,
        }
    }
}

const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);
