use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Bounds for all nodes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// How long a target may take to the first byte of a response, in ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_byte_ms: Duration,
    /// How long a target may pause within a response, in ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub between_bytes_ms: Duration,
    /// Retries as a share of calls.
    pub retry_ratio: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 16 << 20,
            first_byte_ms: Duration::from_secs(20),
            between_bytes_ms: Duration::from_secs(5),
            retry_ratio: 0.1,
        }
    }
}
