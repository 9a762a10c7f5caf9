/// Largest sizes that are accepted from the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Size of a head in bytes.
    pub head: usize,
    /// Size of a body in bytes.
    pub body: u64,
    /// Size of one chunk in bytes.
    pub chunk: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head: 16 << 10, body: 16 << 20, chunk: 1 << 20 }
    }
}
