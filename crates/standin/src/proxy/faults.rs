use std::time::Duration;

/// Faults of a proxy. They act on open connections and on new ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Closes open connections, and new ones as soon as they are accepted.
    pub cut_off: bool,
    /// Time by which each chunk is delayed in both directions.
    pub delay: Duration,
    /// Forwards no bytes in either direction and keeps connections open.
    pub silent: bool,
    /// Forwards this many more bytes to callers, over all connections together, and then
    /// none, as with `silent`. `None` for no limit.
    pub silent_after: Option<u64>,
    /// Forwards requests and closes the connection when the first bytes of the response
    /// arrive.
    pub lose_responses: bool,
}
