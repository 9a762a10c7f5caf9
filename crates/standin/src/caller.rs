//! Calls to the caller port of nodes.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use serde::Deserialize;
use serde_json::Value;
use tamarackdock_wire::{
    client::{Deadlines, Error, Pool, Whole},
    guard::Limits,
};

/// Time from a call to the head of its response.
const FIRST_BYTE: Duration = Duration::from_mins(1);

/// A client account's connections to its nodes.
pub(crate) struct Caller {
    addresses: Vec<SocketAddr>,
    key: String,
    pool: Pool,
    next: Cell<usize>,
}

#[derive(Deserialize)]
struct Refused {
    error: Fields,
}

#[derive(Deserialize)]
struct Fields {
    code: String,
    ran: String,
}

impl Caller {
    pub(crate) fn new(addresses: Vec<SocketAddr>, key: String) -> Self {
        Self { addresses, key, pool: Pool::new(Limits::default()), next: Cell::new(0) }
    }

    /// Passes to the next node, as a load balancer would after a failure.
    pub(crate) fn rotate(&self) {
        self.next.set(self.next.get().wrapping_add(1));
    }

    /// Sends a call to the present node and reads the whole response.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Whole, Error> {
        let index = self.next.get() % self.addresses.len().max(1);
        let address = *self.addresses.get(index).ok_or(Error::Connect)?;
        let body = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body))
            .map_err(|_| Error::Broken)?;
        let deadlines = Deadlines { first_byte: FIRST_BYTE, ..Deadlines::default() };
        self.pool.call(address, request, deadlines).await
    }
}

/// Returns the code and `ran` of an error response; both are empty if it has another form.
pub(crate) fn refusal(body: &[u8]) -> (String, String) {
    let refused = serde_json::from_slice::<Refused>(body);
    refused.map(|refused| (refused.error.code, refused.error.ran)).unwrap_or_default()
}
