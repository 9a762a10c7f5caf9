use serde::Deserialize;

/// Priority by which waiting calls get a slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Short calls of apps, served first.
    App,
    /// Samples for trainers.
    #[default]
    Batch,
}

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Completion {
    #[serde(default)]
    pub(super) model: String,
    pub(super) prompt: String,
    #[serde(default = "max_tokens")]
    pub(super) max_tokens: u64,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    pub(super) resume_tokens: Vec<u32>,
    #[serde(default)]
    pub(super) priority: Priority,
    #[serde(default)]
    pub(super) seed: u64,
}

/// Default of `max_tokens` in the published interface.
const fn max_tokens() -> u64 {
    16
}
