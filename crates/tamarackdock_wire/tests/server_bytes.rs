//! Tests of the server with raw bytes from callers, over loopback.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::StatusCode;
use monoio::{LegacyDriver, RuntimeBuilder};
use tamarackdock_wire::{
    server::{Handler, Options, Request, Response, listen},
    stream::{self, Piece},
    validation::Limits,
};

const LIMITS: Limits = Limits { head: 512, body: 1 << 20, chunk: 4096 };
/// Ends a test that would otherwise hang; no result depends on its length.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const LARGE_BODY_BYTES: usize = 8 << 20;

struct Echo {
    events: mpsc::Sender<&'static str>,
}

struct OnDrop(mpsc::Sender<&'static str>);

impl Drop for OnDrop {
    fn drop(&mut self) {
        let _ = self.0.send("dropped");
    }
}

struct OnStop(mpsc::Sender<&'static str>);

impl Drop for OnStop {
    fn drop(&mut self) {
        let _ = self.0.send("stopped");
    }
}

impl Handler for Echo {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response> {
        let dropped = OnDrop(self.events.clone());
        async move {
            let _dropped = dropped;
            let _ = self.events.send("started");
            match request.path() {
                "/hang" => std::future::pending().await,
                "/large" => {
                    Response::new(StatusCode::OK, "text/plain", vec![b'x'; LARGE_BODY_BYTES])
                }
                "/empty" => Response::new(StatusCode::NO_CONTENT, "text/plain", "ignored"),
                "/flood" => {
                    let (mut sender, receiver) = stream::channel();
                    let stopped = OnStop(self.events.clone());
                    let producer = async move {
                        let _stopped = stopped;
                        let data = Bytes::from(vec![b'x'; 64 << 10]);
                        while sender.send(Piece::Data(data.clone())).await {}
                    };
                    Response::stream(
                        StatusCode::OK,
                        http::HeaderValue::from_static("text/plain"),
                        receiver,
                        producer.boxed_local(),
                    )
                }
                "/stream" => {
                    let (mut sender, receiver) = stream::channel();
                    let producer = async move {
                        let _ = sender.send(Piece::Data(Bytes::from_static(b"abc"))).await;
                        let _ = sender.send(Piece::End).await;
                    };
                    Response::stream(
                        StatusCode::OK,
                        http::HeaderValue::from_static("text/plain"),
                        receiver,
                        producer.boxed_local(),
                    )
                }
                _ => Response::new(StatusCode::OK, "text/plain", request.body),
            }
        }
        .boxed_local()
    }
}

/// Starts a server on its own thread, which ends with the test process.
fn start_server(
    configure: impl FnOnce(&mut Options) + Send + 'static,
) -> (SocketAddr, mpsc::Receiver<&'static str>) {
    let (address_sender, address) = mpsc::channel();
    let (events, receiver) = mpsc::channel();
    thread::spawn(move || {
        let mut runtime =
            RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("a runtime");
        runtime.block_on(async move {
            let mut options = Options { limits: LIMITS, ..Options::default() };
            configure(&mut options);
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let bound = listen(any, Rc::new(Echo { events }), options).expect("a free port");
            address_sender.send(bound.address()).expect("the test waits");
            std::future::pending::<()>().await;
        });
    });
    (address.recv_timeout(TEST_TIMEOUT).expect("the server starts"), receiver)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket option");
    stream.set_write_timeout(Some(TEST_TIMEOUT)).expect("a socket option");
    stream
}

/// Reads until the server closes the connection. A reset is an error, since it can
/// destroy a response.
fn read_to_close(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("an orderly close");
    String::from_utf8(received).expect("text")
}

fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut received = String::new();
    let mut byte = [0];
    while !received.ends_with(end) {
        stream.read_exact(&mut byte).unwrap_or_else(|e| panic!("{e} after `{received}`"));
        received.push(char::from(byte[0]));
    }
    received
}

/// Sends as many bytes as the server accepts. It may close before all are sent.
fn send(stream: &mut TcpStream, bytes: &[u8]) {
    match stream.write_all(bytes) {
        Ok(()) => {}
        Err(error) => assert!(
            matches!(error.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset),
            "{error}"
        ),
    }
}

/// Guards against unbounded memory use, request smuggling, misread ends of
/// bodies, and error responses that a reset destroys. Each case is followed by
/// the bytes of a second request, which must not be answered.
#[test]
fn invalid_requests_are_refused_once() {
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let with = |rest: &str| format!("{chunked}{rest}");
    let post = |fields: &str| format!("POST / HTTP/1.1\r\n{fields}\r\n\r\nabc");
    let cases = [
        (431, "endless head", format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(4096))),
        (431, "endless request line", "x".repeat(4096)),
        (413, "large body", format!("{}{}", post("Content-Length: 1048577"), "x".repeat(1 << 20))),
        (
            413,
            "unread body",
            format!("{}{}", post("Content-Length: 1048577"), "x".repeat(32 << 10)),
        ),
        (400, "overflowing length", post("Content-Length: 99999999999999999999999")),
        (413, "large chunk", with("1001\r\n")),
        (413, "large sum", with(&format!("1000\r\n{}\r\n", "x".repeat(4096)).repeat(257))),
        (413, "many small chunks", with(&"1\r\nx\r\n".repeat(2049))),
        (400, "long chunk size", with("000000001\r\nx\r\n")),
        (400, "both lengths", post("Content-Length: 3\r\nTransfer-Encoding: chunked")),
        (400, "both lengths, reversed", post("Transfer-Encoding: chunked\r\nContent-Length: 3")),
        (400, "unequal lengths", post("Content-Length: 3\r\nContent-Length: 4")),
        (400, "listed lengths", post("Content-Length: 3, 3")),
        (400, "signed length", post("Content-Length: +3")),
        (400, "hexadecimal length", post("Content-Length: 0x3")),
        (400, "empty length", post("Content-Length: ")),
        (400, "space before colon", post("Content-Length : 3")),
        (400, "folded field", post("A: b\r\n Content-Length: 3")),
        (400, "bare line feed", "POST / HTTP/1.1\nContent-Length: 3\n\nabc".into()),
        (400, "bare carriage return", post("A: b\rContent-Length: 3")),
        (400, "zero byte in a field", post("A: \0")),
        (400, "gzip coding", post("Transfer-Encoding: gzip")),
        (400, "list of codings", post("Transfer-Encoding: gzip, chunked")),
        (400, "repeated coding", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")),
        (400, "identity coding", post("Transfer-Encoding: identity")),
        (400, "tab in coding", post("Transfer-Encoding: \x0bchunked")),
        (
            400,
            "chunks in HTTP/1.0",
            "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(),
        ),
        (400, "empty chunk size", with("3\r\nabc\r\n\r\n")),
        (400, "chunk extension", with("3;a=b\r\nabc\r\n0\r\n\r\n")),
        (400, "space after size", with("3 \r\nabc\r\n0\r\n\r\n")),
        (400, "signed size", with("+3\r\nabc\r\n0\r\n\r\n")),
        (400, "chunk longer than its size", with("3\r\nabcd\r\n0\r\n\r\n")),
        (400, "trailer", with("3\r\nabc\r\n0\r\nA: b\r\n\r\n")),
        (400, "unknown version", "GET / HTTP/2.0\r\n\r\n".into()),
        (400, "not HTTP", "\x16\x03\x01\x02\r\n\r\n".into()),
        (400, "empty line before the head", "\r\nGET / HTTP/1.1\r\n\r\n".into()),
        (400, "many fields", format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(65))),
    ];
    let (address, _events) = start_server(|_| {});
    for (status, name, bytes) in cases {
        let mut stream = connect(address);
        // All in one write, so that a reset fails the read and not a second write.
        send(&mut stream, (bytes + "GET /second HTTP/1.1\r\n\r\n").as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        let received = read_to_close(&mut stream);
        let start = format!("HTTP/1.1 {status} ");
        assert!(received.starts_with(&start), "{name}: {received}");
        assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "{name}: {received}");
        assert!(received.contains("\"ran\":\"no\""), "{name}: {received}");
    }
}

