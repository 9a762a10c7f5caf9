//! Server-sent events as targets send them.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes. An event of the design holds up to a few hundred tokens.
const MAX_EVENT: usize = 1024 * 1024;

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    /// Bytes with the blank line at the end.
    pub(crate) raw: Bytes,
    /// Id, if the event has a numeric one.
    pub(crate) id: Option<u64>,
    /// Data lines, joined by line feeds.
    pub(crate) data: String,
    /// Value of the field that names a change of the weights.
    pub(crate) version: Option<u64>,
}

/// The bytes are no events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NotEvents;

/// Splits the body of a response into events.
#[derive(Debug)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    version_field: String,
}

impl Splitter {
    /// Makes a splitter; `version_field` names the field of a changed version.
    pub(crate) fn new(version_field: &str) -> Self {
        Self { buffer: BytesMut::new(), version_field: version_field.to_ascii_lowercase() }
    }

    /// Adds bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether bytes of an event without its end are left.
    pub(crate) fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next whole event.
    pub(crate) fn next(&mut self) -> Result<Option<Event>, NotEvents> {
        let Some(length) = block_length(&self.buffer) else {
            return if self.buffer.len() > MAX_EVENT { Err(NotEvents) } else { Ok(None) };
        };
        let raw = self.buffer.split_to(length).freeze();
        let text = std::str::from_utf8(&raw).map_err(|_| NotEvents)?;
        let mut event = Event { raw: raw.clone(), id: None, data: String::new(), version: None };
        let mut lines = 0;
        for line in text.lines().filter(|line| !line.is_empty()) {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "data" => {
                    if lines > 0 {
                        event.data.push('\n');
                    }
                    event.data.push_str(value);
                    lines += 1;
                }
                "id" => event.id = value.parse().ok(),
                _ if field == self.version_field => event.version = value.parse().ok(),
                _ => {}
            }
        }
        Ok(Some(event))
    }
}

/// Returns the length of the first event with the blank line after it.
fn block_length(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = bytes.windows(4).position(|pair| pair == b"\r\n\r\n").map(|at| at + 4);
    match (plain, carriage) {
        (Some(plain), Some(carriage)) => Some(plain.min(carriage)),
        (plain, carriage) => plain.or(carriage),
    }
}
