use derive_more::{Display, Error};
use tamarackdock_types::call::Ran;
use tamarackdock_wire::client;

/// The reason why a peer gave no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum Failure {
    /// The connection failed.
    #[display("{_0}")]
    Connection(#[error(not(source))] client::Error),
    /// The reply can't be read, or the peer runs another version.
    #[display("the peer's reply can't be read")]
    Malformed,
}

impl Failure {
    /// Returns whether the peer may have acted on the message.
    pub(crate) fn ran(self) -> Ran {
        match self {
            Self::Connection(error) => error.ran(),
            Self::Malformed => Ran::Unknown,
        }
    }
}
