//! Answers that go on without end, to calls of the store, the platform's API and other nodes, which
//! all are read by [`send_message`].

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use monoio::{LegacyDriver, RuntimeBuilder, time::timeout};

use crate::{
    http::{Connection, ExchangeError, Headers, send_message},
    wire_format::OutgoingRequest,
};

/// Largest body that the caller accepts.
const LIMIT: usize = 64 * 1024;
/// Time in which an answer without end is broken off. It bounds a test that hangs.
const BOUND: Duration = Duration::from_secs(20);
/// Begins of answers, and what is repeated behind each of them.
const ENDLESS: [(&str, &str); 11] = [
    ("", "a"),
    ("", "\r\n"),
    ("HTTP/1.1 200 ", "a"),
    ("HTTP/1.1 200 OK\r\nX: ", "a"),
    ("HTTP/1.1 200 OK\r\n", "A: b\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "a"),
    ("HTTP/1.1 200 OK\r\n\r\n", "a"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
];

/// Serves a connection with an answer that goes on until the other side closes it.
fn flood(begin: &'static str, text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1024]);
        let block = text.repeat(LIMIT / text.len());
        let mut sent = stream.write_all(begin.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(block.as_bytes());
        }
    });
    address
}

/// Guards against a caller that keeps such an answer, or waits for its end.
#[test]
fn answers_without_end_are_broken_off() {
    let request = || OutgoingRequest {
        method: "GET",
        path: "/".into(),
        headers: Headers::default(),
        body: Vec::new(),
    };
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    for (begin, text) in ENDLESS {
        let address = flood(begin, text);
        let result = runtime.block_on(async {
            let connection = Connection::open(address, BOUND).await.unwrap();
            timeout(BOUND, send_message(connection, &request(), address, LIMIT)).await
        });
        let error = result.map(Result::err);
        assert!(
            matches!(error, Ok(Some(ExchangeError::Malformed | ExchangeError::TooLarge))),
            "{begin:?} and {text:?} without end: {error:?}"
        );
    }
}
