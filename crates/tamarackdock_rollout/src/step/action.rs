use std::sync::Arc;

use bytes::Bytes;
use tamarackdock_types::TargetName;

use crate::{attempt::Attempt, manifest, slot::Slot};

/// How an attempt ranks among the attempts of its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// First attempt of a slot.
    Normal,
    /// Repeated, resumed or second attempt, which the rest of its group waits for.
    High,
}

/// What the holder does next.
#[derive(Debug)]
pub enum Action {
    /// Start an attempt.
    Start {
        /// Attempt.
        attempt: Attempt,
        /// Slot.
        slot: Slot,
        /// Prompt.
        prompt: Arc<str>,
        /// Tokens to continue after.
        resume: Vec<u32>,
        /// Rank.
        priority: Priority,
        /// Target to avoid if there is another one.
        avoid: Option<TargetName>,
    },
    /// Cancel an attempt.
    Cancel {
        /// Attempt.
        attempt: Attempt,
    },
    /// Store an object.
    StoreChunk {
        /// Name.
        name: String,
        /// Content.
        bytes: Bytes,
    },
    /// Read an object.
    LoadChunk {
        /// Name.
        name: String,
    },
    /// Write the manifest row.
    CommitManifest {
        /// Operation id.
        operation: String,
        /// Revision that the row must have, 0 for absent.
        revision: u64,
        /// New value.
        value: String,
    },
    /// Read the manifest row.
    ReadManifest,
    /// Hand over samples.
    Deliver {
        /// Position of the first sample.
        cursor: u32,
        /// Position to read next.
        next: u32,
        /// Encoded samples; none at the end of the step.
        samples: Vec<Bytes>,
    },
    /// The position is not recorded yet; a `Deliver` follows.
    Wait {
        /// Position.
        cursor: u32,
    },
    /// The position is outside of the step, inside a group, or acknowledged
    /// before it was recorded.
    Reject {
        /// Position.
        cursor: u32,
    },
    /// A later holder has written the manifest; this one stops.
    Deposed,
    /// The manifest row can't be decoded.
    Corrupt(manifest::Error),
    /// All samples are recorded and acknowledged.
    Complete,
}
