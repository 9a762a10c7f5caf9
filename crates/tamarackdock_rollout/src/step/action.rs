use std::sync::Arc;

use bytes::Bytes;
use tamarackdock_types::TargetName;

use crate::{attempt::Attempt, manifest, slot::Slot};

/// Priority of an attempt among the attempts of its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// First attempt of a slot.
    Normal,
    /// Repeated, resumed or second attempt. The rest of its group waits for it.
    High,
}

/// An action that the holder must take, or a notice to it.
#[derive(Debug)]
pub enum Action {
    /// Start an attempt.
    Start {
        /// Id for later inputs and actions on the attempt.
        attempt: Attempt,
        /// Slot for which it generates a sample.
        slot: Slot,
        /// Prompt of the slot's group.
        prompt: Arc<str>,
        /// Ids of the generated tokens after which it continues; empty to start
        /// from the prompt.
        resume: Vec<u32>,
        /// Priority within the step.
        priority: Priority,
        /// Target to avoid if there is another one.
        avoid: Option<TargetName>,
    },
    /// Cancel an attempt.
    Cancel {
        /// Id from [`Action::Start`].
        attempt: Attempt,
    },
    /// Write an object to the store.
    StoreObject {
        /// Name under which the object is stored.
        name: String,
        /// Content of the object.
        bytes: Bytes,
    },
    /// Read an object from the store.
    LoadObject {
        /// Name under which the object was stored.
        name: String,
    },
    /// Write the manifest row.
    CommitManifest {
        /// Unique id of the commit, for the inputs that state its outcome.
        operation: String,
        /// Revision that the row must have, 0 for an absent row.
        revision: u64,
        /// New value of the row.
        value: String,
    },
    /// Read the manifest row.
    ReadManifest,
    /// Deliver samples to the trainer.
    Deliver {
        /// Delivery position of the first sample.
        cursor: u32,
        /// Delivery position to read next.
        next: u32,
        /// Encoded samples; none at the end of the step.
        samples: Vec<Bytes>,
    },
    /// The read waits: its samples are not recorded or not in memory yet. A
    /// `Deliver` follows. Needs no action.
    Wait {
        /// Delivery position of the read.
        cursor: u32,
    },
    /// Reject a position that is outside of the step, inside a group, or
    /// acknowledged before it was recorded.
    Reject {
        /// Delivery position of the read or acknowledgement.
        cursor: u32,
    },
    /// A later holder has written the manifest, so this step has stopped.
    Superseded,
    /// Report that the manifest row can't be decoded, or that the next manifest
    /// can't be encoded.
    Corrupt(manifest::Error),
    /// All samples are recorded and acknowledged.
    Complete,
}
