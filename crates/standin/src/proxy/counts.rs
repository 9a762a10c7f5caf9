/// What a proxy has passed on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections accepted.
    pub connections: u64,
    /// Connections open at present.
    pub open: u64,
    /// Bytes passed to the target.
    pub sent: u64,
    /// Bytes passed back to the caller.
    pub returned: u64,
    /// Bytes from the target that were withheld.
    pub withheld: u64,
}
