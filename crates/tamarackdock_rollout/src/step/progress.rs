use tamarackdock_types::weight::Version;

use crate::span::Span;

/// The tokens generated so far for a slot, with their text and weight versions.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    pub(super) tokens: Vec<u32>,
    pub(super) text: String,
    pub(super) spans: Vec<Span>,
}

impl Progress {
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn append(&mut self, tokens: &[u32], text: &str, version: Version) {
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.tokens.extend_from_slice(tokens);
        self.text.push_str(text);
        match self.spans.last_mut() {
            Some(span) if span.version == version => span.tokens += count,
            _ => self.spans.push(Span { tokens: count, version }),
        }
    }

    pub(super) fn oldest(&self) -> Option<Version> {
        self.spans.iter().map(|span| span.version).min()
    }
}
