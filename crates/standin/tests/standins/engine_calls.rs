//! Requests to an engine.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use standin::engine::Options;
use tamarackdock_wire::client::{BufferedResponse, Error};

use super::support::{SEED, call, request};

pub(crate) const HOUR: Duration = Duration::from_hours(1);

pub(crate) fn options() -> Options {
    Options { seed: SEED, token_interval: Duration::from_micros(100), ..Options::default() }
}

/// Options of an engine whose calls don't end during a test.
pub(crate) fn endless_options() -> Options {
    Options { token_interval: HOUR, ..options() }
}

/// Makes a completion call for at most 20 tokens.
pub(crate) async fn ask(
    address: SocketAddr,
    id: &str,
    mut body: Value,
) -> Result<BufferedResponse, Error> {
    body["model"] = json!("m");
    body["max_tokens"] = json!(20);
    let mut request = request("POST", "/v1/completions", &body.to_string());
    request.headers_mut().insert("x-request-id", id.parse().unwrap());
    call(address, request).await
}

pub(crate) fn parse_body(response: &BufferedResponse) -> Value {
    serde_json::from_slice(&response.body).unwrap()
}

pub(crate) fn token_ids(value: &Value) -> Vec<u32> {
    serde_json::from_value(value["token_ids"].clone()).unwrap()
}

/// Orders the engine to load a weight version, and returns its response.
pub(crate) async fn order_load(address: SocketAddr, epoch: u64, version: u64) -> BufferedResponse {
    let body = json!({"operation": "op", "epoch": epoch, "service": "m", "version": version});
    call(address, request("POST", "/orders/load", &body.to_string())).await.unwrap()
}
