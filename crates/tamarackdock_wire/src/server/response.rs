use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::Serialize;
use tamarackdock_types::refusal::Refusal;

use crate::stream;

/// The body of a response.
pub enum Body {
    /// A body that is available as a whole.
    Full(Bytes),
    /// A body that is sent in chunks as its pieces are produced.
    Stream {
        /// Receiver of the pieces.
        pieces: stream::Receiver,
        /// Work that produces the pieces. It is dropped with the connection, so
        /// that a caller who closes it cancels the work.
        producer: LocalBoxFuture<'static, ()>,
    },
}

/// The response to a request.
pub struct Response {
    /// Status, any but an interim (1xx) one.
    pub status: StatusCode,
    /// Header fields. Those that frame the body or control the connection are
    /// added by the server, and ignored here.
    pub headers: HeaderMap,
    /// Body; not sent with status 204 or 304, nor in answers to HEAD.
    pub body: Body,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: String,
    message: &'a str,
    ran: String,
}

impl Response {
    /// Creates a response whose body is available as a whole.
    #[must_use]
    pub fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        Self { status, headers, body: Body::Full(body.into()) }
    }

    /// Creates a JSON response. A value that can't be serialized gives a 500.
    #[must_use]
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, "application/json", body),
            Err(_) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, "application/json", "{}"),
        }
    }

    /// Creates a response with a streamed body.
    #[must_use]
    pub fn stream(
        status: StatusCode,
        content_type: HeaderValue,
        pieces: stream::Receiver,
        producer: LocalBoxFuture<'static, ()>,
    ) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, content_type);
        Self { status, headers, body: Body::Stream { pieces, producer } }
    }
}

impl From<&Refusal> for Response {
    fn from(refusal: &Refusal) -> Self {
        let status = StatusCode::from_u16(refusal.code.status());
        let fields = ErrorFields {
            code: refusal.code.to_string(),
            message: &refusal.message,
            ran: refusal.ran.to_string(),
        };
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = Self::json(status, &ErrorBody { error: fields });
        if let Some(span) = refusal.retry_after {
            let seconds = span.as_millis().div_ceil(1000).max(1);
            let value = HeaderValue::from_str(&seconds.to_string());
            response.headers.extend(value.ok().map(|value| (header::RETRY_AFTER, value)));
        }
        response
    }
}

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        Self::from(&refusal)
    }
}
