use tamarackdock_types::{TargetName, clock::Instant};

use super::progress::Progress;

/// A slot without a sample and without an attempt.
#[derive(Debug, Clone)]
pub(super) struct OpenSlot {
    pub(super) not_before: Instant,
    /// Tokens after which the next attempt continues.
    pub(super) progress: Progress,
    /// Target of the failed attempt.
    pub(super) avoid: Option<TargetName>,
    /// Failures in a row.
    pub(super) failures: u32,
    /// Whether an earlier attempt or sample of the slot was lost.
    pub(super) repeated: bool,
}

impl OpenSlot {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            not_before: now,
            progress: Progress::default(),
            avoid: None,
            failures: 0,
            repeated: false,
        }
    }

    pub(super) fn reopened(now: Instant) -> Self {
        Self { repeated: true, ..Self::new(now) }
    }
}
