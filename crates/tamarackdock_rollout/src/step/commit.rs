use tamarackdock_types::clock::Instant;

use crate::manifest::Manifest;

/// The state of the write of the manifest row.
#[derive(Debug)]
pub(super) enum Commit {
    /// No write is in flight.
    Idle,
    /// A write is in flight.
    Sending { operation: String, manifest: Box<Manifest> },
    /// The last write failed or its outcome is unknown; the row is read at a time.
    ReadBack { at: Instant },
    /// The row is being read to learn its content.
    Reading,
}
