use bytes::Bytes;
use tamarackdock_types::{TargetName, weight::Version};

use crate::attempt::Attempt;

/// A message to the step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// An attempt runs on a target.
    Started {
        /// Attempt.
        attempt: Attempt,
        /// Target.
        target: TargetName,
    },
    /// An attempt generated tokens.
    Piece {
        /// Attempt.
        attempt: Attempt,
        /// Count of the sample's tokens before this piece, resumed ones
        /// included. It tells duplicated and lost pieces.
        position: u32,
        /// Token ids.
        tokens: Vec<u32>,
        /// Text of the tokens.
        text: String,
        /// Weight version that the engine reported.
        version: Version,
    },
    /// An attempt is complete.
    Finished {
        /// Attempt.
        attempt: Attempt,
        /// Count of the sample's tokens, resumed ones included.
        tokens: u32,
    },
    /// An attempt ended early.
    AttemptFailed {
        /// Attempt.
        attempt: Attempt,
    },
    /// The newest version changed.
    WeightsChanged(Version),
    /// Largest count of attempts in progress.
    Limit(usize),
    /// Attempts that the targets could run at once in addition.
    Idle(usize),
    /// An object was stored.
    ObjectStored(String),
    /// An object was not stored, or the outcome is unknown.
    ObjectFailed(String),
    /// An object was read.
    ObjectRead {
        /// Name.
        name: String,
        /// Content.
        bytes: Bytes,
    },
    /// An object could not be read.
    ObjectReadFailed(String),
    /// The commit of the manifest took effect.
    ManifestCommitted {
        /// Operation id of the commit.
        operation: String,
        /// New revision of the row.
        revision: u64,
    },
    /// The row had another revision.
    ManifestConflict {
        /// Operation id of the commit.
        operation: String,
    },
    /// The outcome of the commit is unknown.
    ManifestUnknown {
        /// Operation id of the commit.
        operation: String,
    },
    /// The manifest row was read back.
    ManifestRead {
        /// Revision, 0 for an absent row.
        revision: u64,
        /// Value, or `None` for an absent row.
        value: Option<String>,
    },
    /// The manifest row could not be read.
    ManifestReadFailed,
    /// The trainer asks for the samples from a delivery position.
    Read {
        /// Position.
        cursor: u32,
    },
    /// The trainer has the samples before a delivery position.
    Acknowledged {
        /// Position.
        cursor: u32,
    },
    /// Time has passed. Ticks come at least once a second.
    Tick,
}
