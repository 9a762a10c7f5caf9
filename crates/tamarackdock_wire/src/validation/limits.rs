/// Largest sizes accepted from the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a head, with its first line and final empty line.
    pub head: usize,
    /// Bytes of a body, without chunk sizes and line ends.
    pub body: u64,
    /// Bytes of one chunk's data.
    pub chunk: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head: 16 << 10, body: 16 << 20, chunk: 1 << 20 }
    }
}
