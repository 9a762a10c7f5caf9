use derive_more::Display;
use tamarackdock_types::fence::Epoch;

/// Id of an order, unique over all holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{epoch}-{number}")]
pub struct Order {
    /// Fencing token.
    pub epoch: Epoch,
    /// Number within the term.
    pub number: u64,
}
