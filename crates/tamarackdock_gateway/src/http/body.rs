use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

use super::Headers;

/// Longest chunk size line including its extensions, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Longest trailer section, in bytes.
const MAX_TRAILERS: usize = 8 * 1024;

/// The end of a body that consists of chunks.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Encodes a chunk of a body. Empty data would end the body.
pub(crate) fn chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// How a receiver finds the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has the given number of bytes.
    Length(u64),
    /// The body consists of chunks.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

/// A body's framing is ambiguous, or its bytes do not follow it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum FramingError {
    /// Both a length and chunks are declared, or lengths differ, or a length or the
    /// transfer coding is invalid.
    #[display("the length of the body is ambiguous")]
    Ambiguous,
    /// A chunk or the trailer section is malformed.
    #[display("a chunk of the body is malformed")]
    Chunk,
    /// The connection ended before the body did.
    #[display("the body is truncated")]
    Truncated,
}

impl Framing {
    /// Returns the framing of a request's body.
    pub(crate) fn of_request(headers: &Headers, http_1_1: bool) -> Result<Self, FramingError> {
        Ok(Self::declared(headers, http_1_1)?.unwrap_or(Self::Length(0)))
    }

    /// Returns the framing of a response's body, for any request method but HEAD.
    pub(crate) fn of_response(
        headers: &Headers,
        http_1_1: bool,
        status: u16,
    ) -> Result<Self, FramingError> {
        let declared = Self::declared(headers, http_1_1)?;
        match status {
            204 | 304 => Ok(Self::Length(0)),
            _ => Ok(declared.unwrap_or(Self::UntilClose)),
        }
    }

    /// Returns the framing that the header fields declare, or `None` if they declare none.
    fn declared(headers: &Headers, http_1_1: bool) -> Result<Option<Self>, FramingError> {
        let mut length = None;
        let mut chunked = false;
        for (name, value) in headers.iter() {
            if name.eq_ignore_ascii_case("transfer-encoding") {
                let is_chunked = value.trim_ascii().eq_ignore_ascii_case(b"chunked");
                if chunked || !is_chunked || !http_1_1 {
                    return Err(FramingError::Ambiguous);
                }
                chunked = true;
            } else if name.eq_ignore_ascii_case("content-length") {
                let value = decimal(value.trim_ascii()).ok_or(FramingError::Ambiguous)?;
                if length.is_some_and(|earlier| earlier != value) {
                    return Err(FramingError::Ambiguous);
                }
                length = Some(value);
            }
        }
        match (chunked, length) {
            (true, Some(_)) => Err(FramingError::Ambiguous),
            (true, None) => Ok(Some(Self::Chunked)),
            (false, length) => Ok(length.map(Self::Length)),
        }
    }
}

fn decimal(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Data { left: u64, chunked: bool },
    ChunkSize,
    ChunkEnd,
    Trailers { seen: usize },
    UntilClose,
    Done,
}

/// Incremental decoder of a body.
#[derive(Debug)]
pub struct Body(State);

impl Body {
    /// Creates a decoder.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(left) => State::Data { left, chunked: false },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Returns whether the body has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Takes the next data from the buffer. Returns `None` if more bytes are needed or
    /// the body has ended.
    ///
    /// # Errors
    ///
    /// Returns [`FramingError::Chunk`] if the bytes violate the framing.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, FramingError> {
        loop {
            match self.0 {
                State::Done => return Ok(None),
                State::UntilClose | State::Data { .. } if buffer.is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(buffer.split().freeze())),
                State::Data { left, chunked } => {
                    let size =
                        usize::try_from(left).map_or(buffer.len(), |left| left.min(buffer.len()));
                    let left = left - size as u64;
                    self.0 = match (left, chunked) {
                        (0, true) => State::ChunkEnd,
                        (0, false) => State::Done,
                        _ => State::Data { left, chunked },
                    };
                    return Ok(Some(buffer.split_to(size).freeze()));
                }
                State::ChunkSize => match take_line(buffer, MAX_CHUNK_LINE)? {
                    None => return Ok(None),
                    Some(text) => {
                        self.0 = match chunk_size(&text)? {
                            0 => State::Trailers { seen: 0 },
                            left => State::Data { left, chunked: true },
                        }
                    }
                },
                State::ChunkEnd => match take_line(buffer, 0)? {
                    None => return Ok(None),
                    Some(_) => self.0 = State::ChunkSize,
                },
                State::Trailers { seen } => match take_line(buffer, MAX_TRAILERS - seen)? {
                    None => return Ok(None),
                    Some(text) if text.is_empty() => self.0 = State::Done,
                    Some(text) => self.0 = State::Trailers { seen: seen + text.len() },
                },
            }
        }
    }

    /// Tells the decoder that the sender has closed the connection without an error.
    ///
    /// # Errors
    ///
    /// Returns [`FramingError::Truncated`] if the body had not ended.
    pub fn end_of_stream(&mut self) -> Result<(), FramingError> {
        match self.0 {
            State::Done | State::UntilClose => {
                self.0 = State::Done;
                Ok(())
            }
            _ => Err(FramingError::Truncated),
        }
    }
}

/// Takes a line from the buffer and returns it without its CRLF, or `None` if it is
/// not complete. Fails if the line is longer than `limit` bytes.
fn take_line(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, FramingError> {
    match buffer.windows(2).position(|pair| pair == b"\r\n") {
        Some(length) if length <= limit => {
            let text = buffer.split_to(length).freeze();
            buffer.advance(2);
            Ok(Some(text))
        }
        None if buffer.len() <= limit + 1 => Ok(None),
        _ => Err(FramingError::Chunk),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, FramingError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let text = std::str::from_utf8(digits).map_err(|_| FramingError::Chunk)?;
    let valid = (1..=15).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    if valid {
        u64::from_str_radix(text, 16).map_err(|_| FramingError::Chunk)
    } else {
        Err(FramingError::Chunk)
    }
}
