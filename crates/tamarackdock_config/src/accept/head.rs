use serde::{Deserialize, Serialize};

use crate::version::{Checksum, Snapshot, VersionNumber};

/// Key of the row that names the newest accepted version.
pub const HEAD_KEY: &str = "config/head";

/// The value of the row `config/head`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Number of the newest accepted version.
    pub number: VersionNumber,
    /// Checksum of that version.
    pub checksum: Checksum,
    /// Operation id of the submission that was accepted as that version.
    pub operation: String,
}

impl Head {
    /// Returns the head to assume before the first submission, when the row is absent.
    #[must_use]
    pub fn empty() -> Self {
        let empty = Snapshot::default();
        Self { number: empty.number(), checksum: empty.checksum(), operation: String::new() }
    }
}

/// Returns the key of the row with the delta of a version.
#[must_use]
pub fn version_key(number: VersionNumber) -> String {
    format!("config/v/{number}")
}

/// Returns the name of the object with the full copy of a version. The name depends only on
/// the content, so that writing the object again is harmless.
#[must_use]
pub fn object_name(checksum: Checksum) -> String {
    format!("config-{checksum}")
}
