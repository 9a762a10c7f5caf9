use tamarackdock_types::HostName;

use super::Message;
use crate::version::{Checksum, Snapshot, VersionNumber};

/// An action that the config task carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the row `config/head` and pass it to [`super::Propagation::on_head`].
    ReadHead,
    /// Read the rows `config/v/{n}` of the versions after `after` up to `last` and pass them to
    /// [`super::Propagation::on_deltas`].
    ReadDeltas {
        /// Version that is active on this node.
        after: VersionNumber,
        /// Last version to read.
        last: VersionNumber,
    },
    /// Read the full copy from the object store and pass it to
    /// [`super::Propagation::on_copy`].
    ReadCopy {
        /// Number of the version.
        number: VersionNumber,
        /// Checksum of the version, which is part of the object's name.
        checksum: Checksum,
    },
    /// Send a message to a peer. The message may be lost.
    Send {
        /// Host of the peer.
        to: HostName,
        /// Message about the configuration.
        message: Message,
    },
    /// Make this version the active one.
    Activate(Snapshot),
}
