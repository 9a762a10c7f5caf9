use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use futures_util::{
    FutureExt,
    future::{Either, select},
    pin_mut,
};
use http::{HeaderMap, Method, Version, header};
use monoio::{
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable, stream::Stream},
    net::TcpStream,
    time::timeout,
};
use monoio_http::{
    common::{body::BodyExt, request::Request as Decoded},
    h1::{
        codec::decoder::{FillPayload, RequestDecoder},
        payload::Payload,
    },
};
use tamarackdock_types::refusal::{Code, Refusal};

use super::{
    Handler, Options, Request,
    writer::{Delivery, Writer},
};
use crate::validation::{CheckedReader, Direction};

/// A caller's connection, served by one task that owns the socket.
pub(super) struct Connection {
    reader: CheckedReader<OwnedReadHalf<TcpStream>>,
    writer: Writer<OwnedWriteHalf<TcpStream>>,
    peer: SocketAddr,
    handler: Rc<dyn Handler>,
    options: Options,
}

impl Connection {
    pub(super) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        handler: Rc<dyn Handler>,
        options: Options,
    ) -> Self {
        // Otherwise small pieces of a stream would wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let reader = CheckedReader::new(reader, Direction::Request, options.limits);
        let writer = Writer::new(writer, options.write_timeout);
        Self { reader, writer, peer, handler, options }
    }

    /// Serves requests until the connection closes.
    pub(super) async fn serve(mut self) {
        while self.wait_for_request().await {
            if !self.serve_one().await {
                return;
            }
        }
    }

    /// Waits for the first byte of a request. Returns false after the idle
    /// timeout, after a close, and once the listener stops.
    async fn wait_for_request(&mut self) -> bool {
        let stop = self.options.stop.clone();
        let next = timeout(self.options.idle_timeout, self.reader.has_next());
        let stopped = stop.wait();
        pin_mut!(next, stopped);
        match select(next, stopped).await {
            Either::Left((Ok(is_next), _)) => is_next,
            Either::Left((Err(_), _)) => false,
            // A request that has begun to arrive is served, since its caller doesn't
            // know of the stop.
            Either::Right(((), next)) => matches!(next.now_or_never(), Some(Ok(true))),
        }
    }

    /// Serves one request and returns whether the connection can serve another.
    async fn serve_one(&mut self) -> bool {
        let request = match self.receive().await {
            Ok(request) => request,
            Err(refusal) => {
                let delivery = Delivery { close: true, head_only: false };
                if self.writer.write(refusal.into(), delivery).await.is_ok() {
                    self.linger().await;
                }
                return false;
            }
        };
        let head_only = request.message.method == Method::HEAD;
        let close = request.close;
        let handler = self.handler.clone();
        let answer = handler.handle(request.message);
        let Some(response) = until_closed(answer, &mut self.reader).await else {
            return false;
        };
        let close = close || self.options.closing.is_set() || self.options.stop.is_set();
        let written = self.writer.write(response, Delivery { close, head_only });
        match until_closed(written, &mut self.reader).await {
            Some(Ok(())) if close => {
                self.linger().await;
                false
            }
            Some(Ok(())) => true,
            Some(Err(_)) | None => false,
        }
    }

    /// Reads and drops input after the last response; see [`Options::linger_timeout`].
    async fn linger(&mut self) {
        if self.writer.shutdown().await.is_ok() {
            let limit = self.options.limits.body;
            let _ = timeout(self.options.linger_timeout, self.reader.discard(limit)).await;
        }
    }

    async fn receive(&mut self) -> Result<ReceivedRequest, Refusal> {
        self.reader.begin_message();
        let error = self.reader.error();
        let peer = self.peer;
        let mut decoder = RequestDecoder::new(&mut self.reader);
        let outcome =
            timeout(self.options.request_timeout, read_request(&mut decoder, &mut self.writer))
                .await;
        match outcome {
            Ok(Some((request, body))) => Ok(ReceivedRequest::new(request, body, peer)),
            Ok(None) => match error.get() {
                Some(error) => Err(Refusal::not_run(error.code(), error.to_string())),
                None => {
                    Err(Refusal::not_run(Code::BadRequest, "the request is not valid HTTP/1.1"))
                }
            },
            Err(_) => {
                let message = "the request did not arrive in time; send it without pauses";
                Err(Refusal::not_run(Code::RequestTimeout, message))
            }
        }
    }
}

struct ReceivedRequest {
    message: Request,
    /// The connection closes after the response.
    close: bool,
}

impl ReceivedRequest {
    fn new(decoded: Decoded, body: Bytes, peer: SocketAddr) -> Self {
        let (head, _) = decoded.into_parts();
        let close_requested = has_token(&head.headers, &header::CONNECTION, b"close");
        let close = close_requested || head.version != Version::HTTP_11;
        let message =
            Request { method: head.method, uri: head.uri, headers: head.headers, body, peer };
        Self { message, close }
    }
}

type Decoder<'a> = RequestDecoder<&'a mut CheckedReader<OwnedReadHalf<TcpStream>>>;

/// Returns whether a comma-separated header holds a token.
fn has_token(headers: &HeaderMap, name: &header::HeaderName, token: &[u8]) -> bool {
    let values = headers.get_all(name).into_iter();
    values
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .any(|item| item.trim_ascii().eq_ignore_ascii_case(token))
}

/// Reads a whole request. Returns `None` if it is invalid or the connection closes.
async fn read_request(
    decoder: &mut Decoder<'_>,
    writer: &mut Writer<OwnedWriteHalf<TcpStream>>,
) -> Option<(Decoded, Bytes)> {
    let request = decoder.next().await?.ok()?;
    let expects_continue = has_token(request.headers(), &header::EXPECT, b"100-continue");
    if expects_continue
        && request.version() == Version::HTTP_11
        && !matches!(request.body(), Payload::None)
    {
        writer.write_continue().await.ok()?;
    }
    decoder.fill_payload().await.ok()?;
    let (head, payload) = request.into_parts();
    let body = payload.bytes().await.ok()?;
    Some((Decoded::from_parts(head, Payload::None), body))
}

/// Runs work for a caller. Drops it and returns `None` when the caller closes the connection.
async fn until_closed<T>(
    work: impl Future<Output = T>,
    reader: &mut CheckedReader<OwnedReadHalf<TcpStream>>,
) -> Option<T> {
    let closed = reader.closed();
    pin_mut!(work, closed);
    match select(work, closed).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(((), _)) => None,
    }
}
