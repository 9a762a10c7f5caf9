//! Numbered versions of the configuration, their canonical form and the deltas
//! between them. See `docs/design.md`, section 4.

mod canonical;
mod changes;
mod checksum;
mod delta;
mod list_changes;
mod number;
mod snapshot;

#[cfg(test)]
mod tests;

pub use changes::Changes;
pub use checksum::{Checksum, ChecksumError};
pub use delta::{ApplyError, Delta};
pub use list_changes::{ListChanges, Named};
pub use number::VersionNumber;
pub use snapshot::{Snapshot, SnapshotError};
