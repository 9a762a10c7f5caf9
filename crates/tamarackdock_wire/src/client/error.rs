use derive_more::{Display, Error as StdError};
use tamarackdock_types::call::Ran;

use crate::guard;

/// The reason why a call has no whole response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, StdError)]
pub enum Error {
    /// No connection was made, so that nothing was sent.
    #[display("can't connect")]
    Connect,
    /// The connection carried bytes or was closed before anything was sent on it.
    #[display("the connection was closed or out of step before the call")]
    OutOfStep,
    /// The connection broke before the response was whole.
    #[display("the connection broke")]
    Broken,
    /// The other side was silent for longer than allowed.
    #[display("no byte arrived in time")]
    Silent,
    /// The response breaks a rule of HTTP/1.1 or a limit.
    #[display("the response is not valid: {_0}")]
    Invalid(#[error(not(source))] guard::Error),
}

impl Error {
    /// Returns whether the call may have run.
    #[must_use]
    pub fn ran(self) -> Ran {
        match self {
            Self::Connect | Self::OutOfStep => Ran::No,
            Self::Broken | Self::Silent | Self::Invalid(_) => Ran::Unknown,
        }
    }
}
