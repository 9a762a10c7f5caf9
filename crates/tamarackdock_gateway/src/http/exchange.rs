use std::{io, net::SocketAddr};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use serde::{Deserialize, Serialize};

use super::{Body, Budget, Connection, Headers, ResponseHead, head};
use crate::wire_format::OutgoingRequest;

/// Largest response head, in bytes. Targets send far smaller ones.
const MAX_RESPONSE_HEAD: usize = 32 * 1024;
/// Most bytes up to the end of the final head, which interim responses precede.
const MAX_BYTES_BEFORE_BODY: usize = 2 * MAX_RESPONSE_HEAD;

/// The reason why an exchange gave no complete response. Only [`ExchangeError::NotSent`] and
/// [`ExchangeError::NoPath`] prove that the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub enum ExchangeError {
    /// No byte of the request was sent. Returned only by callers that open the connection
    /// themselves; [`Exchange`] never returns it.
    #[display("the request was not sent")]
    NotSent,
    /// The connection broke before the response was complete.
    #[display("the connection broke before the response was complete")]
    ConnectionLost,
    /// The response is not valid HTTP/1.1.
    #[display("the response is malformed")]
    Malformed,
    /// The response is larger than the limit of the caller.
    #[display("the response is larger than allowed")]
    TooLarge,
    /// The response did not arrive in time.
    #[display("no response arrived in time")]
    TimedOut,
    /// The connection to the node that forwards the request broke. The target may have broken off
    /// its response.
    #[display("the response through another node broke off")]
    ForwardingLost,
    /// The path to the target was lost, on this host or on the one that forwards the request,
    /// which says nothing about the target.
    #[display("the path to the target was lost")]
    PathLost,
    /// No byte of the request was sent, as neither this host nor another one has a path to the
    /// target.
    #[display("no host has a path to the target")]
    NoPath,
}

impl ExchangeError {
    /// Returns whether the error says something about the target, and not only about the paths to
    /// it.
    #[must_use]
    pub fn blames_target(self) -> bool {
        !matches!(self, Self::PathLost | Self::NoPath)
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status and header fields.
    pub head: ResponseHead,
    /// Body, without its framing.
    pub body: Bytes,
}

/// Sends a request and reads its complete response. Also returns the connection if it can
/// carry another request.
///
/// # Errors
///
/// Returns the [`ExchangeError`]; the connection is closed.
pub async fn send_message(
    connection: Connection,
    message: &OutgoingRequest,
    host: SocketAddr,
    limit: usize,
) -> Result<(Response, Option<Connection>), ExchangeError> {
    send_message_within(connection, message, host, limit, None).await
}

/// Sends a request like [`send_message`]. The response takes its memory from a budget, if any.
pub(crate) async fn send_message_within(
    connection: Connection,
    message: &OutgoingRequest,
    host: SocketAddr,
    limit: usize,
    budget: Option<&Budget>,
) -> Result<(Response, Option<Connection>), ExchangeError> {
    let mut headers = message.headers.clone();
    headers.push("Host", host.to_string());
    headers.push("Content-Length", message.body.len().to_string());
    let exchange =
        Exchange::begin(connection, message.method, &message.path, &headers, &message.body);
    exchange.await?.collect_within(limit, budget).await
}

/// One request and its response on a connection. The body of the response is read
/// incrementally, while the request is sent.
pub struct Exchange {
    connection: Connection,
    head: ResponseHead,
    body: Body,
    /// Rest of the request, which a target may read only after it has begun to respond.
    unsent: Bytes,
}

impl Exchange {
    /// Sends a request and waits for the head of its response. A target may respond
    /// before it has read a long body, so sending and receiving run concurrently.
    ///
    /// # Errors
    ///
    /// Returns the [`ExchangeError`]; the connection is closed.
    pub async fn begin(
        mut connection: Connection,
        method: &str,
        target: &str,
        headers: &Headers,
        body: &[u8],
    ) -> Result<Self, ExchangeError> {
        let mut bytes = head::request(method, target, headers);
        bytes.extend_from_slice(body);
        let mut unsent = Bytes::from(bytes);
        let head = Self::receive_head(&mut connection, &mut unsent).await?;
        let body = Body::new(head.framing);
        Ok(Self { connection, head, body, unsent })
    }

