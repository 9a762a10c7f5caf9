use serde::{Deserialize, Serialize};
use tamarackdock_types::ServiceName;

/// The kind of back end that serves a service.
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
    /// Only the keys of accounts that list the service.
    #[default]
    Keyed,
    /// Every caller, without a key.
    Open,
}

/// A service that callers can address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, to which accounts, trainers and targets refer.
    pub name: ServiceName,
    /// Whether model engines or plain HTTP services run its calls.
    pub kind: Kind,
    /// Who may use the service.
    #[serde(default)]
    pub access: Access,
    /// Whether a call may be sent again. Calls of other services are sent at most once.
    #[serde(default)]
    pub idempotent: bool,
}
