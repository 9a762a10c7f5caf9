use serde::{Deserialize, Serialize};
use tamarackdock_types::{AccountName, ServiceName, key::Hash};

/// A client account, the tenant to which API keys belong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name, to which trainers refer.
    pub name: AccountName,
    /// Share of the targets' capacity, relative to the weights of other accounts. At least 1,
    /// which is the default.
    #[serde(default = "one")]
    pub weight: u32,
    /// Hashes of the valid API keys.
    #[serde(default)]
    pub keys: Vec<Hash>,
    /// Services that the account may use, apart from the open ones.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

const fn one() -> u32 {
    1
}
