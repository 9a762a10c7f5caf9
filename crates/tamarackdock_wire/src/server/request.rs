use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Request {
    /// HTTP method; it may be an extension method.
    pub method: Method,
    /// Request target: path and query.
    pub uri: Uri,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// Complete body, at most as large as the listener's limits allow.
    pub body: Bytes,
    /// Remote address of the connection.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns a header's value as text, or `None` if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// Returns a parameter of the query, with escapes left undecoded.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}
