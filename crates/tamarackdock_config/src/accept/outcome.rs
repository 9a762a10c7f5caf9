use derive_more::{Display, Error};

use crate::version::{Checksum, VersionNumber};

/// An accepted submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Number of the new version.
    pub number: VersionNumber,
    /// Checksum of the new version.
    pub checksum: Checksum,
}

/// The reason why a submission has no accepted version, or why its result is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Rejection {
    /// Another submission on the same base version was accepted first.
    #[display(
        "version {base} is no longer the newest: operation `{}` was accepted as version {}; \
         read the newest configuration, repeat the change on it and submit again",
        winner.as_deref().unwrap_or("unknown"), base.next()
    )]
    Conflict {
        /// Base version of the submission.
        base: VersionNumber,
        /// Operation id of the submission that was accepted instead, or `None` if
        /// the row of its version is no longer kept.
        winner: Option<String>,
    },
    /// The base version doesn't exist in the store.
    #[display(
        "version {base} does not exist, the newest is {head}; base the change on version {head}"
    )]
    UnknownBase {
        /// Base version of the submission.
        base: VersionNumber,
        /// Number of the newest version.
        head: VersionNumber,
    },
    /// The base has the number of the newest version, but another content.
    #[display(
        "the content of version {base} differs from the store's; read the configuration again"
    )]
    DifferentBase {
        /// Base version of the submission.
        base: VersionNumber,
    },
    /// The operation id was already used for another configuration.
    #[display(
        "operation `{operation}` already submitted another configuration; use a new operation id"
    )]
    OperationReused {
        /// Operation id that was used twice.
        operation: String,
    },
    /// A row of the store can't be read by this release.
    #[display("the row `{key}` can't be read; check that all nodes run the same release")]
    UnreadableRow {
        /// Key of the row.
        key: String,
    },
    /// The store did not respond in time, so that the result is not known.
    #[display(
        "the store did not respond; operation `{operation}` may or may not be accepted; \
         submit it again with the same operation id"
    )]
    Unresolved {
        /// Operation id of the submission.
        operation: String,
    },
}