/// Guards against valid requests that are rejected, and against responses that
/// don't match the order of pipelined requests.
#[test]
fn valid_requests_are_answered_in_order() {
    let cases = [
        ("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "\r\n\r\nabc"),
        ("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "\r\n\r\nabc"),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n",
            "\r\n\r\nabc0123456789",
        ),
        (
            "HEAD /stream HTTP/1.1\r\n\r\n",
            "transfer-encoding: chunked\r\ncontent-type: text/plain\r\n\r\n",
        ),
        (
            "HEAD /large HTTP/1.1\r\n\r\n",
            "content-length: 8388608\r\ncontent-type: text/plain\r\n\r\n",
        ),
        (
            "GET /empty HTTP/1.1\r\n\r\n",
            "HTTP/1.1 204 No Content\r\ncontent-type: text/plain\r\n\r\n",
        ),
        ("GET /stream HTTP/1.1\r\n\r\n", "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        (
            "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n",
            "content-length: 0\r\ncontent-type: text/plain\r\n\r\n",
        ),
    ];
    let (address, _events) = start_server(|_| {});
    let mut stream = connect(address);
    for (request, end) in cases {
        send(&mut stream, request.as_bytes());
        let received = read_until(&mut stream, end);
        assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "{request}: {received}");
    }
    let pipelined: String = cases.iter().map(|(request, _)| *request).collect();
    send(&mut stream, pipelined.as_bytes());
    for (_, end) in cases {
        let received = read_until(&mut stream, end);
        assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "{received}");
    }
    send(&mut stream, b"GET / HTTP/1.1\r\nConnection: foo, Close\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    assert_eq!(read_to_close(&mut stream).matches("HTTP/1.1 ").count(), 1);
}

