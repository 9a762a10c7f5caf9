use derive_more::{Display, Error as StdError, From};

/// The reason why a row is no manifest of the step.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// The value is not the expected JSON.
    #[display("the manifest row is not valid JSON: {_0}")]
    Json(serde_json::Error),
    /// An entry names a slot or object that does not exist.
    #[display("slot {slot} of the manifest row is not valid")]
    #[from(ignore)]
    Slot {
        /// Number of the slot.
        slot: u32,
    },
    /// A group is placed twice, does not exist or misses a sample.
    #[display("group {group} of the manifest row is not valid")]
    #[from(ignore)]
    Group {
        /// Number of the group.
        group: u32,
    },
}
