use derive_more::{Display, Error as StdError};
use serde::{Deserialize, Serialize};
use tamarackdock_types::fence::Epoch;

/// The reason why a platform call failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, StdError, Serialize, Deserialize)]
pub enum Error {
    /// No byte was sent, so the call had no effect.
    #[display("the platform can't be reached")]
    Unreachable,
    /// The platform refused the call for now, without any effect: it is overloaded or
    /// rejects this caller.
    #[display("the platform refused the call")]
    Refused,
    /// The response was lost; a write may have taken effect.
    #[display("the platform's response was lost")]
    Unknown,
    /// The response does not conform to the interface.
    #[display("the platform's response can't be read")]
    Malformed,
    /// A condition of a commit did not hold, or an object or report with other bytes exists.
    #[display("`{key}` was changed by another writer")]
    Conflict {
        /// Key of the row, object or window.
        key: String,
    },
    /// The receiver knows a later epoch.
    #[display("the epoch is older than {_0}")]
    StaleEpoch(#[error(not(source))] Epoch),
    /// No target of the requested class is available at present.
    #[display("no target of the requested class is available at present")]
    Unavailable,
}
