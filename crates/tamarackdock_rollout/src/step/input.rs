use bytes::Bytes;
use tamarackdock_types::{TargetName, weight::Version};

use crate::attempt::Attempt;

/// An event that the step must handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// An attempt was sent to a target.
    Started {
        /// Id from [`Action::Start`](super::Action::Start).
        attempt: Attempt,
        /// Target that runs the attempt.
        target: TargetName,
    },
    /// An attempt generated tokens.
    TokensGenerated {
        /// Id from [`Action::Start`](super::Action::Start).
        attempt: Attempt,
        /// Number of the sample's tokens before these, including resumed ones.
        /// It shows which tokens are duplicates and whether some were lost.
        position: u32,
        /// Ids of the new tokens.
        tokens: Vec<u32>,
        /// Text that the new tokens stand for.
        text: String,
        /// Weight version that the engine reported for these tokens.
        version: Version,
    },
    /// An attempt has generated all tokens of its sample.
    Finished {
        /// Id from [`Action::Start`](super::Action::Start).
        attempt: Attempt,
        /// Number of the sample's tokens, including resumed ones.
        tokens: u32,
    },
    /// An attempt ended early.
    AttemptFailed {
        /// Id from [`Action::Start`](super::Action::Start).
        attempt: Attempt,
    },
    /// A newer weight version was published.
    WeightsChanged(Version),
    /// The largest number of attempts that may run at once changed.
    AttemptLimit(usize),
    /// The number of further attempts for which the targets have capacity now.
    /// Second attempts start only on this input.
    IdleCapacity(usize),
    /// An object was stored.
    ObjectStored(String),
    /// An object was not stored, or the outcome is unknown.
    ObjectFailed(String),
    /// An object was read.
    ObjectRead {
        /// Name from [`Action::LoadObject`](super::Action::LoadObject).
        name: String,
        /// Content of the object.
        bytes: Bytes,
    },
    /// An object could not be read.
    ObjectReadFailed(String),
    /// The commit of the manifest took effect.
    ManifestCommitted {
        /// Id of the commit.
        operation: String,
        /// New revision of the row.
        revision: u64,
    },
    /// The commit had no effect, since the row had another revision.
    ManifestConflict {
        /// Id of the commit.
        operation: String,
    },
    /// The outcome of the commit is unknown.
    ManifestUnknown {
        /// Id of the commit.
        operation: String,
    },
    /// The manifest row was read.
    ManifestRead {
        /// Revision of the row, 0 for an absent row.
        revision: u64,
        /// Value of the row, or `None` for an absent row.
        value: Option<String>,
    },
    /// The manifest row could not be read.
    ManifestReadFailed,
    /// The trainer reads samples.
    Read {
        /// Delivery position of the first sample.
        cursor: u32,
    },
    /// The trainer acknowledged samples.
    Acknowledged {
        /// Delivery position before which it has all samples.
        cursor: u32,
    },
    /// Time has passed. Ticks come at least once a second.
    Tick,
}
