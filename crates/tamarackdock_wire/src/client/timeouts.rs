use std::time::Duration;

/// How long a call waits for the other side. A connection can stall without
/// being closed, so every wait is bounded.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time to establish the connection.
    pub connect: Duration,
    /// Time to send the request, and again from then to the final head of the response.
    pub first_byte: Duration,
    /// Time between two pieces of the body.
    pub between_bytes: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(30),
            between_bytes: Duration::from_secs(10),
        }
    }
}
