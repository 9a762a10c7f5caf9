use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Method, StatusCode};
use tamarackdock_types::refusal::{Code, Refusal};
use tamarackdock_wire::{
    Frame,
    server::{self, Request, Response},
};

use super::{Message, Reply};

/// Handles the messages of other nodes.
pub(crate) trait Dispatch {
    /// Handles a message and returns the reply.
    fn dispatch(&self, message: Message) -> LocalBoxFuture<'_, Reply>;
}

/// Answers the requests of the peer port.
pub(crate) struct Handler {
    dispatch: Rc<dyn Dispatch>,
}

impl Handler {
    pub(crate) fn new(dispatch: Rc<dyn Dispatch>) -> Self {
        Self { dispatch }
    }

    async fn answer(&self, request: Request) -> Result<Response, Refusal> {
        if (&request.method, request.path()) != (&Method::POST, "/peer") {
            return Err(Refusal::not_run(Code::NotFound, "the peer port has only `POST /peer`"));
        }
        let message = Frame::from_bytes(request.body).decode();
        let reply = match message {
            Ok(message) => self.dispatch.dispatch(message).await,
            Err(_) => Reply::Unsupported,
        };
        let frame = Frame::encode(&reply);
        let frame = frame.map_err(|error| Refusal::unknown(Code::Internal, error.to_string()))?;
        Ok(Response::new(StatusCode::OK, "application/msgpack", frame.into_bytes()))
    }
}

impl server::Handler for Handler {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response> {
        async move { self.answer(request).await.unwrap_or_else(Response::from) }.boxed_local()
    }
}
