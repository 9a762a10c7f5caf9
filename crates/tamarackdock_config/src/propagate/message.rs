use serde::{Deserialize, Serialize};

use crate::version::{Checksum, Delta, Number};

/// A message between nodes about the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The version that is active on the sender.
    Announce(Number),
    /// Changes that the receiver lacks, in order.
    Deltas(Vec<Delta>),
    /// Asks for what follows the version that is active on the sender.
    Ask(Number),
    /// Asks for a full copy, after a delta gave another checksum.
    AskFull,
    /// A full copy.
    Full {
        /// Number of the version.
        number: Number,
        /// Checksum of the bytes.
        checksum: Checksum,
        /// Canonical form.
        bytes: Vec<u8>,
    },
}
