use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tamarackdock_types::weight::Version;

use super::{State, lock, request::Completion, slots::Slot, text};

/// One generated token.
pub(super) struct Token {
    pub(super) id: u32,
    pub(super) text: String,
    pub(super) version: Version,
    /// Finish reason, `stop` or `length`, for the last token only.
    pub(super) finish: Option<&'static str>,
}

/// A call that has a slot and whose tokens are generated.
pub(super) struct Generation {
    state: Arc<Mutex<State>>,
    _slot: Slot,
    id: String,
    peer: SocketAddr,
    prompt_hash: u64,
    /// Index of the next token.
    next: u64,
    /// Number of tokens of the complete output, with resumed ones.
    length: u64,
    finish: &'static str,
}

impl Generation {
    /// Starts the call and waits for the time that the uncached blocks of the prompt take.
    pub(super) async fn begin(
        state: Arc<Mutex<State>>,
        slot: Slot,
        id: String,
        peer: SocketAddr,
        call: &Completion,
    ) -> Self {
        let (length, prefill) = {
            let mut inner = lock(&state);
            inner.begin(&id, &call.prompt);
            let blocks = inner.cache.insert(&call.prompt);
            let length = inner.options.output_tokens(&call.prompt, call.seed);
            (length, inner.options.prefill_per_block * blocks)
        };
        let generation = Self {
            state,
            _slot: slot,
            id,
            peer,
            prompt_hash: text::hash(call.prompt.as_bytes()),
            next: u64::try_from(call.resume_tokens.len()).unwrap_or(u64::MAX),
            length: length.min(call.max_tokens),
            finish: if length <= call.max_tokens { "stop" } else { "length" },
        };
        generation.pause(prefill).await;
        generation
    }

    /// Generates the next token, or returns `None` after the last.
    pub(super) async fn next(&mut self) -> Option<Token> {
        if self.next >= self.length {
            return None;
        }
        let interval = {
            let state = lock(&self.state);
            state.options.interval(state.running)
        };
        self.pause(interval).await;
        let version = {
            let mut state = lock(&self.state);
            let version = state.version;
            state.records.count_token(&self.id, version);
            version
        };
        let id = text::token_id(self.prompt_hash, self.next);
        self.next += 1;
        let finish = (self.next == self.length).then_some(self.finish);
        Some(Token { id, text: text::token_text(id), version, finish })
    }

    /// Returns whether nothing more is sent on the call's connection.
    pub(super) fn is_silent(&self) -> bool {
        lock(&self.state).silence.is_silent(self.peer)
    }

    /// Sleeps, and never returns if the engine has crashed.
    async fn pause(&self, duration: Duration) {
        if !duration.is_zero() {
            monoio::time::sleep(duration).await;
        }
        if lock(&self.state).is_down() {
            wait_forever().await;
        }
    }
}

/// Never returns. The timer is needed because a task without a waker would be dropped.
pub(super) async fn wait_forever() {
    loop {
        monoio::time::sleep(Duration::from_hours(1)).await;
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        if self.next < self.length && !state.is_down() {
            state.records.cancelled += 1;
        }
    }
}
