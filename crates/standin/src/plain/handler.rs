use std::sync::{Arc, Mutex, PoisonError};

use futures_util::{
    FutureExt,
    future::{Either, LocalBoxFuture, select},
};
use http::StatusCode;
use serde_json::json;
use tamarackdock_wire::{
    flag::Flag,
    server::{self, Request, Response},
};

use super::State;
use crate::response::{json_response, truncated_response};

/// Handles calls to a plain service.
pub(super) struct Handler {
    state: Arc<Mutex<State>>,
    stop: Flag,
}

impl Handler {
    pub(super) fn new(state: Arc<Mutex<State>>, stop: Flag) -> Self {
        Self { state, stop }
    }

    async fn answer(&self, request: Request) -> Response {
        let (delay, fails, is_lost) = self.count(&request);
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
        match (is_lost, fails) {
            (true, _) => truncated_response(),
            (false, true) => {
                json_response(StatusCode::INTERNAL_SERVER_ERROR, &json!({"error": "failed"}))
            }
            (false, false) => echo(&request),
        }
    }

    /// Counts the call and returns its delay, whether it fails and whether its response
    /// is lost.
    fn count(&self, request: &Request) -> (std::time::Duration, bool, bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.calls += 1;
        state.authorized_requests +=
            u64::from(request.headers.contains_key(http::header::AUTHORIZATION));
        if let Some(id) = request.header("x-call-id") {
            *state.runs.entry(id.into()).or_default() += 1;
        }
        let (fails, is_lost) = (state.fail_next > 0, state.lose_next > 0);
        state.fail_next = state.fail_next.saturating_sub(1);
        state.lose_next = state.lose_next.saturating_sub(1);
        (state.delay, fails, is_lost)
    }
}

fn echo(request: &Request) -> Response {
    let path = request.uri.path_and_query().map_or(request.path(), |path| path.as_str());
    let echoed = json!({
        "method": request.method.as_str(),
        "path": path,
        "body": String::from_utf8_lossy(&request.body),
    });
    json_response(StatusCode::OK, &echoed)
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
