use serde::{Deserialize, Serialize};

/// Asks a granter for credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of the request at its holder, so that late answers are told apart.
    pub number: u64,
    /// Credits that are wanted, in calls at once.
    pub wanted: u32,
}

/// Grants credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the request.
    pub number: u64,
    /// Credits, in calls at once.
    pub credits: u32,
}
