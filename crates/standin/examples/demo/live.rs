//! A caller with a long stream, whose key is withdrawn while it reads.

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
    client::{Connection, Deadlines},
    guard::Limits,
};

const PAUSE: Duration = Duration::from_millis(20);

/// When the key last got a byte or an answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Live(Arc<Mutex<Seen>>);

#[derive(Debug, Default)]
struct Seen {
    last_served: Option<Instant>,
    is_stopped: bool,
}

impl Live {
    /// Starts the caller.
    pub(crate) fn spawn(address: SocketAddr, key: &'static str, prompt: String) -> Self {
        let live = Self::default();
        let theirs = live.clone();
        thread::spawn(move || {
            let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
            runtime.expect("a runtime needs one epoll descriptor").block_on(async {
                while !theirs.is_stopped() {
                    theirs.stream(address, key, &prompt).await;
                    monoio::time::sleep(PAUSE).await;
                }
            });
        });
        live
    }

    /// Returns when the key last got a byte or an answer.
    pub(crate) fn last_served(&self) -> Option<Instant> {
        self.with(|seen| seen.last_served)
    }

    /// Ends the caller.
    pub(crate) fn stop(&self) {
        self.with(|seen| seen.is_stopped = true);
    }

    fn is_stopped(&self) -> bool {
        self.with(|seen| seen.is_stopped)
    }

    fn with<T>(&self, act: impl FnOnce(&mut Seen) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
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
        let opened = Connection::open(address, Limits::default(), Deadlines::default()).await;
        let Ok(mut connection) = opened else { return };
        let Ok(mut answer) = connection.send(request).await else { return };
        if !answer.status().is_success() {
            return;
        }
        while let Ok(Some(_)) = answer.next().await {
            self.with(|seen| seen.last_served = Some(Instant::now()));
            if self.is_stopped() {
                return;
            }
        }
    }
}
