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
    State,
    generation::{Generation, wait_forever},
    lock,
    request::Completion,
    response::{complete_response, not_run, stream_response},
    slots::acquire,
    text::expected_token_ids,
};
use crate::response::{bad_request, json_response, truncated_response};

/// Handles requests to an engine.
pub(super) struct Handler {
    state: Arc<Mutex<State>>,
    stop: Flag,
}

/// Body of `POST /orders/load`.
#[derive(Deserialize)]
struct LoadOrder {
    operation: String,
    epoch: Epoch,
    version: Version,
}

impl Handler {
    /// Starts the engine, cold and with nothing running or cached.
    pub(super) fn new(state: Arc<Mutex<State>>, stop: Flag) -> Self {
        lock(&state).start();
        Self { state, stop }
    }

    async fn answer(&self, request: Request) -> Response {
        let is_silent = {
            let mut state = lock(&self.state);
            state.silence.record_request(request.peer);
            let is_authorized = request.headers.contains_key(http::header::AUTHORIZATION);
            state.records.authorized_requests += u64::from(is_authorized);
            state.silence.is_silent(request.peer)
        };
        if is_silent {
            wait_forever().await;
        }
        match (request.method.as_str(), request.path()) {
            ("POST", "/v1/completions") => self.complete(&request).await,
            ("POST", "/orders/load") => self.load_weights(&request).await,
            ("GET", "/load") => Response::json(StatusCode::OK, &lock(&self.state).reported_load()),
            _ => bad_request(),
        }
    }

    async fn complete(&self, request: &Request) -> Response {
        let Ok(call) = serde_json::from_slice::<Completion>(&request.body) else {
            return bad_request();
        };
        let resumed = u64::try_from(call.resume_tokens.len()).unwrap_or(u64::MAX);
        if call.resume_tokens != expected_token_ids(&call.prompt, resumed) {
            return json_response(
                StatusCode::BAD_REQUEST,
                &json!({"error": "`resume_tokens` do not belong to `prompt`"}),
            );
        }
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let Some(slot) = acquire(&self.state, call.priority).await else {
            return not_run(&lock(&self.state).options.name);
        };
        let generation =
            Generation::begin(self.state.clone(), slot, id.clone(), request.peer, &call).await;
        let mut response = if call.stream {
            stream_response(generation, id.clone(), call.model, self.stop.clone())
        } else {
            complete_response(generation, &id, &call.model).await
        };
        let id = HeaderValue::from_str(&id).ok().filter(|id| !id.is_empty());
        response.headers.extend(id.map(|id| (http::HeaderName::from_static("x-request-id"), id)));
        response
    }

    async fn load_weights(&self, request: &Request) -> Response {
        let Ok(order) = serde_json::from_slice::<LoadOrder>(&request.body) else {
            return bad_request();
        };
        let (outcome, weight_load_time) = {
            let mut state = lock(&self.state);
            (state.begin_weight_load(order.epoch), state.options.weight_load_time)
        };
        let guard = outcome.is_ok().then(|| WeightLoadGuard(self.state.clone()));
        if guard.is_some() {
            monoio::time::sleep(weight_load_time).await;
        }
        drop(guard);
        let mut state = lock(&self.state);
        let is_loaded = outcome == Ok(true);
        let record = (order.operation, order.epoch, order.version, is_loaded);
        state.records.weight_loads.push(record);
        match outcome {
            Ok(true) => {
                state.set_weights(order.version);
                json_response(StatusCode::OK, &json!({}))
            }
            Ok(false) => json_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                &json!({"error": "the load failed"}),
            ),
            Err(epoch) => json_response(StatusCode::CONFLICT, &json!({"stale_epoch": epoch})),
        }
    }
}

/// Counts a load of weights as in progress until it is dropped.
struct WeightLoadGuard(Arc<Mutex<State>>);

impl Drop for WeightLoadGuard {
    fn drop(&mut self) {
        lock(&self.0).end_weight_load();
    }
}

impl server::Handler for Handler {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response> {
        async move {
            let answer = self.answer(request).boxed_local();
            match select(answer, self.stop.wait().boxed_local()).await {
                Either::Left((response, _)) => response,
                Either::Right(_) => truncated_response(),
            }
        }
        .boxed_local()
    }
}
