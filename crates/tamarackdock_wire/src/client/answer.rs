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
use crate::guard::Fault;

pub(super) type Decoder<'a> = ClientResponseDecoder<&'a mut Reader>;
pub(super) type Undecoded = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// A response whose body is read piece by piece.
pub struct Answer<'a> {
    head: Parts,
    payload: FramedPayload<Decoder<'a>>,
    fault: Fault,
    between_bytes: Duration,
}

impl<'a> Answer<'a> {
    pub(super) fn new(
        response: Response<Undecoded>,
        decoder: Decoder<'a>,
        fault: Fault,
        between_bytes: Duration,
    ) -> Self {
        let (head, undecoded) = response.into_parts();
        Self { head, payload: undecoded.with_io(decoder), fault, between_bytes }
    }

    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the header fields.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns a header's value as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the next piece of the body, or `None` when the body is whole.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] that broke the body; what came before is not a whole answer.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        match timeout(self.between_bytes, self.payload.next_data()).await {
            Ok(None) => Ok(None),
            Ok(Some(Ok(data))) => Ok(Some(data)),
            Ok(Some(Err(_))) => Err(self.fault.get().map_or(Error::Broken, Error::Invalid)),
            Err(_) => Err(Error::Silent),
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] that broke the body.
    pub async fn whole(mut self) -> Result<Bytes, Error> {
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
        let mut whole = BytesMut::from(first);
        whole.extend_from_slice(&rest);
        Ok(whole.freeze())
    }
}
