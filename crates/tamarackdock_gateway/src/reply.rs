use std::time::Duration;

use bytes::Bytes;

use crate::http::Headers;

/// A whole answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    /// Status code.
    pub(crate) status: u16,
    /// Header fields without framing.
    pub(crate) headers: Headers,
    /// Body.
    pub(crate) body: Bytes,
    /// Whether the connection is closed after the answer.
    pub(crate) close: bool,
}

impl Reply {
    /// Makes an answer from its body.
    pub(crate) fn new(status: u16, media_type: &str, body: impl Into<Bytes>) -> Self {
        let mut headers = Headers::default();
        headers.push("Content-Type", media_type);
        Self { status, headers, body: body.into(), close: false }
    }

    /// Makes an empty answer.
    pub(crate) fn empty(status: u16) -> Self {
        Self { status, headers: Headers::default(), body: Bytes::new(), close: false }
    }

    /// Makes an answer that says what is wrong and what to do.
    pub(crate) fn error(status: u16, message: &str) -> Self {
        Self::new(status, "text/plain; charset=utf-8", format!("{message}\n"))
    }

    /// Makes a refusal of a request that has not run, with the time after which
    /// another try makes sense.
    pub(crate) fn not_run(message: &str, retry_after: Duration) -> Self {
        let mut reply = Self::error(503, message);
        reply.headers.push("Retry-After", format!("{:.2}", retry_after.as_secs_f64()));
        reply
    }

    /// Closes the connection after the answer.
    pub(crate) fn closing(mut self) -> Self {
        self.close = true;
        self
    }
}