    async fn receive_head(
        connection: &mut Connection,
        unsent: &mut Bytes,
    ) -> Result<ResponseHead, ExchangeError> {
        let mut received = 0;
        loop {
            match ResponseHead::parse(&mut connection.reader.buffer, MAX_RESPONSE_HEAD) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) if received > MAX_BYTES_BEFORE_BODY => {
                    return Err(ExchangeError::Malformed);
                }
                Ok(None) => {}
                Err(_) => return Err(ExchangeError::Malformed),
            }
            let before = connection.reader.buffer.len();
            match Self::fill(connection, unsent).await {
                Ok(true) => received += connection.reader.buffer.len() - before,
                Ok(false) | Err(_) => return Err(ExchangeError::ConnectionLost),
            }
        }
    }

    /// Receives more bytes, while the rest of the request is sent. Returns `false` at the end of
    /// the stream. The write comes before each read: a target that closes the connection with the
    /// request unread may end the stream before it resets the connection, and the write meets that.
    async fn fill(connection: &mut Connection, unsent: &mut Bytes) -> io::Result<bool> {
        let Connection { reader, writer } = connection;
        if unsent.is_empty() || writer.has_failed() {
            return reader.fill().await;
        }
        let (sending, receiving) = (writer.send_rest(unsent, 0), reader.fill());
        pin_mut!(sending, receiving);
        match select(sending, receiving).await {
            // If the write failed, a response may still have arrived before.
            Either::Left((_, receiving)) => receiving.await,
            Either::Right((received, _)) => received,
        }
    }

    /// Returns the status and header fields of the response.
    #[must_use]
    pub fn head(&self) -> &ResponseHead {
        &self.head
    }

    /// Returns the status and header fields of the response, to be changed.
    pub(crate) fn head_mut(&mut self) -> &mut ResponseHead {
        &mut self.head
    }

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns the [`ExchangeError`]; the connection must not be used again.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.take(&mut self.connection.reader.buffer) {
                Ok(Some(data)) => return Ok(Some(data)),
                Ok(None) if self.body.is_done() => return Ok(None),
                Ok(None) => {}
                Err(_) => return Err(ExchangeError::Malformed),
            }
            match Self::fill(&mut self.connection, &mut self.unsent).await {
                Ok(true) => {}
                Ok(false) => {
                    self.body.end_of_stream().map_err(|_| ExchangeError::ConnectionLost)?;
                }
                Err(_) => return Err(ExchangeError::ConnectionLost),
            }
        }
    }

    /// Reads the body to its end. Also returns the connection if it can carry another
    /// request.
    ///
    /// # Errors
    ///
    /// Returns the [`ExchangeError`], which is [`ExchangeError::TooLarge`] if the body
    /// has more than `limit` bytes.
    pub async fn collect(
        self,
        limit: usize,
    ) -> Result<(Response, Option<Connection>), ExchangeError> {
        self.collect_within(limit, None).await
    }

    /// Reads the body like [`Self::collect`], with memory from a budget, if any.
    async fn collect_within(
        mut self,
        limit: usize,
        budget: Option<&Budget>,
    ) -> Result<(Response, Option<Connection>), ExchangeError> {
        let mut body = Vec::new();
        let mut reservation = budget.map(Budget::reservation);
        while let Some(data) = self.next().await? {
            let fits = reservation.as_mut().is_none_or(|reservation| reservation.grow(data.len()));
            if body.len() + data.len() > limit || !fits {
                return Err(ExchangeError::TooLarge);
            }
            body.extend_from_slice(&data);
        }
        let (head, connection) = self.into_parts();
        Ok((Response { head, body: body.into() }, connection))
    }

    /// Returns the head of the response, and the connection if it can carry another request.
    #[must_use]
    pub fn into_parts(self) -> (ResponseHead, Option<Connection>) {
        let in_sync = self.body.is_done() && self.connection.reader.buffer.is_empty();
        let is_reusable = in_sync && self.unsent.is_empty() && self.head.keep_alive;
        (self.head, is_reusable.then_some(self.connection))
    }
}
