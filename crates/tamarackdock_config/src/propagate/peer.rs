use crate::version::Number;

/// What a node knows of a peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Version that the peer named last; `None` before its first message.
    pub(crate) version: Option<Number>,
}
