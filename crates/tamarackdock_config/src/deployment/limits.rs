use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Limits that apply on all nodes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Longest time until the first byte of a target's response, in ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_byte_ms: Duration,
    /// Longest pause within a target's response, in ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub between_bytes_ms: Duration,
    /// Largest number of retries, as a share of calls from 0 to 1.
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
