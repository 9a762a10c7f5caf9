use std::time::Duration;

use bytes::Bytes;

use crate::http::Headers;

/// A complete response to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// Header fields without framing.
    pub(crate) headers: Headers,
    pub(crate) body: Bytes,
    /// Whether the connection is closed after the response.
    pub(crate) close: bool,
}

impl Reply {
    /// Creates a response with a body.
    pub(crate) fn new(status: u16, media_type: &str, body: impl Into<Bytes>) -> Self {
        let mut headers = Headers::default();
        headers.push("Content-Type", media_type);
        Self { status, headers, body: body.into(), close: false }
    }

    /// Creates a response without a body.
    pub(crate) fn empty(status: u16) -> Self {
        Self { status, headers: Headers::default(), body: Bytes::new(), close: false }
    }

    /// Creates an error response whose body is the message.
    pub(crate) fn error(status: u16, message: &str) -> Self {
        Self::new(status, "text/plain; charset=utf-8", format!("{message}\n"))
    }

    /// Creates a refusal (503) of a request that has not run, with the time after which
    /// the client should retry.
    pub(crate) fn not_run(message: &str, retry_after: Duration) -> Self {
        let mut reply = Self::error(503, message);
        reply.headers.push("Retry-After", format!("{:.2}", retry_after.as_secs_f64()));
        reply
    }

    /// Makes the connection close after the response.
    pub(crate) fn closing(mut self) -> Self {
        self.close = true;
        self
    }
}
