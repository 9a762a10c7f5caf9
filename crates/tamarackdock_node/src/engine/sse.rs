use bytes::{Bytes, BytesMut};

const PREFIX: &[u8] = b"data:";
const EVENT_END: &[u8] = b"\n\n";

/// Splits a body of server-sent events and returns the data of each event.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    buffer: BytesMut,
}

impl Parser {
    /// Adds received bytes.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event, or `None` until more bytes arrive.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buffer.windows(EVENT_END.len()).position(|w| w == EVENT_END)?;
            let event = self.buffer.split_to(end + EVENT_END.len()).freeze();
            if let Some(data) = event[..end].strip_prefix(PREFIX) {
                return Some(event.slice_ref(data.trim_ascii()));
            }
        }
    }
}
