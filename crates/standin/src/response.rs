use futures_util::FutureExt;
use http::{HeaderValue, StatusCode};
use serde_json::{Value, json};
use tamarackdock_wire::{server::Response, stream};

/// Makes a JSON response.
pub(crate) fn json_response(status: StatusCode, value: &Value) -> Response {
    Response::json(status, value)
}

/// Makes the response to a request that does not conform to the interface.
pub(crate) fn bad_request() -> Response {
    json_response(StatusCode::BAD_REQUEST, &json!({"error": "malformed request"}))
}

/// Makes a response whose connection closes after the head, so that its content is lost.
pub(crate) fn truncated_response() -> Response {
    let (_, body) = stream::channel();
    let content_type = HeaderValue::from_static("application/json");
    let producer = std::future::ready(()).boxed_local();
    Response::stream(StatusCode::OK, content_type, body, producer)
}
