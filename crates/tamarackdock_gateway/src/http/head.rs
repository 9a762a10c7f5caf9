use std::fmt::Write as _;

use bytes::{Buf, BytesMut};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::{Framing, FramingError};

/// Most header fields of a message, more than any expected client or target sends.
const MAX_FIELDS: usize = 96;

/// The reason why a message head was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum HeadError {
    /// The head is longer than the limit, or has too many fields.
    #[display("the head is too large or has too many fields")]
    TooLarge,
    /// The bytes are not a head of HTTP/1.1.
    #[display("the bytes are not a head of HTTP/1.1")]
    Malformed,
    /// The end of the message can't be determined with certainty.
    #[display("the length of the body is ambiguous")]
    Framing,
}

impl From<FramingError> for HeadError {
    fn from(_: FramingError) -> Self {
        Self::Framing
    }
}

/// Header fields, in the order in which they are sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// Adds a field.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push((name.into(), value.into()));
    }

    /// Returns the first value of a field, or `None` if it is absent or not UTF-8.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Removes all fields with a name.
    pub(crate) fn remove(&mut self, name: &str) {
        self.0.retain(|(key, _)| !key.eq_ignore_ascii_case(name));
    }

    /// Returns a field as a number, or `None` if it is absent or not a number.
    #[must_use]
    pub fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.parse().ok()
    }

    /// Returns the names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Returns whether a comma-separated field contains a token, in any case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name)).any(|(_, value)| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    fn from_parsed(fields: &[httparse::Header<'_>]) -> Self {
        Self(fields.iter().map(|field| (field.name.into(), field.value.into())).collect())
    }

    fn write(&self, head: &mut Vec<u8>) {
        for (name, value) in self.iter() {
            head.extend_from_slice(name.as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        }
        head.extend_from_slice(b"\r\n");
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method, in the case in which it was received.
    pub method: String,
    /// Request target, unchanged: the path and query.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
    /// How the end of the body is found.
    pub framing: Framing,
}

impl RequestHead {
    /// Takes a head from the start of the buffer. Returns `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError`] if the buffer does not start with a valid head of at most
    /// `limit` bytes.
    pub fn parse(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let length = match request.parse(buffer) {
            Ok(httparse::Status::Complete(length)) if length <= limit => length,
            Ok(httparse::Status::Partial) if buffer.len() <= limit => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        let headers = Headers::from_parsed(request.headers);
        let http_1_1 = request.version == Some(1);
        let head = Self {
            method: request.method.unwrap_or_default().into(),
            target: request.path.unwrap_or_default().into(),
            keep_alive: keep_alive(&headers, http_1_1),
            framing: Framing::of_request(&headers, http_1_1)?,
            headers,
        };
        buffer.advance(length);
        Ok(Some(head))
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Whether the server keeps the connection open.
    pub keep_alive: bool,
    /// How the end of the body is found.
    pub framing: Framing,
}

impl ResponseHead {
    /// Takes a final head from the start of the buffer. Returns `None` if it is not
    /// complete. Heads of interim responses (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError`] if the buffer does not start with a valid head of at most
    /// `limit` bytes.
    pub fn parse(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, HeadError> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
            let mut response = httparse::Response::new(&mut fields);
            let length = match response.parse(buffer) {
                Ok(httparse::Status::Complete(length)) if length <= limit => length,
                Ok(httparse::Status::Partial) if buffer.len() <= limit => return Ok(None),
                Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
                Err(_) => return Err(HeadError::Malformed),
            };
            let status = response.code.unwrap_or_default();
            let headers = Headers::from_parsed(response.headers);
            let http_1_1 = response.version == Some(1);
            buffer.advance(length);
            match status {
                100..=199 => {}
                0..=99 | 600.. => return Err(HeadError::Malformed),
                _ => {
                    let framing = Framing::of_response(&headers, http_1_1, status)?;
                    let keep_alive =
                        keep_alive(&headers, http_1_1) && framing != Framing::UntilClose;
                    return Ok(Some(Self { status, headers, keep_alive, framing }));
                }
            }
        }
    }
}

fn keep_alive(headers: &Headers, http_1_1: bool) -> bool {
    if http_1_1 {
        !headers.has_token("connection", "close")
    } else {
        headers.has_token("connection", "keep-alive")
    }
}

/// Encodes a request head.
pub(crate) fn request(method: &str, target: &str, headers: &Headers) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    headers.write(&mut head);
    head
}

/// Encodes a response head.
pub(crate) fn response(status: u16, headers: &Headers) -> Vec<u8> {
    let mut line = String::new();
    // Writing to a string does not fail.
    let _ = write!(line, "HTTP/1.1 {status} {}\r\n", reason(status));
    let mut head = line.into_bytes();
    headers.write(&mut head);
    head
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
