use std::time::Duration;

use tamarackdock_types::clock::Instant;

use super::Pace;

/// Shortest duration that is distinguished, so that ratios are defined.
const MIN_DURATION: Duration = Duration::from_millis(1);

/// A load that has finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finished {
    /// Time at which the target accepted the order.
    pub accepted: Instant,
    /// Time of the report that showed the new weights.
    pub reported: Instant,
    /// Whether that was the first report, so that the load may have finished at any time before.
    pub is_first: bool,
}

impl Finished {
    pub(super) fn duration(&self) -> Duration {
        self.reported.since(self.accepted).max(MIN_DURATION)
    }

    /// Returns the time after which the load may have been finished. The usual duration could not
    /// become shorter if loads that are seen at the first report counted in full.
    pub(super) fn earliest(&self) -> Duration {
        let unseen = if self.is_first { Pace::REPORT_INTERVAL } else { Duration::ZERO };
        self.duration().saturating_sub(unseen)
    }
}
