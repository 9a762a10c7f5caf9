use std::fmt::{self, Write as _};

use bytes::{Buf, BytesMut};
use derive_more::{Display, Error};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{SeqAccess, Visitor},
    ser::SerializeSeq as _,
};

use super::{Framing, FramingError};

/// Header fields that are parsed without an allocation, more than any expected client or target
/// sends. A request with more of them takes memory in proportion to its lines; a response is
/// rejected, before it has arrived if it never ends.
const USUAL_FIELDS: usize = 96;

/// The reason why a message head was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum HeadError {
    /// The head is longer than the limit.
    #[display("the head is too large")]
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

/// Header fields, in the order in which they are sent. Names and values lie in one buffer, so that
/// many short fields take little more memory than their bytes.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Headers {
    /// Names and values, one after the other.
    bytes: Vec<u8>,
    fields: Vec<Field>,
}

/// Where a field ends in [`Headers::bytes`]. It begins where the one before it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Field {
    name_end: u32,
    value_end: u32,
}

impl Headers {
    /// Adds a field. One that would make the fields longer than 4 GB is left out.
    pub fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        let value = value.as_ref();
        let name_end = self.bytes.len() + name.len();
        let ends = (u32::try_from(name_end), u32::try_from(name_end + value.len()));
        if let (Ok(name_end), Ok(value_end)) = ends {
            self.bytes.extend_from_slice(name.as_bytes());
            self.bytes.extend_from_slice(value);
            self.fields.push(Field { name_end, value_end });
        }
    }

    /// Returns the first value of a field, or `None` if it is absent or not UTF-8.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.raw().find(|(key, _)| key.eq_ignore_ascii_case(name.as_bytes()));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Removes all fields with a name.
    pub(crate) fn remove(&mut self, name: &str) {
        if self.raw().all(|(key, _)| !key.eq_ignore_ascii_case(name.as_bytes())) {
            return;
        }
        let mut kept = Self::default();
        let others = self.iter().filter(|(key, _)| !key.eq_ignore_ascii_case(name));
        others.for_each(|(key, value)| kept.push(key, value));
        *self = kept;
    }

    /// Returns a field as a number, or `None` if it is absent or not a number.
    #[must_use]
    pub fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.parse().ok()
    }

    /// Returns the names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        // Names are added as text.
        self.raw().map(|(name, value)| (std::str::from_utf8(name).unwrap_or_default(), value))
    }

    fn raw(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        let mut start = 0;
        self.fields.iter().map(move |field| {
            let (name_end, value_end) = (field.name_end as usize, field.value_end as usize);
            let name = &self.bytes[start..name_end];
            start = value_end;
            (name, &self.bytes[name_end..value_end])
        })
    }

    /// Returns the comma-separated tokens of all fields with a name.
    pub(crate) fn tokens<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        self.raw()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name.as_bytes()))
            .flat_map(|(_, value)| value.split(|byte| *byte == b','))
            .map(<[u8]>::trim_ascii)
    }

    /// Returns whether a comma-separated field contains a token, in any case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name).any(|part| part.eq_ignore_ascii_case(token.as_bytes()))
    }

    fn from_parsed(fields: &[httparse::Header<'_>]) -> Self {
        let bytes = fields.iter().map(|field| field.name.len() + field.value.len()).sum();
        let mut headers =
            Self { bytes: Vec::with_capacity(bytes), fields: Vec::with_capacity(fields.len()) };
        for field in fields {
            headers.push(field.name, field.value);
        }
        headers
    }

    /// Returns the bytes of memory that the fields use.
    pub(crate) fn memory(&self) -> usize {
        self.bytes.capacity() + self.fields.capacity() * size_of::<Field>()
    }

    fn write(&self, head: &mut Vec<u8>) {
        for (name, value) in self.raw() {
            head.extend_from_slice(name);
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        }
        head.extend_from_slice(b"\r\n");
    }
}

impl fmt::Debug for Headers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fields: Vec<_> = self.iter().collect();
        formatter.debug_tuple("Headers").field(&fields).finish()
    }
}

/// The fields are a sequence of pairs of a name and a value in messages to other nodes and in rows.
impl Serialize for Headers {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut sequence = serializer.serialize_seq(Some(self.fields.len()))?;
        for field in self.iter() {
            sequence.serialize_element(&field)?;
        }
        sequence.end()
    }
}

