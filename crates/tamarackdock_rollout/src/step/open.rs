use tamarackdock_types::{TargetName, clock::Instant};

use super::progress::Progress;

/// A slot without a sample and without an attempt.
#[derive(Debug, Clone)]
pub(super) struct Open {
    pub(super) not_before: Instant,
    pub(super) progress: Progress,
    pub(super) avoid: Option<TargetName>,
    pub(super) failures: u32,
    /// Whether an earlier attempt or sample of the slot was lost.
    pub(super) repeated: bool,
}

impl Open {
    pub(super) fn first(now: Instant) -> Self {
        Self {
            not_before: now,
            progress: Progress::default(),
            avoid: None,
            failures: 0,
            repeated: false,
        }
    }

    pub(super) fn again(now: Instant) -> Self {
        Self { repeated: true, ..Self::first(now) }
    }
}
