use serde::{Deserialize, Serialize};
use tamarackdock_types::{AccountName, ServiceName, key::Hash};

/// A client account, the tenant that keys belong to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: AccountName,
    /// Share of the targets relative to other accounts' weights.
    #[serde(default = "one")]
    pub weight: u32,
    /// Hashes of the keys that are valid.
    #[serde(default)]
    pub keys: Vec<Hash>,
    /// Services that the account may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

const fn one() -> u32 {
    1
}
