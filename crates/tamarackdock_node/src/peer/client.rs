use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use tamarackdock_wire::{
    Frame,
    client::{Pool, Timeouts},
};

use super::{CallError, Message, Reply};

/// Sends messages to other nodes.
#[derive(Clone)]
pub(crate) struct Client {
    pool: Rc<Pool>,
}

impl Client {
    pub(crate) fn new(pool: Rc<Pool>) -> Self {
        Self { pool }
    }

    /// Sends a message to the peer port at `address` and waits for the reply.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        message: &Message,
        timeouts: Timeouts,
    ) -> Result<Reply, CallError> {
        let frame = Frame::encode(message).map_err(|_| CallError::Malformed)?;
        let request: http::Result<Request<Bytes>> = Request::builder()
            .method(Method::POST)
            .uri("/peer")
            .header(header::HOST, address.to_string())
            .body(frame.into_bytes());
        let request = request.map_err(|_| CallError::Malformed)?;
        let answer = self.pool.call(address, request, timeouts).await;
        let answer = answer.map_err(CallError::Connection)?;
        if answer.status != StatusCode::OK {
            return Err(CallError::Malformed);
        }
        Frame::from_bytes(answer.body).decode().map_err(|_| CallError::Malformed)
    }
}
