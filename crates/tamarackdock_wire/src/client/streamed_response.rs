use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode, response::Parts};
use monoio::time::timeout;
use monoio_http::{
    common::body::Body,
    h1::{
        codec::decoder::{
            ChunkedBodyDecoder, ClientResponseDecoder, FixedBodyDecoder, PayloadDecoder,
        },
        payload::FramedPayload,
    },
};

use super::{Error, connection::Reader};
use crate::validation::SharedError;

pub(super) type Decoder<'a> = ClientResponseDecoder<&'a mut Reader>;
pub(super) type UndecodedBody = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// A response whose body is read piece by piece.
pub struct StreamedResponse<'a> {
    head: Parts,
    payload: FramedPayload<Decoder<'a>>,
    error: SharedError,
    between_bytes: Duration,
}

impl<'a> StreamedResponse<'a> {
    pub(super) fn new(
        response: Response<UndecodedBody>,
        decoder: Decoder<'a>,
        error: SharedError,
        between_bytes: Duration,
    ) -> Self {
        let (head, undecoded) = response.into_parts();
        Self { head, payload: undecoded.with_io(decoder), error, between_bytes }
    }

    /// Returns the status of the final response.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the header fields.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns a header's value as text, or `None` if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] that cut the body short; the pieces before it are not a whole body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        match timeout(self.between_bytes, self.payload.next_data()).await {
            Ok(None) => Ok(None),
            Ok(Some(Ok(data))) => Ok(Some(data)),
            Ok(Some(Err(_))) => Err(self.error.get().map_or(Error::ConnectionLost, Error::Invalid)),
            Err(_) => Err(Error::TimedOut),
        }
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] that cut the body short.
    pub async fn read_to_end(mut self) -> Result<Bytes, Error> {
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        while let Some(data) = self.next().await? {
            if first.is_empty() {
                first = data;
            } else {
                rest.extend_from_slice(&data);
            }
        }
        if rest.is_empty() {
            return Ok(first);
        }
        let mut body = BytesMut::from(first);
        body.extend_from_slice(&rest);
        Ok(body.freeze())
    }
}
