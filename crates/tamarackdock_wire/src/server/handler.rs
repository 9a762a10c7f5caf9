use futures_util::future::LocalBoxFuture;

use super::{Request, Response};

/// Answers the requests of a listener.
pub trait Handler {
    /// Answers one request. The future is dropped when the caller closes the connection.
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response>;
}
