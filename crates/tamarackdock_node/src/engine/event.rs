use serde::Deserialize;
use tamarackdock_types::weight::Version;

/// An event of a generation: new tokens, their text and how the generation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) text: String,
    pub(crate) tokens: Vec<u32>,
    /// Version of the weights that generated the tokens.
    pub(crate) version: Version,
    /// Reason for the end of the generation, `None` before its last event.
    pub(crate) finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct EventBody {
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
    /// Parses the data of an event. Returns `None` if it breaks the engine's interface.
    pub(crate) fn parse(data: &[u8]) -> Option<Self> {
        let body: EventBody = serde_json::from_slice(data).ok()?;
        let choice = body.choices.into_iter().next()?;
        Some(Self {
            text: choice.text,
            tokens: body.token_ids,
            version: body.weight_version,
            finish_reason: choice.finish_reason,
        })
    }
}
