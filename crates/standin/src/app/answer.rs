use serde::Deserialize;

use crate::{client::error_fields, engine::expected_text};

/// Length of one token's text in bytes.
const TOKEN_BYTES: usize = 9;

/// Outcome of the check of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Check {
    /// Complete and with the text that belongs to the prompt; holds the number of tokens.
    Correct(u64),
    /// The text does not belong to the prompt.
    WrongText,
    /// The answer is too short or too long, lacks its end, or is malformed.
    Incomplete,
    /// The stream ended with an error, whose `code` and `ran` this holds.
    Failed(String, String),
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

/// Checks a body that was not streamed.
pub(super) fn check_body(prompt: &str, max_tokens: u64, body: &[u8]) -> Check {
    match first_choice(body) {
        Some(choice) => check_choice(prompt, max_tokens, &choice),
        None => Check::Incomplete,
    }
}

/// Checks a body of server-sent events.
pub(super) fn check_stream(prompt: &str, max_tokens: u64, body: &[u8]) -> Check {
    let text = String::from_utf8_lossy(body);
    let lines: Vec<_> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let events = match lines.split_last() {
        Some((&"[DONE]", events)) => events,
        Some((last, _)) => match error_fields(last.as_bytes()) {
            (code, ran) if !code.is_empty() => return Check::Failed(code, ran),
            _ => return Check::Incomplete,
        },
        None => return Check::Incomplete,
    };
    let mut joined = Choice { text: String::new(), finish_reason: None };
    for event in events {
        let Some(choice) = first_choice(event.as_bytes()) else {
            return Check::Incomplete;
        };
        joined.text.push_str(&choice.text);
        joined.finish_reason = choice.finish_reason;
    }
    check_choice(prompt, max_tokens, &joined)
}

fn first_choice(body: &[u8]) -> Option<Choice> {
    serde_json::from_slice::<Completion>(body).ok()?.choices.into_iter().next()
}

fn check_choice(prompt: &str, max_tokens: u64, choice: &Choice) -> Check {
    let tokens = u64::try_from(choice.text.len() / TOKEN_BYTES).unwrap_or(u64::MAX);
    let is_complete = match choice.finish_reason.as_deref() {
        Some("stop") => tokens > 0 && tokens <= max_tokens,
        Some("length") => tokens == max_tokens,
        Some(_) | None => false,
    };
    match choice.text == expected_text(prompt, tokens) {
        false => Check::WrongText,
        true if is_complete => Check::Correct(tokens),
        true => Check::Incomplete,
    }
}
