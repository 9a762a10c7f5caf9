use derive_more::{Display, Error as StdError, From};

/// The reason why a row is not a valid manifest of the step.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// The value is not the expected JSON.
    #[display("the manifest row is not valid JSON: {_0}")]
    Json(serde_json::Error),
    /// An entry refers to a slot or an object that does not exist.
    #[display("slot {slot} of the manifest row is not valid")]
    #[from(ignore)]
    Slot {
        /// Number of the slot that the entry names.
        slot: u32,
    },
    /// A group in the delivery order occurs twice, does not exist or lacks a sample.
    #[display("group {group} of the manifest row is not valid")]
    #[from(ignore)]
    Group {
        /// Number of the group in the step.
        group: u32,
    },
}
