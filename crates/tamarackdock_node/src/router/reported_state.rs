use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// How long a target must keep reporting itself warm if its cold start was only
/// inferred. Reports lag, so the first ones can date from before the cold start.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);

/// What a target's load reports have said since its last known change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum ReportedState {
    /// No report that can be trusted.
    #[default]
    Unknown,
    /// The target is cold.
    Cold,
    /// The target is warm, and earlier reports said that it was cold.
    WarmAfterCold,
    /// The target is warm, by all reports since the given time.
    Warm(Instant),
}

impl ReportedState {
    /// Returns the state after a further report.
    pub(super) fn report(self, is_warm: bool, now: Instant) -> Self {
        match self {
            _ if !is_warm => Self::Cold,
            Self::Cold => Self::WarmAfterCold,
            Self::Unknown => Self::Warm(now),
            Self::WarmAfterCold | Self::Warm(_) => self,
        }
    }

    /// Returns whether the last report said that the target is warm.
    pub(super) fn is_warm(self) -> bool {
        matches!(self, Self::WarmAfterCold | Self::Warm(_))
    }

    /// Returns whether the reports prove that the target is warm.
    pub(super) fn is_confirmed(self, now: Instant) -> bool {
        match self {
            Self::WarmAfterCold => true,
            Self::Warm(since) => now.since(since) >= CONFIRMATION_TIME,
            Self::Unknown | Self::Cold => false,
        }
    }
}
