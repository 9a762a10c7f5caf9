use bytes::Bytes;
use futures_util::{FutureExt, future::select};
use http::{HeaderValue, StatusCode};
use serde_json::{Value, json};
use tamarackdock_types::weight::Version;
use tamarackdock_wire::{
    flag::Flag,
    server::Response,
    stream::{self, Piece},
};

use super::generation::{Generation, Token, wait_forever};
use crate::response::json_response;

/// Makes the server-sent event with one token.
fn event(id: &str, model: &str, token: &Token) -> Bytes {
    let value = json!({
        "id": id,
        "object": "text_completion",
        "model": model,
        "choices": [{"index": 0, "text": token.text, "finish_reason": token.finish}],
        "weight_version": token.version,
        "token_ids": [token.id],
    });
    format!("data: {value}\n\n").into()
}

/// Makes a response that sends a call's tokens as they are generated, until the caller
/// disconnects or the engine stops.
pub(super) fn stream_response(
    generation: Generation,
    id: String,
    model: String,
    stop: Flag,
) -> Response {
    let (sender, body) = stream::channel();
    let producer = async move {
        select(send_tokens(generation, sender, id, model).boxed_local(), stop.wait().boxed_local())
            .await;
    };
    let content_type = HeaderValue::from_static("text/event-stream");
    Response::stream(StatusCode::OK, content_type, body, producer.boxed_local())
}

async fn send_tokens(
    mut generation: Generation,
    mut sender: stream::Sender,
    id: String,
    model: String,
) {
    while let Some(token) = generation.next().await {
        if generation.is_silent() {
            // The slot is freed, while the sender keeps the connection open.
            drop(generation);
            wait_forever().await;
            return;
        }
        if !sender.send(Piece::Data(event(&id, &model, &token))).await {
            return;
        }
    }
    drop(generation);
    let done = Piece::Data(Bytes::from_static(b"data: [DONE]\n\n"));
    let _ = sender.send(done).await && sender.send(Piece::End).await;
}

/// Generates all tokens of a call and makes the response with them.
pub(super) async fn complete_response(
    mut generation: Generation,
    id: &str,
    model: &str,
) -> Response {
    let mut text = String::new();
    let mut ids = Vec::new();
    let mut finish = Some("stop");
    let mut spans: Vec<(u64, Version)> = Vec::new();
    while let Some(token) = generation.next().await {
        if generation.is_silent() {
            wait_forever().await;
        }
        text.push_str(&token.text);
        ids.push(token.id);
        finish = token.finish;
        match spans.last_mut().filter(|(_, version)| *version == token.version) {
            Some((tokens, _)) => *tokens += 1,
            None => spans.push((1, token.version)),
        }
    }
    let version = spans.last().map(|(_, version)| *version);
    let span =
        |(tokens, version): &(u64, Version)| json!({"tokens": tokens, "weight_version": version});
    let spans: Vec<Value> = spans.iter().map(span).collect();
    json_response(
        StatusCode::OK,
        &json!({
            "id": id,
            "object": "text_completion",
            "model": model,
            "choices": [{"index": 0, "text": text, "finish_reason": finish}],
            "weight_version": version,
            "token_ids": ids,
            "spans": spans,
            "usage": {"completion_tokens": ids.len()},
        }),
    )
}

/// Makes the response to a call that was refused without being run.
pub(super) fn not_run(name: &str) -> Response {
    let mut response =
        json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "the queue is full"}));
    response.headers.insert("x-not-run", HeaderValue::from_static("1"));
    response.headers.extend(
        HeaderValue::from_str(name)
            .ok()
            .map(|name| (http::HeaderName::from_static("x-target"), name)),
    );
    response
}
