//! Answers whose connection ends while the request is still being sent. Those of targets are read by
//! [`Exchange`], and so are those of the store, the platform's API and other nodes, through
//! [`send_message`]. One thread plays both sides, so that all that the other side does has happened
//! before the node's next system call.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, TcpListener, TcpStream},
    pin::pin,
    thread,
    time::{Duration, Instant},
};

use futures_util::poll;
use monoio::{
    LegacyDriver, RuntimeBuilder,
    time::{sleep, timeout},
};
use rustix::net::sockopt::set_socket_linger;

use crate::{
    http::{Connection, Exchange, ExchangeError, Headers, send_message},
    wire_format::OutgoingRequest,
};

/// More bytes than a connection takes while its other side reads none.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
/// Largest body that the caller accepts.
const LIMIT: usize = 64 * 1024;
/// Bounds a test that hangs.
const BOUND: Duration = Duration::from_secs(20);
/// An answer whose end is that of its connection.
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\npart";
const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";

/// How a target ends the connection after its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It resets the connection.
    Reset,
    /// It closes the connection with bytes of the request unread, which resets it as well.
    Unread,
    /// It sends nothing more, and then resets the connection.
    HalfClosedAndReset,
    /// It sends nothing more, and leaves the connection open.
    HalfClosed,
}

/// The sides of an open connection. The observer is another descriptor of the node's.
struct Sides {
    node: Connection,
    target: TcpStream,
    observer: TcpStream,
}

/// Runs a test on an open connection.
fn run<T>(test: impl AsyncFnOnce(Sides) -> T) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nonblocking(true).unwrap();
    let observer = stream.try_clone().unwrap();
    let (target, _) = listener.accept().unwrap();
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        let node = Connection::new(monoio::net::TcpStream::from_std(stream).unwrap());
        timeout(BOUND, test(Sides { node, target, observer })).await.expect("the exchange ends")
    })
}

/// Sends a request whose body the target does not read, and returns the body of the answer. The
/// request is being sent when the connection ends.
fn exchange(answer: &str, end: End) -> Result<Vec<u8>, ExchangeError> {
    let request = OutgoingRequest {
        method: "POST",
        path: "/".into(),
        headers: Headers::default(),
        body: vec![b'a'; UPLOAD_BYTES],
    };
    run(async |Sides { node, mut target, observer }| {
        let address = observer.peer_addr().unwrap();
        let mut sent = pin!(send_message(node, &request, address, LIMIT));
        target.set_nonblocking(true).unwrap();
        let mut begin = [0; 4];
        while target.peek(&mut begin).is_err() {
            assert!(poll!(sent.as_mut()).is_pending(), "the request ended early");
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(&begin, b"POST");
        target.write_all(answer.as_bytes()).unwrap();
        let _open = match end {
            End::HalfClosed => {
                target.shutdown(Shutdown::Write).unwrap();
                Some(target)
            }
            End::HalfClosedAndReset | End::Reset | End::Unread => {
                if end == End::HalfClosedAndReset {
                    target.shutdown(Shutdown::Write).unwrap();
                }
                if end != End::Unread {
                    set_socket_linger(&target, Some(Duration::ZERO)).unwrap();
                }
                drop(target);
                wait_for_reset(&observer);
                None
            }
        };
        Ok(sent.await?.0.body.to_vec())
    })
}

/// Waits until a connection was reset. A connection that was reset has no peer; unlike a read or
/// write, the question takes no error away.
fn wait_for_reset(observer: &TcpStream) {
    let until = Instant::now() + BOUND;
    while observer.peer_addr().is_ok() {
        assert!(Instant::now() < until, "no reset arrived");
        thread::yield_now();
    }
}

/// Guards against a part of an answer that counts as whole, because the write that fails takes the
/// error of the connection and the reads after it see an orderly end.
#[test]
fn an_answer_without_a_length_is_broken_by_a_reset() {
    let ends = [End::Reset, End::Unread, End::HalfClosedAndReset];
    let results = ends.map(|end| exchange(WITHOUT_LENGTH, end));
    assert_eq!(results, [const { Err(ExchangeError::ConnectionLost) }; 3]);
}

/// Guards against an answer that is lost because its end is not that of the request.
#[test]
fn an_answer_without_a_length_is_whole_after_an_orderly_end() {
    assert_eq!(exchange(WITHOUT_LENGTH, End::HalfClosed), Ok(b"part".to_vec()));
}

/// Guards against a whole answer that is lost because its connection is reset after it.
#[test]
fn an_answer_with_a_length_is_whole_before_a_reset() {
    for end in [End::Reset, End::Unread, End::HalfClosedAndReset, End::HalfClosed] {
        assert_eq!(exchange(WITH_LENGTH, end), Ok(b"part".to_vec()), "{end:?}");
    }
}

/// Guards against a sound target that waits for the rest of a request after it has begun to answer,
/// as one does that reads and answers at the same time.
#[test]
fn a_request_is_sent_to_its_end_after_an_early_answer() {
    for (answer, keeps) in [(WITHOUT_LENGTH, false), (WITH_LENGTH, true)] {
        let (body, is_reusable) = run(async |Sides { node, mut target, .. }| {
            let (head, part) = answer.split_at(answer.len() - 2);
            target.write_all(head.as_bytes()).unwrap();
            let mut upload = vec![b'a'; UPLOAD_BYTES];
            upload[UPLOAD_BYTES - 1] = b'z';
            let mut headers = Headers::default();
            headers.push("Content-Length", UPLOAD_BYTES.to_string());
            let exchange = Exchange::begin(node, "POST", "/", &headers, &upload).await.unwrap();
            let reading = thread::spawn(move || {
                let mut buffer = vec![0; LIMIT];
                while !buffer.contains(&b'z') {
                    assert!(target.read(&mut buffer).unwrap() > 0, "the request ended early");
                }
                target.write_all(part.as_bytes()).unwrap();
                keeps.then_some(target)
            });
            let (response, connection) = exchange.collect(LIMIT).await.unwrap();
            let _target = reading.join().unwrap();
            (response.body.to_vec(), connection.is_some())
        });
        assert_eq!((&body[..], is_reusable), (&b"part"[..], keeps), "{answer:?}");
    }
}
