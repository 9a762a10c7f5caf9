use serde::{Deserialize, Serialize};
use tamarackdock_platform::order::Order;

/// The value of a row `order/{data centre}/{n}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Order, with its epoch.
    pub order: Order,
    /// Send deadline in milliseconds on the recorder's own clock, for diagnosis.
    pub deadline_ms: u64,
}
