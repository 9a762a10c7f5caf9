use serde::{Deserialize, Serialize};

use crate::version::{Checksum, Number, Snapshot};

/// Key of the row with the newest accepted version.
pub const HEAD_KEY: &str = "config/head";

/// Value of the row `config/head`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Newest accepted version.
    pub number: Number,
    /// Its checksum.
    pub checksum: Checksum,
    /// Operation id of its submission.
    pub operation: String,
}

impl Head {
    /// Returns the head before the first submission, when the row is absent.
    #[must_use]
    pub fn empty() -> Self {
        let empty = Snapshot::default();
        Self { number: empty.number(), checksum: empty.checksum(), operation: String::new() }
    }
}

/// Returns the key of the row with the delta of a version.
#[must_use]
pub fn version_key(number: Number) -> String {
    format!("config/v/{number}")
}

/// Returns the name of the object with the full copy of a version. It depends on
/// the content only, so that writing it again is harmless.
#[must_use]
pub fn object_name(checksum: Checksum) -> String {
    format!("config-{checksum}")
}