impl<'de> Deserialize<'de> for Headers {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Fields;
        impl<'de> Visitor<'de> for Fields {
            type Value = Headers;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a sequence of header fields")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Headers, A::Error> {
                let mut headers = Headers::default();
                while let Some((name, value)) = sequence.next_element::<(String, Vec<u8>)>()? {
                    headers.push(&name, value);
                }
                Ok(headers)
            }
        }
        deserializer.deserialize_seq(Fields)
    }
}

/// Looks for the end of a head in bytes that arrive one part after the other, and looks at each
/// of them once.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeadEnd {
    /// Bytes that contain no end.
    searched: usize,
    /// Whether the first line has begun. Empty lines before it are skipped.
    has_begun: bool,
}

impl HeadEnd {
    /// Returns the length of the head at the start of the buffer, or `None` if it is not complete.
    pub(crate) fn find(&mut self, buffer: &[u8]) -> Option<usize> {
        if !self.has_begun {
            let blank = |byte: &u8| matches!(byte, b'\r' | b'\n');
            let skipped = buffer[self.searched..].iter().take_while(|byte| blank(byte)).count();
            self.searched += skipped;
            self.has_begun = self.searched < buffer.len();
        }
        loop {
            let rest = &buffer[self.searched..];
            let Some(line) = rest.iter().position(|byte| *byte == b'\n') else {
                self.searched = buffer.len();
                return None;
            };
            let end = self.searched + line + 1;
            match &rest[line + 1..] {
                [b'\n', ..] => return Some(end + 1),
                [b'\r', b'\n', ..] => return Some(end + 2),
                // The next bytes may end the head.
                [] | [b'\r'] => {
                    self.searched += line;
                    return None;
                }
                _ => self.searched = end,
            }
        }
    }
}

/// Calls a parser with room for the header fields of a head.
fn with_fields<'a, T>(
    head: &'a [u8],
    mut parse: impl FnMut(&mut [httparse::Header<'a>]) -> Result<T, httparse::Error>,
) -> Result<T, httparse::Error> {
    match parse(&mut [httparse::EMPTY_HEADER; USUAL_FIELDS]) {
        Err(httparse::Error::TooManyHeaders) => {
            let lines = head.split(|byte| *byte == b'\n').count();
            parse(&mut vec![httparse::EMPTY_HEADER; lines])
        }
        result => result,
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
        Self::parse_next(buffer, &mut HeadEnd::default(), limit)
    }

    /// Takes a head from the start of the buffer like [`Self::parse`]. `search` looks for its end,
    /// and has looked at the bytes of earlier calls that returned `None`.
    pub(crate) fn parse_next(
        buffer: &mut BytesMut,
        search: &mut HeadEnd,
        limit: usize,
    ) -> Result<Option<Self>, HeadError> {
        match search.find(buffer) {
            None if buffer.len() <= limit => Ok(None),
            Some(end) if end <= limit => {
                *search = HeadEnd::default();
                Self::take(buffer, end).map(Some)
            }
            None | Some(_) => Err(HeadError::TooLarge),
        }
    }

    /// Takes a head that ends after `end` bytes from the start of the buffer.
    fn take(buffer: &mut BytesMut, end: usize) -> Result<Self, HeadError> {
        let parsed = with_fields(&buffer[..end], |fields| {
            let mut request = httparse::Request::new(fields);
            let status = request.parse(&buffer[..end])?;
            let line = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
            let headers = Headers::from_parsed(request.headers);
            Ok((status, line, headers, request.version == Some(1)))
        });
        let Ok((httparse::Status::Complete(length), line, headers, http_1_1)) = parsed else {
            return Err(HeadError::Malformed);
        };
        let (method, target) = line;
        let head = Self {
            method: method.into(),
            target: target.into(),
            keep_alive: keep_alive(&headers, http_1_1),
            framing: Framing::of_request(&headers, http_1_1)?,
            headers,
        };
        buffer.advance(length);
        Ok(head)
    }

    /// Returns the bytes of memory that the head uses.
    pub(crate) fn memory(&self) -> usize {
        self.method.capacity() + self.target.capacity() + self.headers.memory()
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
            let mut fields = [httparse::EMPTY_HEADER; USUAL_FIELDS];
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
            if has_bare_line_feed(&buffer[..length]) {
                return Err(HeadError::Malformed);
            }
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

/// Returns whether a line of a head ends without a carriage return. The parser accepts such ends, so
/// that a line feed within a field ends the line, and one at the start of a field ends the head. See
/// `docs/incidents/odd-fields.md`.
fn has_bare_line_feed(head: &[u8]) -> bool {
    head.split_inclusive(|byte| *byte == b'\n').any(|line| !line.ends_with(b"\r\n"))
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
