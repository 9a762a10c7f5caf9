use serde::{Deserialize, Serialize};

/// A holder's request for credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of the request at its holder, so that a late reply can be told from
    /// that to a newer request.
    pub number: u64,
    /// Requested number of credits; each allows one concurrent call.
    pub wanted: u32,
}

/// A granter's reply to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the request that is answered.
    pub number: u64,
    /// Granted number of credits; each allows one concurrent call.
    pub credits: u32,
}
