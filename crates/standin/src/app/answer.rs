use serde::Deserialize;

use crate::{caller::refusal, engine::expected_text};

/// Bytes of one token's text.
const TOKEN_BYTES: usize = 9;

/// What an answer turned out to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The whole answer, with its number of tokens.
    Own(u64),
    Foreign,
    Incomplete,
    /// The stream ended with an error: its code and `ran`.
    Refused(String, String),
}

#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

/// Judges a body that was not streamed.
pub(super) fn whole(prompt: &str, max_tokens: u64, body: &[u8]) -> Verdict {
    match first_choice(body) {
        Some(choice) => judge(prompt, max_tokens, &choice),
        None => Verdict::Incomplete,
    }
}

/// Judges a body of server-sent events.
pub(super) fn streamed(prompt: &str, max_tokens: u64, body: &[u8]) -> Verdict {
    let text = String::from_utf8_lossy(body);
    let lines: Vec<_> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let events = match lines.split_last() {
        Some((&"[DONE]", events)) => events,
        Some((last, _)) => match refusal(last.as_bytes()) {
            (code, ran) if !code.is_empty() => return Verdict::Refused(code, ran),
            _ => return Verdict::Incomplete,
        },
        None => return Verdict::Incomplete,
    };
    let mut all = Choice { text: String::new(), finish_reason: None };
    for event in events {
        let Some(choice) = first_choice(event.as_bytes()) else {
            return Verdict::Incomplete;
        };
        all.text.push_str(&choice.text);
        all.finish_reason = choice.finish_reason;
    }
    judge(prompt, max_tokens, &all)
}

fn first_choice(body: &[u8]) -> Option<Choice> {
    serde_json::from_slice::<Completion>(body).ok()?.choices.into_iter().next()
}

fn judge(prompt: &str, max_tokens: u64, choice: &Choice) -> Verdict {
    let tokens = u64::try_from(choice.text.len() / TOKEN_BYTES).unwrap_or(u64::MAX);
    let is_complete = match choice.finish_reason.as_deref() {
        Some("stop") => tokens > 0 && tokens <= max_tokens,
        Some("length") => tokens == max_tokens,
        Some(_) | None => false,
    };
    match choice.text == expected_text(prompt, tokens) {
        false => Verdict::Foreign,
        true if is_complete => Verdict::Own(tokens),
        true => Verdict::Incomplete,
    }
}
