use tamarackdock_types::{clock::Instant, weight::Version};

use super::{OrderId, State};

/// An engine as the loader knows it.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) capacity: u32,
    pub(super) version: Version,
    pub(super) reported: State,
    pub(super) load: Load,
    pub(super) failures: u32,
    /// Time of the last outcome. Reports made before it are ignored.
    pub(super) last_outcome_at: Option<Instant>,
}

/// Progress of the last load order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Load {
    /// No load is ordered.
    Idle,
    /// The last load failed; the next one waits.
    Waiting {
        until: Instant,
    },
    Ordered {
        order: OrderId,
        version: Version,
    },
    /// The outcome is unknown until a report of the engine shows it.
    Unknown {
        order: OrderId,
        version: Version,
        since: Instant,
    },
}

impl Engine {
    pub(super) fn may_be_loading(&self) -> bool {
        let is_ordered = matches!(self.load, Load::Ordered { .. } | Load::Unknown { .. });
        is_ordered || self.reported == State::Loading
    }

    pub(super) fn can_load(&self, now: Instant, newest: Version) -> bool {
        let is_ready = match self.load {
            Load::Idle => true,
            Load::Waiting { until } => until <= now,
            Load::Ordered { .. } | Load::Unknown { .. } => false,
        };
        is_ready && self.version < newest && self.reported == State::Serving
    }

    /// Returns the version that order `id` loads on this engine, or `None` if it is
    /// not this engine's pending order.
    pub(super) fn pending_version(&self, id: OrderId) -> Option<Version> {
        match self.load {
            Load::Ordered { order, version } | Load::Unknown { order, version, .. }
                if order == id =>
            {
                Some(version)
            }
            _ => None,
        }
    }
}
