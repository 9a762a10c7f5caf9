use slotmap::new_key_type;
use tamarackdock_config::deployment::{Class, Role};
use tamarackdock_types::{DataCentreName, ServiceName, TargetName};

use crate::{Load, latency::Latency};

new_key_type! {
    /// Key of a target in a [`Table`](crate::table::Table).
    pub struct Key;
}

/// State of a target, which decides what may be sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Only calls that hold a credit.
    Cold,
    /// Calls up to the capacity.
    Warm,
    /// No new calls, since the target is stopping.
    Leaving,
    /// No calls. The router sets this state for a target that it must not use now, for
    /// example because its data centre is out of service, it is not in the node's subset, it
    /// can't be connected to, it timed out or it may have crashed.
    Out,
    /// No calls until the target restarts.
    Crashed,
}

/// Configuration of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spec {
    /// Unique in the table.
    pub name: TargetName,
    /// Service whose calls the target runs.
    pub service: ServiceName,
    /// Where the target runs.
    pub data_centre: DataCentreName,
    /// Whether the target can be reclaimed at any time.
    pub class: Class,
    /// Work that the target is meant for.
    pub role: Role,
    /// Largest number of concurrent calls when warm.
    pub capacity: u32,
    /// Largest number of concurrent calls during a cold start.
    pub cold_capacity: u32,
}

/// A target as one node sees it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Replaced when the configuration changes.
    pub spec: Spec,
    /// Decides which calls the target may get.
    pub state: State,
    /// Estimated number of calls on the target.
    pub load: Load,
    /// Time to the first byte.
    pub latency: Latency,
    /// Credits that the node holds while the target is cold.
    pub credits: u32,
    pub(crate) restart_id: Option<String>,
    pub(crate) hash: u64,
}

impl Target {
    /// Returns how many concurrent calls are allowed: calls of this node if the
    /// target is cold, of all nodes if it is warm.
    #[must_use]
    pub fn limit(&self) -> u32 {
        match self.state {
            State::Cold => self.credits,
            State::Warm => self.spec.capacity,
            State::Leaving | State::Out | State::Crashed => 0,
        }
    }

    /// Returns the restart id of the target's last report, or `None` before the
    /// first report.
    #[must_use]
    pub fn restart_id(&self) -> Option<&str> {
        self.restart_id.as_deref()
    }

    /// Returns the calls that count against [`Target::limit`].
    #[must_use]
    pub fn calls(&self) -> u32 {
        match self.state {
            State::Cold => self.load.own(),
            _ => self.load.estimate(),
        }
    }
}
