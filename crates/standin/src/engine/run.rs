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
    /// `stop` or `length` with the last token.
    pub(super) finish: Option<&'static str>,
}

/// A call that has a slot.
pub(super) struct Run {
    state: Arc<Mutex<State>>,
    _slot: Slot,
    id: String,
    peer: SocketAddr,
    prompt_hash: u64,
    next: u64,
    length: u64,
    finish: &'static str,
}

impl Run {
    /// Starts the call and works through the prompt.
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
        let run = Self {
            state,
            _slot: slot,
            id,
            peer,
            prompt_hash: text::hash(call.prompt.as_bytes()),
            next: u64::try_from(call.resume_tokens.len()).unwrap_or(u64::MAX),
            length: length.min(call.max_tokens),
            finish: if length <= call.max_tokens { "stop" } else { "length" },
        };
        run.pause(prefill).await;
        run
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

    /// Returns whether the call's connection gets no more bytes.
    pub(super) fn is_silent(&self) -> bool {
        lock(&self.state).silence.covers(self.peer)
    }

    /// Sleeps, and never returns when the engine has crashed.
    async fn pause(&self, span: Duration) {
        if !span.is_zero() {
            monoio::time::sleep(span).await;
        }
        if lock(&self.state).is_down() {
            hang().await;
        }
    }
}

/// Never returns. A task without a waker would be dropped, so that this keeps a timer.
pub(super) async fn hang() {
    loop {
        monoio::time::sleep(Duration::from_hours(1)).await;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        if self.next < self.length && !state.is_down() {
            state.records.cancelled += 1;
        }
    }
}
