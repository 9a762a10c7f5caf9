use std::time::Duration;

use crate::{flag::Flag, validation::Limits};

/// Limits and timeouts of a listener's connections.
#[derive(Debug, Clone)]
pub struct Options {
    /// Largest sizes accepted from callers.
    pub limits: Limits,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// How long a request may take to arrive, so that slow writers don't keep connections open.
    pub request_timeout: Duration,
    /// How long one write to a slow reader may take.
    pub write_timeout: Duration,
    /// Set when callers should close: responses carry `Connection: close` from then on.
    pub closing: Flag,
    /// How long input is read and dropped after the last response. Closing a
    /// socket with unread input resets it, and a reset can destroy a response
    /// on its way (RFC 9112, section 9.6).
    pub linger_timeout: Duration,
    /// Set when the listener must stop. Requests in progress are finished.
    pub stop: Flag,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            idle_timeout: Duration::from_secs(75),
            request_timeout: Duration::from_secs(20),
            write_timeout: Duration::from_secs(20),
            closing: Flag::new(),
            linger_timeout: Duration::from_secs(2),
            stop: Flag::new(),
        }
    }
}
