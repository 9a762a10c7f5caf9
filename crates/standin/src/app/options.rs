use std::{net::SocketAddr, time::Duration};

/// What an app asks.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name, which makes its questions differ from those of other apps.
    pub name: String,
    /// Key of its client account.
    pub key: String,
    /// Caller ports of the nodes, used in turn.
    pub nodes: Vec<SocketAddr>,
    /// Model service.
    pub model: String,
    /// Text before every question, which engines can cache.
    pub prefix: String,
    /// Number of questions of each caller.
    pub questions: u64,
    /// Callers that ask at the same time, each one question after the other.
    pub callers: u64,
    /// Longest answer in tokens.
    pub max_tokens: u64,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Pause between two questions of a caller.
    pub pause: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "app".into(),
            key: String::new(),
            nodes: Vec::new(),
            model: "m".into(),
            prefix: String::new(),
            questions: 1,
            callers: 1,
            max_tokens: 16,
            stream: false,
            pause: Duration::ZERO,
        }
    }
}
