use std::{net::SocketAddr, time::Duration};

/// Number and form of an app's questions.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name, which is part of each question, so that no two apps ask the same one.
    pub name: String,
    /// API key of the app's client account.
    pub key: String,
    /// Caller ports of the nodes, used in turn, one for each question.
    pub nodes: Vec<SocketAddr>,
    /// Model service that the questions are for.
    pub model: String,
    /// Common prefix of all questions, which engines can cache.
    pub prefix: String,
    /// Number of questions of each caller.
    pub questions: u64,
    /// Number of concurrent callers, each of which asks one question at a time.
    pub callers: u64,
    /// Upper bound for the length of an answer in tokens.
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
