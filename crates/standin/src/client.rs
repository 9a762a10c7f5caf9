//! HTTP client for the caller ports of nodes.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use serde::Deserialize;
use serde_json::Value;
use tamarackdock_wire::{
    client::{BufferedResponse, Error, Pool, Timeouts},
    validation::Limits,
};

/// Longest time from sending a call to the head of its response.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_mins(1);

/// Sends the calls of one client account, to one of the given nodes at a time.
pub(crate) struct Client {
    addresses: Vec<SocketAddr>,
    key: String,
    pool: Pool,
    /// Index of the current node, modulo the number of addresses.
    current: Cell<usize>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    code: String,
    ran: String,
}

impl Client {
    pub(crate) fn new(addresses: Vec<SocketAddr>, key: String) -> Self {
        Self { addresses, key, pool: Pool::new(Limits::default()), current: Cell::new(0) }
    }

    /// Switches to the next node, as a load balancer would after a failure.
    pub(crate) fn switch_node(&self) {
        self.current.set(self.current.get().wrapping_add(1));
    }

    /// Sends a call to the current node and reads the complete response.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<BufferedResponse, Error> {
        let index = self.current.get() % self.addresses.len().max(1);
        let address = *self.addresses.get(index).ok_or(Error::Connect)?;
        let body = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body))
            .map_err(|_| Error::ConnectionLost)?;
        let timeouts = Timeouts { first_byte: FIRST_BYTE_TIMEOUT, ..Timeouts::default() };
        self.pool.call(address, request, timeouts).await
    }
}

/// Returns the fields `code` and `ran` of an error response. Both are empty if the body
/// has another format.
pub(crate) fn error_fields(body: &[u8]) -> (String, String) {
    let parsed = serde_json::from_slice::<ErrorBody>(body);
    parsed.map(|body| (body.error.code, body.error.ran)).unwrap_or_default()
}
