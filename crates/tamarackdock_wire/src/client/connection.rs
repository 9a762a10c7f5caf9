use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use monoio::{
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable, sink::SinkExt, stream::Stream},
    net::TcpStream,
    time::timeout,
};
use monoio_http::{
    common::error::HttpError,
    h1::{
        codec::{
            decoder::{ClientResponseDecoder, PayloadDecoder},
            encoder::GenericEncoder,
        },
        payload::{FixedPayload, Payload},
    },
};

use super::{
    Error, StreamedResponse, Timeouts,
    streamed_response::{Decoder, UndecodedBody},
};
use crate::validation::{CheckedReader, Direction, Limits};

pub(super) type Reader = CheckedReader<OwnedReadHalf<TcpStream>>;

/// A connection that carries one request at a time.
pub struct Connection {
    reader: Reader,
    writer: OwnedWriteHalf<TcpStream>,
    timeouts: Timeouts,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if no connection is established within the timeout.
    pub async fn open(
        address: SocketAddr,
        limits: Limits,
        timeouts: Timeouts,
    ) -> Result<Self, Error> {
        let connect = timeout(timeouts.connect, TcpStream::connect(address)).await;
        let stream = connect.map_err(|_| Error::Connect)?.map_err(|_| Error::Connect)?;
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let reader = CheckedReader::new(reader, Direction::Response, limits);
        Ok(Self { reader, writer, timeouts })
    }

    /// Changes the timeouts of the following calls.
    pub fn set_timeouts(&mut self, timeouts: Timeouts) {
        self.timeouts = timeouts;
    }

    /// Returns whether an idle connection is still open and has no unread input.
    pub(super) fn is_reusable(&mut self) -> bool {
        self.reader.is_message_read() && self.reader.is_idle()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] that ended the call; the connection must not be used again.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<StreamedResponse<'_>, Error> {
        if !self.reader.is_idle() {
            return Err(Error::ClosedBeforeSend);
        }
        let bodiless = request.method() == Method::HEAD;
        if bodiless {
            self.reader.begin_bodiless();
        } else {
            self.reader.begin_message();
        }
        let mut encoder = GenericEncoder::new(&mut self.writer);
        let request = request.map(|body| {
            if body.is_empty() {
                Payload::<Bytes, HttpError>::None
            } else {
                Payload::Fixed(FixedPayload::new(body))
            }
        });
        let sent = timeout(self.timeouts.first_byte, encoder.send_and_flush(request)).await;
        sent.map_err(|_| Error::TimedOut)?.map_err(|_| Error::ConnectionLost)?;
        let error = self.reader.error();
        let mut decoder = ClientResponseDecoder::new(&mut self.reader);
        let head = timeout(self.timeouts.first_byte, final_head(&mut decoder)).await;
        let response = head
            .map_err(|_| Error::TimedOut)?
            .ok_or_else(|| error.get().map_or(Error::ConnectionLost, Error::Invalid))?;
        let response = without_body(response, bodiless);
        Ok(StreamedResponse::new(response, decoder, error, self.timeouts.between_bytes))
    }
}

/// Skips interim (1xx) responses, whose number the reader bounds.
async fn final_head(decoder: &mut Decoder<'_>) -> Option<Response<UndecodedBody>> {
    loop {
        let response = decoder.next().await?.ok()?;
        if !response.status().is_informational() {
            return Some(response);
        }
    }
}

/// Removes the body decoder if the header fields describe a body that is not
/// sent: in answers to HEAD, and with status 204 or 304.
fn without_body(response: Response<UndecodedBody>, bodiless: bool) -> Response<UndecodedBody> {
    match response.status() {
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => response.map(|_| PayloadDecoder::None),
        _ if bodiless => response.map(|_| PayloadDecoder::None),
        _ => response,
    }
}
