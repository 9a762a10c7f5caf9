use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::{
    FutureExt,
    future::{Either, LocalBoxFuture, select},
};
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tamarackdock_platform::table::Row;
use tamarackdock_types::{DataCentreName, ServiceName};
use tamarackdock_wire::{
    flag::Flag,
    server::{self, Request, Response},
};

use super::{State, orders::Rejection};
use crate::response::{bad_request, json_response, truncated_response};

/// Handles requests to the platform.
pub(super) struct Handler {
    state: Arc<Mutex<State>>,
    stop: Flag,
}

#[derive(Deserialize)]
struct Keys {
    keys: Vec<String>,
}

#[derive(Deserialize)]
struct Prefix {
    prefix: String,
}

impl Handler {
    pub(super) fn new(state: Arc<Mutex<State>>, stop: Flag) -> Self {
        Self { state, stop }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request) -> Response {
        let is_write = is_write(&request);
        if self.state().faults.store_down && is_store_request(&request) {
            return truncated_response();
        }
        let response = route(&mut self.state(), &request);
        let (delay, is_lost) = {
            let mut state = self.state();
            state.rates.count(request.path(), is_write);
            (
                state.faults.delay,
                is_write && state.faults.loses_response(request.path() == "/table/commit"),
            )
        };
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
        if is_lost { truncated_response() } else { response }
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

fn is_write(request: &Request) -> bool {
    request.method != Method::GET && !matches!(request.path(), "/table/read" | "/table/scan")
}

fn is_store_request(request: &Request) -> bool {
    request.path().starts_with("/table/") || request.path().starts_with("/objects/")
}

fn route(state: &mut State, request: &Request) -> Response {
    let parts = request.path().trim_start_matches('/').split_once('/');
    let (area, rest) = parts.unwrap_or((request.path().trim_start_matches('/'), ""));
    if state.faults.is_down(area) {
        return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    match (request.method.as_str(), area, rest) {
        ("POST", "table", "read") => read(state, request),
        ("POST", "table", "scan") => scan(state, request),
        ("POST", "table", "commit") => commit(state, request),
        ("PUT", "objects", name) => put(state, name, request),
        ("GET", "objects", name) => match state.objects.get(name) {
            Some(bytes) => Response::new(StatusCode::OK, "application/octet-stream", bytes.clone()),
            None => json_response(StatusCode::NOT_FOUND, &json!({})),
        },
        ("POST", "orders", data_centre) => order(state, data_centre, request),
        ("GET", "orders", data_centre) => match DataCentreName::new(data_centre) {
            Ok(name) => {
                json_response(StatusCode::OK, &json!({"targets": state.orders.list(&name)}))
            }
            Err(_) => bad_request(),
        },
        ("POST", "reports", window) => report(state, window, request),
        ("GET", "hosts", "") => {
            json_response(StatusCode::OK, &json!({"hosts": state.hosts.visible()}))
        }
        ("GET", "weights", service) => weights(state, service),
        _ => bad_request(),
    }
}

fn rows_response(rows: &[&Row]) -> Response {
    json_response(StatusCode::OK, &json!({"rows": rows}))
}

fn read(state: &State, request: &Request) -> Response {
    match serde_json::from_slice::<Keys>(&request.body) {
        Ok(wanted) => {
            let found: Vec<_> = wanted.keys.iter().filter_map(|key| state.table.get(key)).collect();
            rows_response(&found)
        }
        Err(_) => bad_request(),
    }
}

fn scan(state: &State, request: &Request) -> Response {
    match serde_json::from_slice::<Prefix>(&request.body) {
        Ok(wanted) => rows_response(&state.table.scan(&wanted.prefix)),
        Err(_) => bad_request(),
    }
}

fn commit(state: &mut State, request: &Request) -> Response {
    let Ok(commit) = serde_json::from_slice(&request.body) else {
        return bad_request();
    };
    match state.table.commit(commit) {
        Ok(revision) => json_response(StatusCode::OK, &json!({"revision": revision})),
        Err(conflict) => json_response(StatusCode::CONFLICT, &json!({"conflict": conflict})),
    }
}

fn put(state: &mut State, name: &str, request: &Request) -> Response {
    let is_same = state.put(name, &request.body);
    let status = if is_same { StatusCode::CREATED } else { StatusCode::CONFLICT };
    json_response(status, &json!({}))
}

fn order(state: &mut State, data_centre: &str, request: &Request) -> Response {
    let order = serde_json::from_slice(&request.body);
    let (Ok(name), Ok(order)) = (DataCentreName::new(data_centre), order) else {
        return bad_request();
    };
    match state.orders.receive(name, order) {
        Ok(()) => json_response(StatusCode::OK, &json!({})),
        Err(Rejection::StaleEpoch(epoch)) => {
            json_response(StatusCode::CONFLICT, &json!({"stale_epoch": epoch}))
        }
        Err(Rejection::Unavailable) => {
            json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"unavailable": true}))
        }
    }
}

fn report(state: &mut State, window: &str, request: &Request) -> Response {
    let Ok(window) = window.parse() else {
        return bad_request();
    };
    let is_same = state.report(window, &request.body);
    let status = if is_same { StatusCode::OK } else { StatusCode::CONFLICT };
    json_response(status, &json!({}))
}

fn weights(state: &State, service: &str) -> Response {
    let latest = ServiceName::new(service).ok().and_then(|name| state.weights.get(&name));
    match latest {
        Some(latest) => Response::json(StatusCode::OK, latest),
        None => json_response(StatusCode::NOT_FOUND, &json!({})),
    }
}
