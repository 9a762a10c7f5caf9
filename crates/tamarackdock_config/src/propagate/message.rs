use serde::{Deserialize, Serialize};

use crate::version::{Checksum, Delta, VersionNumber};

/// A message between nodes about the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Announces the version that is active on the sender.
    Announce(VersionNumber),
    /// Delivers the deltas that the receiver lacks, in order.
    Deltas(Vec<Delta>),
    /// Requests what follows the version that is active on the sender.
    Ask(VersionNumber),
    /// Requests a full copy, after a delta led to another checksum.
    AskFull,
    /// Delivers a full copy.
    Full {
        /// Number of the version.
        number: VersionNumber,
        /// Checksum of the bytes.
        checksum: Checksum,
        /// Canonical form of the configuration.
        bytes: Vec<u8>,
    },
}
