use slotmap::new_key_type;
use tamarackdock_config::deployment::{Class, Role};
use tamarackdock_types::{DataCentreName, ServiceName, TargetName};

use crate::{Load, latency::Latency};

new_key_type! {
    /// Key of a target in a [`Table`](crate::table::Table).
    pub struct Key;
}

/// What may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Only calls that hold a credit.
    Cold,
    /// Calls up to the capacity.
    Warm,
    /// Nothing new, since the target stops.
    Leaving,
    /// Nothing, since its data centre or connection is out.
    Out,
    /// Nothing until it restarts.
    Crashed,
}

/// The configured part of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spec {
    /// Name.
    pub name: TargetName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Class.
    pub class: Class,
    /// Role.
    pub role: Role,
    /// Calls that it runs at once when warm.
    pub capacity: u32,
    /// Calls that it bears at once during a cold start.
    pub cold_capacity: u32,
}

/// A target as one node sees it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Configuration.
    pub spec: Spec,
    /// State.
    pub state: State,
    /// Estimated load.
    pub load: Load,
    /// Latency to the first byte.
    pub latency: Latency,
    /// Credits that the node holds while the target is cold.
    pub credits: u32,
    pub(crate) restart_id: Option<String>,
    pub(crate) hash: u64,
}

impl Target {
    /// Returns how many calls it may run, of this node if cold and of all nodes if warm.
    #[must_use]
    pub fn limit(&self) -> u32 {
        match self.state {
            State::Cold => self.credits,
            State::Warm => self.spec.capacity,
            State::Leaving | State::Out | State::Crashed => 0,
        }
    }

    /// Returns the restart id that it reported last.
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
