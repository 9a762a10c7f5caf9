//! A caller that reads a long stream. Its key is withdrawn meanwhile.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use http::{Method, Request, header};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde_json::json;
use tamarackdock_wire::{
    client::{Connection, Timeouts},
    validation::Limits,
};

const PAUSE: Duration = Duration::from_millis(20);

/// A caller that opens its stream again whenever it ends. Clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamingCaller(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    last_received: Option<Instant>,
    is_stopped: bool,
}

impl StreamingCaller {
    /// Starts the caller.
    pub(crate) fn spawn(address: SocketAddr, key: &'static str, prompt: String) -> Self {
        let caller = Self::default();
        let thread_caller = caller.clone();
        thread::spawn(move || {
            let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
            runtime.expect("a runtime needs one epoll descriptor").block_on(async {
                while !thread_caller.is_stopped() {
                    thread_caller.stream(address, key, &prompt).await;
                    monoio::time::sleep(PAUSE).await;
                }
            });
        });
        caller
    }

    /// Returns when a part of an answer to the key was last received, or `None` before
    /// the first one.
    pub(crate) fn last_received(&self) -> Option<Instant> {
        self.with(|state| state.last_received)
    }

    /// Stops the caller.
    pub(crate) fn stop(&self) {
        self.with(|state| state.is_stopped = true);
    }

    fn is_stopped(&self) -> bool {
        self.with(|state| state.is_stopped)
    }

    fn with<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        action(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn stream(&self, address: SocketAddr, key: &str, prompt: &str) {
        let body = json!({"model": "m", "prompt": prompt, "max_tokens": 100_000, "stream": true});
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/completions")
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .body(body.to_string().into())
            .expect("constant parts");
        let opened = Connection::open(address, Limits::default(), Timeouts::default()).await;
        let Ok(mut connection) = opened else { return };
        let Ok(mut response) = connection.send(request).await else { return };
        if !response.status().is_success() {
            return;
        }
        while let Ok(Some(_)) = response.next().await {
            self.with(|state| state.last_received = Some(Instant::now()));
            if self.is_stopped() {
                return;
            }
        }
    }
}
