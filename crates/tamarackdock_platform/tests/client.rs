//! The client against a platform that answers with bytes of the tests.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    thread,
};

use bytes::Bytes;
use monoio::{LegacyDriver, RuntimeBuilder};
use tamarackdock_platform::{Client, Error, object::Store as _, report::Reports as _};
use tamarackdock_wire::{client::Pool, validation::Limits};

const LIMITS: Limits = Limits { head: 512, body: 4096, chunk: 1024 };

/// Starts a platform that answers each connection's request in the same way.
fn start_platform(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4096];
            let read = stream.read(&mut request);
            if read.is_ok() {
                // The client may be gone.
                let _ = stream.write_all(response.as_bytes());
            }
        }
    });
    address
}

fn with_client<T>(response: &'static str, work: impl AsyncFnOnce(&Client) -> T) -> T {
    let address = start_platform(response);
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let client = Client::new(address, Rc::new(Pool::new(LIMITS)));
    runtime.build().expect("a runtime").block_on(work(&client))
}

/// Guards against an object or a report that counts as stored though the platform has no place
/// for it.
#[test]
fn what_is_written_to_an_unknown_path_is_not_stored() {
    let not_found = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let put = with_client(not_found, async |client| client.put("a".into(), Bytes::new()).await);
    let sent = with_client(not_found, async |client| client.send(7, Bytes::new()).await);
    let got = with_client(not_found, async |client| client.get("a".into()).await);
    assert_eq!((put, sent, got), (Err(Error::Malformed), Err(Error::Malformed), Ok(None)));
}
