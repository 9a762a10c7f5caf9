//! Ids of attempts to generate a sample.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tamarackdock_types::fence::Epoch;

/// Id of one attempt. It is unique over all holders of a step, since an epoch
/// is never reused, so that a late response can't be mistaken for another
/// attempt's.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{epoch}-{number}")]
pub struct Attempt {
    /// Lease epoch of the holder that started the attempt.
    pub epoch: Epoch,
    /// Number within the epoch, from 0.
    pub number: u64,
}
