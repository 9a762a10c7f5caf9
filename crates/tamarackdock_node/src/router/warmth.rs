use std::time::Duration;

use tamarackdock_types::clock::Instant;

/// How long a target must go on reporting itself warm if its cold start was
/// only inferred. Reports lag, so that the first ones can be from before it.
const CONFIRMATION: Duration = Duration::from_secs(3);

/// What a target's reports have said since its last known change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Warmth {
    /// Nothing that can be trusted.
    #[default]
    Unknown,
    /// That it is cold.
    Cold,
    /// That it is warm, after they had said that it is cold.
    WarmAfterCold,
    /// That it is warm, without a break since then.
    Warm(Instant),
}

impl Warmth {
    /// Takes a report.
    pub(super) fn report(self, is_warm: bool, now: Instant) -> Self {
        match self {
            _ if !is_warm => Self::Cold,
            Self::Cold => Self::WarmAfterCold,
            Self::Unknown => Self::Warm(now),
            Self::WarmAfterCold | Self::Warm(_) => self,
        }
    }

    /// Whether the last report said that the target is warm.
    pub(super) fn is_warm(self) -> bool {
        matches!(self, Self::WarmAfterCold | Self::Warm(_))
    }

    /// Whether the target is surely warm.
    pub(super) fn is_confirmed(self, now: Instant) -> bool {
        match self {
            Self::WarmAfterCold => true,
            Self::Warm(since) => now.since(since) >= CONFIRMATION,
            Self::Unknown | Self::Cold => false,
        }
    }
}
