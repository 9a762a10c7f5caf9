//! Numbered versions of the configuration, their canonical form and the deltas
//! between them. See `docs/design.md`, section 4.

mod canonical;
mod changes;
mod checksum;
mod delta;
mod number;
mod section;
mod snapshot;

#[cfg(test)]
mod tests;

pub use changes::Changes;
pub use checksum::{Checksum, ChecksumError};
pub use delta::{ApplyError, Delta};
pub use number::Number;
pub use section::{Named, Section};
pub use snapshot::{CopyError, Snapshot};
