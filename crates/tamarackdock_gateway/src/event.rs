//! Parser for the server-sent events of targets.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes. Expected events hold up to a few hundred tokens.
const MAX_EVENT: usize = 64 * 1024;

/// Longest separator of events, `\r\n\r\n`.
const SEPARATOR_BYTES: usize = 4;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    /// Bytes as received, including the blank line at the end.
    pub(crate) raw: Bytes,
    /// Value of the `id` field, if it is a number.
    pub(crate) id: Option<u64>,
    /// Values of the `data` fields, joined by line feeds.
    pub(crate) data: String,
    /// New weight version, if the event has the field that announces one.
    pub(crate) version: Option<u64>,
}

/// The event does not follow the last one of its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutOfOrder;

impl Event {
    /// Returns the id of an event that follows the one with the id `last`, or that begins a
    /// stream. A target that is asked to go on after an event may begin at another one, or report
    /// an error as an event without an id.
    pub(crate) fn follow(&self, last: Option<u64>) -> Result<u64, OutOfOrder> {
        match (self.id, last) {
            (Some(id), Some(last)) if last.checked_add(1) == Some(id) => Ok(id),
            (Some(id @ 0..=1), None) => Ok(id),
            _ => Err(OutOfOrder),
        }
    }

    /// Returns whether receivers of the stream ignore the event, such as one that only keeps the
    /// connection open.
    pub(crate) fn is_comment(&self) -> bool {
        self.id.is_none() && self.data.is_empty()
    }
}

/// The bytes are not valid server-sent events, or one event is too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventError;

/// Splits the body of a response into events as its bytes arrive.
#[derive(Debug)]
pub(crate) struct EventParser {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer in which no event ends.
    scanned: usize,
    version_field: String,
}

impl EventParser {
    /// Creates a parser; `version_field` is the name of the field that announces a
    /// new weight version.
    pub(crate) fn new(version_field: &str) -> Self {
        Self {
            buffer: BytesMut::new(),
            scanned: 0,
            version_field: version_field.to_ascii_lowercase(),
        }
    }

    /// Adds received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the buffer holds an incomplete event.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next complete event, or returns `None` if more bytes are needed.
    pub(crate) fn next(&mut self) -> Result<Option<Event>, EventError> {
        let Some(length) = event_length(&self.buffer, self.scanned) else {
            self.scanned = self.buffer.len().saturating_sub(SEPARATOR_BYTES);
            return if self.buffer.len() > MAX_EVENT { Err(EventError) } else { Ok(None) };
        };
        self.scanned = 0;
        let raw = self.buffer.split_to(length).freeze();
        let text = std::str::from_utf8(&raw).map_err(|_| EventError)?;
        let mut event = Event { raw: raw.clone(), id: None, data: String::new(), version: None };
        let mut data_lines = 0;
        for line in text.lines().filter(|line| !line.is_empty()) {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "data" => {
                    if data_lines > 0 {
                        event.data.push('\n');
                    }
                    event.data.push_str(value);
                    data_lines += 1;
                }
                "id" => event.id = value.parse().ok(),
                _ if field == self.version_field => event.version = value.parse().ok(),
                _ => {}
            }
        }
        Ok(Some(event))
    }
}

/// Returns the length of the first event including the blank line after it, which does not end
/// within the first `scanned` bytes.
fn event_length(bytes: &[u8], scanned: usize) -> Option<usize> {
    let line_ends = (scanned..bytes.len()).filter(|at| bytes[*at] == b'\n');
    line_ends.into_iter().find_map(|at| match bytes.get(at + 1..) {
        Some([b'\n', ..]) => Some(at + 2),
        Some([b'\r', b'\n', ..]) if at > 0 && bytes[at - 1] == b'\r' => Some(at + 3),
        _ => None,
    })
}
