use std::{io, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use http::{HeaderMap, StatusCode, header};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt};

use super::{Body, Response};
use crate::stream::{self, Piece};

const HEAD_CAPACITY: usize = 256;
/// Bodies up to this size are copied behind the head and sent in the same write.
const MAX_COPIED_BODY_BYTES: usize = 8 << 10;
/// Largest write. The timeout applies to each write, so that a reader that makes
/// progress is not cut off.
const MAX_WRITE_BYTES: usize = 64 << 10;

/// Writes responses. The encoder of `monoio-http` holds back up to 8 KiB of a
/// stream, which delays tokens, so pieces are encoded as chunks here.
pub(super) struct Writer<W> {
    io: W,
    timeout: Duration,
}

/// How one response is sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Delivery {
    /// The connection closes after the response.
    pub(super) close: bool,
    /// The request was HEAD, so that only the head is sent.
    pub(super) head_only: bool,
}

impl<W: AsyncWriteRent> Writer<W> {
    pub(super) fn new(io: W, timeout: Duration) -> Self {
        Self { io, timeout }
    }

    pub(super) async fn write(&mut self, response: Response, delivery: Delivery) -> io::Result<()> {
        let status = response.status;
        let length = match &response.body {
            _ if is_bodiless(status) => Length::None,
            Body::Full(body) => Length::Known(body.len()),
            Body::Stream { .. } => Length::Chunked,
        };
        let mut buffer = head(status, &response.headers, length, delivery.close);
        match response.body {
            _ if delivery.head_only || is_bodiless(status) => self.send(buffer.freeze()).await,
            Body::Full(body) => {
                if body.len() <= MAX_COPIED_BODY_BYTES {
                    buffer.extend_from_slice(&body);
                    return self.send(buffer.freeze()).await;
                }
                self.send(buffer.freeze()).await?;
                self.send(body).await
            }
            Body::Stream { pieces, producer } => {
                self.send(buffer.freeze()).await?;
                let writing = self.write_pieces(pieces);
                pin_mut!(writing);
                match select(writing, producer).await {
                    Either::Left((result, _)) => result,
                    Either::Right(((), writing)) => writing.await,
                }
            }
        }
    }

    async fn write_pieces(&mut self, mut pieces: stream::Receiver) -> io::Result<()> {
        while let Some(piece) = pieces.next().await {
            match piece {
                Piece::Data(data) if data.is_empty() => {}
                Piece::Data(data) => self.send(chunk(&data)).await?,
                Piece::End => return self.send(Bytes::from_static(b"0\r\n\r\n")).await,
            }
        }
        Err(io::Error::from(io::ErrorKind::UnexpectedEof))
    }

    /// Asks a caller that sent `Expect: 100-continue` for the body.
    pub(super) async fn write_continue(&mut self) -> io::Result<()> {
        self.send(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n")).await
    }

    /// Shuts down the sending direction.
    pub(super) async fn shutdown(&mut self) -> io::Result<()> {
        self.io.shutdown().await
    }

    async fn send(&mut self, mut bytes: Bytes) -> io::Result<()> {
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(MAX_WRITE_BYTES));
            match monoio::time::timeout(self.timeout, self.io.write_all(part)).await {
                Ok((result, _)) => result.map(|_| ())?,
                Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)),
            }
        }
        Ok(())
    }
}

#[derive(Debug, Clone, Copy)]
enum Length {
    None,
    Known(usize),
    Chunked,
}

fn is_bodiless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn head(status: StatusCode, headers: &HeaderMap, length: Length, close: bool) -> BytesMut {
    let mut buffer = BytesMut::with_capacity(HEAD_CAPACITY);
    buffer.put_slice(b"HTTP/1.1 ");
    buffer.put_slice(status.as_str().as_bytes());
    buffer.put_slice(b" ");
    buffer.put_slice(status.canonical_reason().unwrap_or("Status").as_bytes());
    buffer.put_slice(b"\r\n");
    match length {
        Length::None => {}
        Length::Known(length) => {
            buffer.put_slice(format!("content-length: {length}\r\n").as_bytes());
        }
        Length::Chunked => buffer.put_slice(b"transfer-encoding: chunked\r\n"),
    }
    if close {
        buffer.put_slice(b"connection: close\r\n");
    }
    let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING, header::CONNECTION];
    for (name, value) in headers.iter().filter(|(name, _)| !framing.contains(name)) {
        buffer.put_slice(name.as_ref());
        buffer.put_slice(b": ");
        buffer.put_slice(value.as_bytes());
        buffer.put_slice(b"\r\n");
    }
    buffer.put_slice(b"\r\n");
    buffer
}

fn chunk(data: &[u8]) -> Bytes {
    let mut buffer = BytesMut::with_capacity(data.len() + 12);
    buffer.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    buffer.put_slice(data);
    buffer.put_slice(b"\r\n");
    buffer.freeze()
}
