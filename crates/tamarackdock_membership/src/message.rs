use serde::{Deserialize, Serialize};
use tamarackdock_types::HostName;

use crate::{Entry, Status};

/// Purpose of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// Asks for an answer with the same number.
    Probe(u64),
    /// Answers a probe.
    Answer(u64),
    /// Asks the receiver to probe a third member.
    ProbeFor {
        /// Member to probe.
        host: HostName,
        /// Number for the answer.
        number: u64,
    },
}

/// A message between members, at most [`crate::MESSAGE_BYTES`] long.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Purpose.
    pub content: Content,
    /// The sender.
    pub sender: Entry,
    /// News and a sample of the other members, at most [`crate::DIGEST_BYTES`].
    pub digest: Vec<Status>,
}
