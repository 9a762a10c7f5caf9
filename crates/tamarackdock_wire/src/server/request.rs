use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

/// A whole request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Header fields.
    pub headers: HeaderMap,
    /// Whole body, bounded by the listener's limits.
    pub body: Bytes,
    /// Address that the connection comes from.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns a header's value as text, or `None` if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the path of the request.
    #[must_use]
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// Returns a parameter of the query, without decoding escapes.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}
