use serde::{Deserialize, Serialize};
use tamarackdock_types::ServiceName;

/// What stands behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// Who may use a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Only accounts that list the service.
    #[default]
    Keyed,
    /// Everybody, without a key.
    Open,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Kind.
    pub kind: Kind,
    /// Who may use it.
    #[serde(default)]
    pub access: Access,
    /// Whether a call may be repeated. Calls of other services are sent at most once.
    #[serde(default)]
    pub idempotent: bool,
}
