use tamarackdock_types::HostName;

use crate::{Health, Message, Peer};

/// What the membership task has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: Peer,
        /// Message.
        message: Message,
    },
    /// Tell the other tasks of a member's new health.
    Changed {
        /// Member.
        host: HostName,
        /// Health.
        health: Health,
    },
}