/// Guards against a reset that destroys an error response in transit, when the
/// caller is still sending the body.
#[test]
fn input_after_a_refusal_is_not_reset() {
    let (address, _events) = start_server(|o| o.linger_timeout = TEST_TIMEOUT);
    let mut stream = connect(address);
    let part = "x".repeat(64 << 10);
    send(
        &mut stream,
        format!("POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n{part}").as_bytes(),
    );
    assert!(read_to_close(&mut stream).starts_with("HTTP/1.1 413"));
    for _ in 0..8 {
        stream.write_all(part.as_bytes()).expect("an open connection");
    }
}

/// Guards against callers that wait in vain for `100 Continue`, and against
/// asking for a body that is rejected anyway.
#[test]
fn expectations_are_answered_before_the_body() {
    let (address, _events) = start_server(|_| {});
    let mut stream = connect(address);
    send(&mut stream, b"POST / HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 3\r\n\r\n");
    assert_eq!(read_until(&mut stream, "\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    send(&mut stream, b"abc");
    assert!(read_until(&mut stream, "\r\n\r\nabc").starts_with("HTTP/1.1 200"));
    send(
        &mut stream,
        b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1048577\r\n\r\n",
    );
    assert!(read_until(&mut stream, "\r\n\r\n").starts_with("HTTP/1.1 413"));
}

/// Guards against slow writers that keep connections open or delay other callers.
#[test]
fn slow_writer_times_out_without_holding_others() {
    let (address, _events) = start_server(|o| o.request_timeout = Duration::from_millis(300));
    let slow: Vec<TcpStream> = (0..32)
        .map(|index| {
            let mut stream = connect(address);
            let part: &[u8] = if index % 2 == 0 {
                b"GET / HT"
            } else {
                b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"
            };
            send(&mut stream, part);
            stream
        })
        .collect();
    let mut quick = connect(address);
    send(&mut quick, b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
    assert!(read_until(&mut quick, "\r\n\r\nok").starts_with("HTTP/1.1 200"));
    for mut stream in slow {
        let received = read_to_close(&mut stream);
        assert!(received.starts_with("HTTP/1.1 408"), "{received}");
    }
}

/// Guards against slow readers that occupy memory and a target forever.
#[test]
fn stalled_reader_is_dropped_and_reading_one_is_not() {
    let (address, events) = start_server(|o| o.write_timeout = Duration::from_millis(300));
    let mut stalled = connect(address);
    send(&mut stalled, b"GET /flood HTTP/1.1\r\n\r\n");
    let mut reading = connect(address);
    send(&mut reading, b"GET /large HTTP/1.1\r\nConnection: close\r\n\r\n");
    let received = read_to_close(&mut reading);
    assert!(received.len() > LARGE_BODY_BYTES, "cut after {} bytes", received.len());
    let mut seen = std::iter::from_fn(|| events.recv_timeout(TEST_TIMEOUT).ok());
    assert!(seen.any(|event| event == "stopped"), "the producer still runs");
}

/// Guards against work that continues for callers that have disconnected. A
/// half-closed connection looks the same as a closed one, and is treated as closed.
#[test]
fn half_closed_callers_cancel_their_work() {
    let (address, events) = start_server(|_| {});
    let mut stream = connect(address);
    send(&mut stream, b"GET /hang HTTP/1.1\r\n\r\n");
    assert_eq!(events.recv_timeout(TEST_TIMEOUT), Ok("started"));
    stream.shutdown(Shutdown::Write).expect("an open socket");
    assert_eq!(read_to_close(&mut stream), "");
    assert_eq!(events.recv_timeout(TEST_TIMEOUT), Ok("dropped"));
    for part in ["GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"] {
        let mut stream = connect(address);
        send(&mut stream, part.as_bytes());
        stream.shutdown(Shutdown::Write).expect("an open socket");
        assert!(read_to_close(&mut stream).starts_with("HTTP/1.1 400"), "{part}");
    }
    let mut idle = connect(address);
    idle.shutdown(Shutdown::Write).expect("an open socket");
    assert_eq!(read_to_close(&mut idle), "");
}
