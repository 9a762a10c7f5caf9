use serde::{Deserialize, Serialize};

/// The form of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Text for people.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// The severity of log lines, and the least severe one that is logged.
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
    /// Individual calls.
    Debug,
}

/// The settings of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Form of the lines.
    pub format: Format,
    /// Least severe level that is logged.
    pub level: Level,
}
