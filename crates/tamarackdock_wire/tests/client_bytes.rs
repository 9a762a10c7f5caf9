//! Tests of the client with raw bytes from targets, over loopback.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request};
use monoio::{LegacyDriver, RuntimeBuilder};
use tamarackdock_types::call::Ran;
use tamarackdock_wire::{
    client::{BufferedResponse, Error, Pool, Timeouts},
    validation::{Error as ValidationError, Limits},
};

const LIMITS: Limits = Limits { head: 512, body: 4096, chunk: 1024 };
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const TIMEOUTS: Timeouts =
    Timeouts { connect: TEST_TIMEOUT, first_byte: TEST_TIMEOUT, between_bytes: TEST_TIMEOUT };

fn run<T>(work: impl Future<Output = T>) -> T {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().expect("a runtime").block_on(work)
}

fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Starts a target that answers the requests of each connection in turn with
/// the given bytes, then closes it.
fn start_target(connections: Vec<Vec<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    thread::spawn(move || {
        for responses in connections {
            let Ok((mut stream, _)) = listener.accept() else { return };
            for response in responses {
                if !read_head(&mut stream) || stream.write_all(&response).is_err() {
                    break;
                }
            }
            let _ = stream.shutdown(Shutdown::Write);
            let _ = stream.read_to_end(&mut Vec::new());
        }
    });
    address
}

fn request(method: Method) -> Request<Bytes> {
    Request::builder().method(method).uri("/").body(Bytes::new()).expect("a valid request")
}

fn call(method: Method, response: &[u8]) -> Result<BufferedResponse, Error> {
    let address = start_target(vec![vec![response.to_vec()]]);
    run(async { Pool::new(LIMITS).call(address, request(method), TIMEOUTS).await })
}

/// Guards against invalid, truncated or oversized responses that are taken for
/// complete ones.
#[test]
fn invalid_responses_are_errors() {
    use ValidationError as G;
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let with = |rest: &str| format!("{chunked}{rest}");
    let ok = |fields: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\nabc");
    let invalid = Error::Invalid;
    let cases = [
        (
            invalid(G::HeadTooLarge { limit: 512 }),
            format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(4096)),
        ),
        (invalid(G::BodyTooLarge { limit: 4096 }), ok("Content-Length: 4097")),
        (invalid(G::ChunkTooLarge { limit: 1024 }), with("401\r\n")),
        (
            invalid(G::BodyTooLarge { limit: 4096 }),
            with(&format!("400\r\n{}\r\n", "x".repeat(1024)).repeat(5)),
        ),
        (invalid(G::MissingLength), ok("A: b")),
        (invalid(G::AmbiguousLength), ok("Content-Length: 3\r\nTransfer-Encoding: chunked")),
        (invalid(G::InvalidLength), ok("Content-Length: 3\r\nContent-Length: 2")),
        (invalid(G::TransferEncoding), ok("Transfer-Encoding: gzip")),
        (
            invalid(G::TransferEncoding),
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(),
        ),
        (invalid(G::ChunkSize), with("3\r\nabc\r\n\r\n")),
        (invalid(G::ChunkSize), with("\r\n")),
        (invalid(G::ChunkSize), with("3;a\r\nabc\r\n0\r\n\r\n")),
        (invalid(G::ChunkEnd), with("3\r\nabcd")),
        (invalid(G::Trailer), with("0\r\nA: b\r\n\r\n")),
        (invalid(G::Upgrade), "HTTP/1.1 101 Switching Protocols\r\n\r\n".into()),
        (invalid(G::TooManyInterim { limit: 8 }), "HTTP/1.1 100 Continue\r\n\r\n".repeat(9)),
        (invalid(G::UnexpectedBody), "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n".into()),
        (invalid(G::UnexpectedBody), "HTTP/1.1 204 N\r\nTransfer-Encoding: chunked\r\n\r\n".into()),
        (invalid(G::InvalidHead), "HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n".into()),
        (invalid(G::BareLineFeed), "HTTP/1.1 200 OK\nContent-Length: 0\n\n".into()),
        (Error::ConnectionLost, String::new()),
        (Error::ConnectionLost, "HTTP/1.1 200 OK\r\nContent-Le".into()),
        (Error::ConnectionLost, "HTTP/1.1 100 Continue\r\n\r\n".into()),
        (Error::ConnectionLost, ok("Content-Length: 4")),
        (Error::ConnectionLost, with("")),
        (Error::ConnectionLost, with("3\r\nab")),
        (Error::ConnectionLost, with("3\r\nabc")),
        (Error::ConnectionLost, with("3\r\nabc\r\n")),
        (Error::ConnectionLost, with("3\r\nabc\r\n0\r\n")),
        (Error::ConnectionLost, with("3\r\nabc\r\n0\r\n\r")),
    ];
    for (expected, bytes) in cases {
        let outcome = call(Method::GET, bytes.as_bytes()).map(|response| response.body);
        assert_eq!(outcome, Err(expected), "{bytes}");
        assert_eq!(expected.ran(), Ran::Unknown, "{bytes}");
    }
}

