use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tamarackdock_types::{HostName, fence::Epoch};

/// The value of the row `lease/{name}`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Host of the last holder.
    pub holder: HostName,
    /// Epoch of the last holder. No later holder uses it again.
    pub epoch: Epoch,
    /// How long the row must stay unchanged before a candidate may take it, without the
    /// margin that the candidate adds.
    #[serde(rename = "duration_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// Operation id of the last write.
    pub operation: String,
    /// How long orders of this and earlier epochs can still arrive after the
    /// next acquisition. It is a span, since the clocks of two hosts can't be compared.
    #[serde(rename = "quiet_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub quiet: Duration,
    /// Whether the holder has released the lease, so that it can be taken immediately.
    pub released: bool,
}

/// The error of a row whose value is not a lease, for example after a manual change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the lease row can't be read; restore the JSON value of its last revision")]
pub struct RowError;

impl Row {
    /// Serializes the row as JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a row of strings and numbers has a JSON form")
    }

    /// Parses the JSON value of a row.
    ///
    /// # Errors
    ///
    /// Returns [`RowError`] if the text is not a lease row.
    pub fn decode(text: &str) -> Result<Self, RowError> {
        serde_json::from_str(text).map_err(|_| RowError)
    }
}
