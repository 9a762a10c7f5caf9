use serde::{Deserialize, Serialize};

/// Form of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// For people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// Least severe level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Faults that need an operator.
    Error,
    /// Faults that the node handles.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Single calls.
    Debug,
}

/// Log settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Form of the lines.
    pub format: Format,
    /// Least severe level.
    pub level: Level,
}