/// Guards against waiting for bodies that are never sent, and against responses
/// that are matched to the wrong request after interim or bodiless ones.
#[test]
fn valid_responses_are_read_and_the_connection_is_reused() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    let cases = [
        (Method::GET, 200, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc".into(), "abc"),
        (Method::HEAD, 200, "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n".into(), ""),
        (Method::HEAD, 200, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(), ""),
        (Method::HEAD, 404, "HTTP/1.1 404 Not Found\r\n\r\n".into(), ""),
        (Method::GET, 204, "HTTP/1.1 204 No Content\r\n\r\n".into(), ""),
        (Method::GET, 204, "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n".into(), ""),
        (Method::GET, 304, "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n".into(), ""),
        (Method::GET, 304, "HTTP/1.1 304 N\r\nTransfer-Encoding: chunked\r\n\r\n".into(), ""),
        (
            Method::GET,
            200,
            format!("{}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", interim.repeat(8)),
            "x",
        ),
        (
            Method::GET,
            200,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"
                .into(),
            "abcd",
        ),
    ];
    // One connection only: a second one would not be accepted and the call would hang.
    let address =
        start_target(vec![cases.iter().map(|case| case.2.clone().into_bytes()).collect()]);
    run(async {
        let pool = Pool::new(LIMITS);
        for (method, status, bytes, body) in cases {
            let response = pool.call(address, request(method), TIMEOUTS).await;
            let response = response.unwrap_or_else(|error| panic!("{bytes}: {error}"));
            assert_eq!(
                (response.status.as_u16(), response.body.as_ref()),
                (status, body.as_bytes()),
                "{bytes}"
            );
        }
    });
}

/// Guards against an unrequested response that is taken for the answer to the
/// next request.
#[test]
fn stray_responses_never_answer_a_request() {
    let good = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood".to_vec();
    let stray = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    let with_stray = [good.as_slice(), stray].concat();
    let address = start_target(vec![vec![with_stray], vec![good]]);
    run(async {
        let pool = Pool::new(LIMITS);
        for _ in 0..2 {
            let response = pool.call(address, request(Method::GET), TIMEOUTS).await;
            assert_eq!(response.map(|response| response.body), Ok(Bytes::from_static(b"good")));
        }
    });
}

/// Guards against taking bytes that arrive while a connection is idle, in the
/// pool or taken from it, for the next response. Nothing was sent on it then,
/// so the error must allow a retry.
#[test]
fn bytes_on_an_idle_connection_break_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let (written, is_written) = mpsc::channel();
    thread::spawn(move || {
        let mut open = Vec::new();
        for _ in 0..2 {
            let Ok((mut stream, _)) = listener.accept() else { return };
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
            let _ = written.send(());
            open.push(stream);
        }
        let Ok((mut stream, _)) = listener.accept() else { return };
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
        let _ = stream.read_to_end(&mut Vec::new());
    });
    run(async {
        let pool = Pool::new(LIMITS);
        let mut pooled = pool.take(address, TIMEOUTS).await.expect("a connection");
        is_written.recv_timeout(TEST_TIMEOUT).expect("the target writes");
        // Lets the driver notice the bytes, which are in the socket already.
        monoio::time::sleep(Duration::from_millis(5)).await;
        let sent = pooled.connection().send(request(Method::GET)).await;
        assert_eq!(sent.err(), Some(Error::ClosedBeforeSend));
        assert_eq!(Error::ClosedBeforeSend.ran(), Ran::No);
        let idle = pool.take(address, TIMEOUTS).await.expect("a connection");
        is_written.recv_timeout(TEST_TIMEOUT).expect("the target writes");
        pool.release(idle);
        monoio::time::sleep(Duration::from_millis(5)).await;
        let response = pool.call(address, request(Method::GET), TIMEOUTS).await;
        assert_eq!(response.map(|response| response.body), Ok(Bytes::from_static(b"good")));
    });
}

/// Guards against calls that wait forever for targets that stopped sending.
#[test]
fn stalled_targets_time_out() {
    let short = Duration::from_millis(100);
    let timeouts = Timeouts { connect: TEST_TIMEOUT, first_byte: short, between_bytes: short };
    let parts: [&[u8]; 4] = [
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
    ];
    for part in parts {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        thread::spawn(move || {
            let Ok((mut stream, _)) = listener.accept() else { return };
            read_head(&mut stream);
            let _ =
                stream.write_all(part).and_then(|()| stream.read_to_end(&mut Vec::new()).map(drop));
        });
        let outcome =
            run(async { Pool::new(LIMITS).call(address, request(Method::GET), timeouts).await });
        assert_eq!(outcome.err(), Some(Error::TimedOut), "{}", String::from_utf8_lossy(part));
    }
}
