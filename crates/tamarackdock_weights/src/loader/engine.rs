use tamarackdock_types::{clock::Instant, weight::Version};

use super::{Order, State};

/// An engine as the loader knows it.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) capacity: u32,
    pub(super) version: Version,
    pub(super) reported: State,
    pub(super) load: Load,
    pub(super) failures: u32,
    /// Time of the last outcome; older reports don't count.
    pub(super) settled: Option<Instant>,
}

/// Where the load of an engine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Load {
    /// No load is ordered.
    Idle,
    /// The last load failed; the next one waits.
    Waiting {
        until: Instant,
    },
    Ordered {
        order: Order,
        version: Version,
    },
    /// The engine's report has to tell the outcome.
    Unknown {
        order: Order,
        version: Version,
        since: Instant,
    },
}

impl Engine {
    pub(super) fn is_away(&self) -> bool {
        let ordered = matches!(self.load, Load::Ordered { .. } | Load::Unknown { .. });
        ordered || self.reported == State::Loading
    }

    pub(super) fn can_load(&self, now: Instant, newest: Version) -> bool {
        let ready = match self.load {
            Load::Idle => true,
            Load::Waiting { until } => until <= now,
            Load::Ordered { .. } | Load::Unknown { .. } => false,
        };
        ready && self.version < newest && self.reported == State::Serving
    }

    /// Returns the version that an order, whose outcome is not known, loads.
    pub(super) fn ordered(&self, wanted: Order) -> Option<Version> {
        match self.load {
            Load::Ordered { order, version } | Load::Unknown { order, version, .. }
                if order == wanted =>
            {
                Some(version)
            }
            _ => None,
        }
    }
}
