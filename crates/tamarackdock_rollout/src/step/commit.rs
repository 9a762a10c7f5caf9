use tamarackdock_types::clock::Instant;

use crate::manifest::Manifest;

/// Where the write of the manifest row stands.
#[derive(Debug)]
pub(super) enum Commit {
    /// No write is in flight.
    Idle,
    /// A write is in flight.
    Sending { operation: String, manifest: Box<Manifest> },
    /// The row is read back at a time.
    ReadBack { at: Instant },
    /// The row is being read.
    Reading,
}
