use derive_more::{Display, Error as StdError};
use tamarackdock_types::call::Ran;

use crate::validation;

/// Why a call has no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, StdError)]
pub enum Error {
    /// No connection was established, so nothing was sent.
    #[display("can't connect")]
    Connect,
    /// The connection was closed or had unread input before anything was sent on it.
    #[display("the connection was closed or had unexpected input before the call")]
    ClosedBeforeSend,
    /// The connection was lost before the response was complete.
    #[display("the connection broke")]
    ConnectionLost,
    /// The request could not be sent, or nothing was received, within a timeout.
    #[display("no byte arrived in time")]
    TimedOut,
    /// The response violates HTTP/1.1 or exceeds a limit.
    #[display("the response is not valid: {_0}")]
    Invalid(#[error(not(source))] validation::Error),
}

impl Error {
    /// Returns whether the other side may have run the call.
    #[must_use]
    pub fn ran(self) -> Ran {
        match self {
            Self::Connect | Self::ClosedBeforeSend => Ran::No,
            Self::ConnectionLost | Self::TimedOut | Self::Invalid(_) => Ran::Unknown,
        }
    }
}
