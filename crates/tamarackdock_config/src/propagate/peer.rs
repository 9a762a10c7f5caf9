use crate::version::VersionNumber;

/// What a node knows about a peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Version that the peer named last, or `None` before its first message.
    pub(crate) version: Option<VersionNumber>,
}
