use tamarackdock_types::HostName;

use super::Message;
use crate::version::{Checksum, Number, Snapshot};

/// What the config task has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read `config/head` and give the result to [`super::Propagation::head`].
    ReadHead,
    /// Read the rows `config/v/{n}` after `after` up to `last` and give the result
    /// to [`super::Propagation::deltas`].
    ReadDeltas {
        /// Version that is active.
        after: Number,
        /// Last version to read.
        last: Number,
    },
    /// Read the full copy from the object store and give it to
    /// [`super::Propagation::copy`].
    ReadCopy {
        /// Number of the version.
        number: Number,
        /// Checksum, which names the object.
        checksum: Checksum,
    },
    /// Send a message to a peer; it may be lost.
    Send {
        /// Receiver.
        to: HostName,
        /// Message.
        message: Message,
    },
    /// The version is active from now on.
    Activate(Snapshot),
}
