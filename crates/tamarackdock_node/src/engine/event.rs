use serde::Deserialize;
use tamarackdock_types::weight::Version;

/// New tokens of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) text: String,
    pub(crate) tokens: Vec<u32>,
    pub(crate) version: Version,
    pub(crate) finish: Option<String>,
}

#[derive(Deserialize)]
struct Wire {
    choices: Vec<Choice>,
    #[serde(default)]
    token_ids: Vec<u32>,
    weight_version: Version,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

impl Event {
    /// Reads the data of an event, or `None` if it is not as the interface says.
    pub(crate) fn parse(data: &[u8]) -> Option<Self> {
        let wire: Wire = serde_json::from_slice(data).ok()?;
        let choice = wire.choices.into_iter().next()?;
        Some(Self {
            text: choice.text,
            tokens: wire.token_ids,
            version: wire.weight_version,
            finish: choice.finish_reason,
        })
    }
}
