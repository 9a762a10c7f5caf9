use serde::{Deserialize, Serialize};
use tamarackdock_types::HostName;

use crate::{Entry, Status};

/// The probe, answer or probe request that a message carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// Requests an answer with the same number.
    Probe(u64),
    /// Answers the probe with this number.
    Answer(u64),
    /// Requests that the receiver probes a third member on the sender's behalf.
    ProbeFor {
        /// Host of the member to probe.
        host: HostName,
        /// Number that the answer must have.
        number: u64,
    },
}

/// A message between members, at most [`crate::MESSAGE_BYTES`] long.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Request or answer.
    pub content: Content,
    /// The sender's own entry.
    pub sender: Entry,
    /// Recent changes and a sample of the other members, at most [`crate::DIGEST_BYTES`] long.
    pub digest: Vec<Status>,
}
