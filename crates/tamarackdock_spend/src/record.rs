use serde::{Deserialize, Serialize};
use tamarackdock_platform::order::Order;

/// Value of a row `order/{data centre}/{epoch}-{number}` or, if the orders are
/// those of one service, `order/{data centre}/{service}/{epoch}-{number}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Recorded before it is sent, with the epoch of its holder.
    pub order: Order,
    /// Send deadline in milliseconds on the recorder's own clock, for diagnosis.
    pub deadline_ms: u64,
}
