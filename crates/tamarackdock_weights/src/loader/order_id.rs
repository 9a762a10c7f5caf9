use derive_more::Display;
use tamarackdock_types::fence::Epoch;

/// Id of an order, unique among all holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{epoch}-{number}")]
pub struct OrderId {
    /// Fencing token of the holder that ordered the load.
    pub epoch: Epoch,
    /// Number of the order within the epoch.
    pub number: u64,
}
