use derive_more::{Display, Error};
use tamarackdock_types::call::Ran;
use tamarackdock_wire::client;

/// The reason why a peer gave no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum CallError {
    /// The connection failed, or no reply came in time.
    #[display("{_0}")]
    Connection(#[error(not(source))] client::Error),
    /// The message can't be encoded, the reply can't be decoded, for example because the peer
    /// runs another version, or its status is not 200.
    #[display("the message can't be encoded, or the peer's reply is not valid")]
    Malformed,
}

impl CallError {
    /// Returns whether the peer may have acted on the message.
    pub(crate) fn ran(self) -> Ran {
        match self {
            Self::Connection(error) => error.ran(),
            Self::Malformed => Ran::Unknown,
        }
    }
}
