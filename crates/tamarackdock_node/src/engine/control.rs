//! Reads load reports of engines and sends orders to load weights, see `docs/platform.md`.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use tamarackdock_types::{ServiceName, call::Ran, fence::Epoch, weight::Version};
use tamarackdock_wire::client::{Pool, Timeouts};

const REPORT_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    first_byte: Duration::from_secs(1),
    between_bytes: Duration::from_secs(1),
};
/// The first byte takes long, since an engine responds once the load has ended.
const LOAD_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    first_byte: Duration::from_mins(1),
    between_bytes: Duration::from_secs(1),
};

/// A load report of an engine. It lags behind the engine's state.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct LoadReport {
    /// Changes when the engine restarts.
    pub(crate) restart_id: String,
    pub(crate) warm: bool,
    /// Calls of all nodes that run.
    pub(crate) running: u64,
    /// Calls of all nodes that wait in the engine.
    pub(crate) queued: u64,
    /// Whether a weight load is in progress.
    #[serde(default)]
    pub(crate) loading: bool,
    pub(crate) weight_version: Version,
    /// Calls that it runs at once.
    pub(crate) capacity: u32,
}

/// An order to load weights.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct WeightLoadOrder {
    /// Unique id of the order.
    pub(crate) operation: String,
    pub(crate) epoch: Epoch,
    pub(crate) service: ServiceName,
    pub(crate) version: Version,
}

/// The outcome of an order to load weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadOutcome {
    /// The engine serves the ordered version.
    Done,
    /// The load failed or did not begin.
    Failed,
    /// The engine has seen a later epoch.
    Stale,
    /// The response was lost.
    Unknown,
}

/// Reads an engine's load report. Returns `None` if the engine sends no valid one.
pub(crate) async fn fetch_load_report(pool: &Pool, address: SocketAddr) -> Option<LoadReport> {
    let request = request(address, Method::GET, "/load", Bytes::new())?;
    let response = pool.call(address, request, REPORT_TIMEOUTS).await.ok()?;
    if response.status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&response.body).ok()
}

/// Orders an engine to load weights. `permit` is called when the connection is
/// open, directly before the send. If it returns `false`, nothing is sent.
pub(crate) async fn order_weight_load(
    pool: &Pool,
    address: SocketAddr,
    order: &WeightLoadOrder,
    permit: impl FnOnce() -> bool,
) -> LoadOutcome {
    let body = serde_json::to_vec(order).unwrap_or_default();
    let Some(request) = request(address, Method::POST, "/orders/load", body.into()) else {
        return LoadOutcome::Failed;
    };
    let Ok(mut pooled) = pool.take(address, LOAD_TIMEOUTS).await else {
        return LoadOutcome::Failed;
    };
    if !permit() {
        return LoadOutcome::Failed;
    }
    let mut response = match pooled.connection().send(request).await {
        Ok(response) => response,
        Err(error) if error.ran() == Ran::No => return LoadOutcome::Failed,
        Err(_) => return LoadOutcome::Unknown,
    };
    let status = response.status();
    loop {
        match response.next().await {
            Ok(Some(_)) => {}
            Ok(None) => break,
            Err(_) => return LoadOutcome::Unknown,
        }
    }
    drop(response);
    pool.release(pooled);
    match status {
        StatusCode::OK => LoadOutcome::Done,
        StatusCode::CONFLICT => LoadOutcome::Stale,
        _ => LoadOutcome::Failed,
    }
}

fn request(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Option<Request<Bytes>> {
    let request = Request::builder().method(method).uri(path);
    let request = request.header(header::HOST, address.to_string());
    request.header(header::CONTENT_TYPE, "application/json").body(body).ok()
}
