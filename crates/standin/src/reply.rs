use futures_util::FutureExt;
use http::{HeaderValue, StatusCode};
use serde_json::{Value, json};
use tamarackdock_wire::{server::Response, stream};

/// Makes a JSON response.
pub(crate) fn reply(status: StatusCode, value: &Value) -> Response {
    Response::json(status, value)
}

/// Makes the response to a request that breaks the interface.
pub(crate) fn malformed() -> Response {
    reply(StatusCode::BAD_REQUEST, &json!({"error": "the request is not as the interface says"}))
}

/// Makes a response that breaks off after its head, so that its content is lost.
pub(crate) fn broken() -> Response {
    let (_, body) = stream::channel();
    let content_type = HeaderValue::from_static("application/json");
    let nothing = std::future::ready(()).boxed_local();
    Response::stream(StatusCode::OK, content_type, body, nothing)
}
