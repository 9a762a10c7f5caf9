use std::time::Duration;

/// Faults of a proxy. They act on open connections and on new ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Breaks open connections and new ones.
    pub cut: bool,
    /// Delays each piece in both directions.
    pub delay: Duration,
    /// Passes no byte in either direction and keeps connections open.
    pub silent: bool,
    /// Passes this many more bytes back to callers, over all connections,
    /// then behaves as `silent` does towards callers.
    pub silent_after: Option<u64>,
    /// Passes requests on and breaks the connection when the response comes.
    pub lose_responses: bool,
}
