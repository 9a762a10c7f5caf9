//! Load reports of engines and orders to load weights, see `docs/platform.md`.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use tamarackdock_types::{ServiceName, call::Ran, fence::Epoch, weight::Version};
use tamarackdock_wire::client::{Deadlines, Pool};

const REPORT_DEADLINES: Deadlines = Deadlines {
    connect: Duration::from_millis(500),
    first_byte: Duration::from_secs(1),
    between_bytes: Duration::from_secs(1),
};
/// An engine responds once the load has ended.
const LOAD_DEADLINES: Deadlines = Deadlines {
    connect: Duration::from_millis(500),
    first_byte: Duration::from_mins(1),
    between_bytes: Duration::from_secs(1),
};

/// A load report. It lags behind the engine's true state.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct Load {
    pub(crate) restart_id: String,
    pub(crate) warm: bool,
    pub(crate) running: u64,
    pub(crate) queued: u64,
    #[serde(default)]
    pub(crate) loading: bool,
    pub(crate) weight_version: Version,
    pub(crate) capacity: u32,
}

/// An order to load weights.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LoadOrder {
    pub(crate) operation: String,
    pub(crate) epoch: Epoch,
    pub(crate) service: ServiceName,
    pub(crate) version: Version,
}

/// The outcome of an order to load weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loaded {
    /// The engine serves the ordered version.
    Done,
    /// The load failed or did not begin.
    Failed,
    /// The engine has seen a later epoch.
    Stale,
    /// The response was lost.
    Unknown,
}

/// Reads an engine's load report, or `None` if there is no valid one.
pub(crate) async fn fetch_load(pool: &Pool, address: SocketAddr) -> Option<Load> {
    let request = request(address, Method::GET, "/load", Bytes::new())?;
    let answer = pool.call(address, request, REPORT_DEADLINES).await.ok()?;
    if answer.status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}

/// Orders an engine to load weights. `permit` is asked when the connection is
/// open, directly before the send, and without it nothing is sent.
pub(crate) async fn order_load(
    pool: &Pool,
    address: SocketAddr,
    order: &LoadOrder,
    permit: impl FnOnce() -> bool,
) -> Loaded {
    let body = serde_json::to_vec(order).unwrap_or_default();
    let Some(request) = request(address, Method::POST, "/orders/load", body.into()) else {
        return Loaded::Failed;
    };
    let Ok(mut lease) = pool.take(address, LOAD_DEADLINES).await else {
        return Loaded::Failed;
    };
    if !permit() {
        return Loaded::Failed;
    }
    let mut answer = match lease.connection().send(request).await {
        Ok(answer) => answer,
        Err(error) if error.ran() == Ran::No => return Loaded::Failed,
        Err(_) => return Loaded::Unknown,
    };
    let status = answer.status();
    loop {
        match answer.next().await {
            Ok(Some(_)) => {}
            Ok(None) => break,
            Err(_) => return Loaded::Unknown,
        }
    }
    drop(answer);
    pool.give_back(lease);
    match status {
        StatusCode::OK => Loaded::Done,
        StatusCode::CONFLICT => Loaded::Stale,
        _ => Loaded::Failed,
    }
}

fn request(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Option<Request<Bytes>> {
    let request = Request::builder().method(method).uri(path);
    let request = request.header(header::HOST, address.to_string());
    request.header(header::CONTENT_TYPE, "application/json").body(body).ok()
}
