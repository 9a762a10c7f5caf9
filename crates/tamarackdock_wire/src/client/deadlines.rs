use std::time::Duration;

/// How long a call may wait for the other side. Connections can go silent
/// without being closed, so that every wait has a bound.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// Until the connection is made.
    pub connect: Duration,
    /// From the request to the head of the response.
    pub first_byte: Duration,
    /// Between two pieces of the body.
    pub between_bytes: Duration,
}

impl Default for Deadlines {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(30),
            between_bytes: Duration::from_secs(10),
        }
    }
}
