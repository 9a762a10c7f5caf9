use tamarackdock_types::HostName;

use crate::{Health, Message, Peer};

/// An action that the membership task carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message, which may be lost.
    Send {
        /// Member that receives the message.
        to: Peer,
        /// Probe, answer or probe request, with a digest.
        message: Message,
    },
    /// Notify the other tasks that a member's health has changed.
    Changed {
        /// Host of the member.
        host: HostName,
        /// New health.
        health: Health,
    },
}
