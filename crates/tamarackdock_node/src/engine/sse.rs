use bytes::{Bytes, BytesMut};

/// Splits a body of server-sent events and returns the data of each event. Lines end with LF or
/// CRLF.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    buffer: BytesMut,
}

impl Parser {
    /// Adds received bytes.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event, or `None` until more bytes arrive. Events
    /// without data are skipped.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        loop {
            let length = event_length(&self.buffer)?;
            let event = self.buffer.split_to(length).freeze();
            let data: Vec<&[u8]> = event
                .split(|byte| *byte == b'\n')
                .filter_map(|line| line.strip_prefix(b"data:"))
                .map(<[u8]>::trim_ascii)
                .collect();
            match &data[..] {
                [] => {}
                [line] => return Some(event.slice_ref(line)),
                lines => return Some(lines.join(&b'\n').into()),
            }
        }
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_ends = (0..bytes.len()).filter(|at| bytes[*at] == b'\n');
    line_ends.find_map(|at| match bytes.get(at + 1..) {
        Some([b'\n', ..]) => Some(at + 2),
        Some([b'\r', b'\n', ..]) => Some(at + 3),
        _ => None,
    })
}
