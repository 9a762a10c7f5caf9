/// Counts of a proxy's connections and of the bytes that it forwarded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections accepted in total.
    pub connections: u64,
    /// Connections that are currently open.
    pub open_connections: u64,
    /// Bytes forwarded to the target.
    pub bytes_to_target: u64,
    /// Bytes forwarded to callers.
    pub bytes_to_caller: u64,
    /// Bytes received from the target and not forwarded to callers because of a fault.
    pub bytes_withheld: u64,
}
