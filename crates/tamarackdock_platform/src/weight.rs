//! The rate-limited weight store.

use serde::{Deserialize, Serialize};
use tamarackdock_types::{ServiceName, weight::Version};

use crate::Call;

/// The newest weights of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LatestWeights {
    /// Newest version.
    pub version: Version,
    /// Number of engines that may load weights each second.
    pub loads_per_second: f64,
}

/// The weight store.
pub trait Store {
    /// Reads the newest version of a service's weights.
    fn latest(&self, service: ServiceName) -> Call<'_, LatestWeights>;
}
