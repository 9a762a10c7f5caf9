use std::sync::{Arc, Mutex};

use futures_util::{
    FutureExt,
    future::{Either, LocalBoxFuture, select},
};
use http::{HeaderValue, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tamarackdock_types::{fence::Epoch, weight::Version};
use tamarackdock_wire::{
    flag::Flag,
    server::{self, Request, Response},
};

use super::{
    State, lock,
    reply::{not_run, streamed, whole},
    request::Completion,
    run::{Run, hang},
    slots::acquire,
    text::expected_token_ids,
};
use crate::reply::{broken, malformed, reply};

/// Answers an engine's requests.
pub(super) struct Handler {
    state: Arc<Mutex<State>>,
    stop: Flag,
}

#[derive(Deserialize)]
struct LoadOrder {
    operation: String,
    epoch: Epoch,
    version: Version,
}

impl Handler {
    /// Begins a new life of the engine.
    pub(super) fn new(state: Arc<Mutex<State>>, stop: Flag) -> Self {
        lock(&state).start();
        Self { state, stop }
    }

    async fn answer(&self, request: Request) -> Response {
        let is_silent = {
            let mut state = lock(&self.state);
            state.silence.see(request.peer);
            let is_authorized = request.headers.contains_key(http::header::AUTHORIZATION);
            state.records.authorized_requests += u64::from(is_authorized);
            state.silence.covers(request.peer)
        };
        if is_silent {
            hang().await;
        }
        match (request.method.as_str(), request.path()) {
            ("POST", "/v1/completions") => self.complete(&request).await,
            ("POST", "/orders/load") => self.load(&request).await,
            ("GET", "/load") => Response::json(StatusCode::OK, &lock(&self.state).shown_load()),
            _ => malformed(),
        }
    }

    async fn complete(&self, request: &Request) -> Response {
        let Ok(call) = serde_json::from_slice::<Completion>(&request.body) else {
            return malformed();
        };
        let resumed = u64::try_from(call.resume_tokens.len()).unwrap_or(u64::MAX);
        if call.resume_tokens != expected_token_ids(&call.prompt, resumed) {
            return reply(
                StatusCode::BAD_REQUEST,
                &json!({"error": "`resume_tokens` do not belong to `prompt`"}),
            );
        }
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let Some(slot) = acquire(&self.state, call.priority).await else {
            return not_run(&lock(&self.state).options.name);
        };
        let run = Run::begin(self.state.clone(), slot, id.clone(), request.peer, &call).await;
        let mut response = if call.stream {
            streamed(run, id.clone(), call.model, self.stop.clone())
        } else {
            whole(run, &id, &call.model).await
        };
        let id = HeaderValue::from_str(&id).ok().filter(|id| !id.is_empty());
        response.headers.extend(id.map(|id| (http::HeaderName::from_static("x-request-id"), id)));
        response
    }

    async fn load(&self, request: &Request) -> Response {
        let Ok(order) = serde_json::from_slice::<LoadOrder>(&request.body) else {
            return malformed();
        };
        let (outcome, load_time) = {
            let mut state = lock(&self.state);
            (state.begin_load(order.epoch), state.options.load_time)
        };
        let loading = outcome.is_ok().then(|| Loading(self.state.clone()));
        if loading.is_some() {
            monoio::time::sleep(load_time).await;
        }
        drop(loading);
        let mut state = lock(&self.state);
        let is_loaded = outcome == Ok(true);
        let record = (order.operation, order.epoch, order.version, is_loaded);
        state.records.loads.push(record);
        match outcome {
            Ok(true) => {
                state.finish_load(order.version);
                reply(StatusCode::OK, &json!({}))
            }
            Ok(false) => {
                reply(StatusCode::INTERNAL_SERVER_ERROR, &json!({"error": "the load failed"}))
            }
            Err(epoch) => reply(StatusCode::CONFLICT, &json!({"stale_epoch": epoch})),
        }
    }
}

/// A load in progress.
struct Loading(Arc<Mutex<State>>);

impl Drop for Loading {
    fn drop(&mut self) {
        lock(&self.0).end_load();
    }
}

impl server::Handler for Handler {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response> {
        async move {
            let answer = self.answer(request).boxed_local();
            match select(answer, self.stop.wait().boxed_local()).await {
                Either::Left((response, _)) => response,
                Either::Right(_) => broken(),
            }
        }
        .boxed_local()
    }
}
