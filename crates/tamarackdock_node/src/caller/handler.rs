use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Method, StatusCode};
use tamarackdock_types::refusal::{Code, Refusal};
use tamarackdock_wire::server::{self, Request, Response};

use super::{RequestIds, completion, plain, step};
use crate::{context::Context, step::Service};

/// Answers the requests of the caller port.
pub(crate) struct Handler {
    context: Context,
    request_ids: Rc<RequestIds>,
    steps: Rc<Service>,
}

impl Handler {
    pub(crate) fn new(context: Context, request_ids: Rc<RequestIds>, steps: Rc<Service>) -> Self {
        Self { context, request_ids, steps }
    }

    async fn route(&self, request: Request) -> Result<Response, Refusal> {
        let path = request.path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (&request.method, parts.as_slice()) {
            (&Method::GET, ["healthz"]) => Ok(self.health()),
            (&Method::POST, ["v1", "completions"]) => {
                completion::handle(&self.context, &request, self.request_ids.next()).await
            }
            (&Method::HEAD, _) => {
                let message = "HEAD is not supported; use GET";
                Err(Refusal::not_run(Code::MethodNotAllowed, message))
            }
            (_, ["v1", "services", service, ..]) => {
                plain::handle(&self.context, &request, service, self.request_ids.next()).await
            }
            (&Method::GET | &Method::POST, ["v1", "steps", ..]) => {
                step::handle(&self.context, &self.steps, &request).await
            }
            (_, ["healthz"] | ["v1", "completions"]) => {
                Err(Refusal::not_run(Code::MethodNotAllowed, "the route has another method"))
            }
            _ => Err(Refusal::not_run(Code::NotFound, "no such route; see docs/api.md")),
        }
    }

    fn health(&self) -> Response {
        let is_configured = self.context.active.get().version > 0;
        let (status, text) = match self.context.leaving.is_set() {
            true => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
            false if is_configured => (StatusCode::OK, "ok\n"),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not configured\n"),
        };
        Response::new(status, "text/plain", text)
    }
}

impl server::Handler for Handler {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response> {
        async move {
            let result = self.route(request).await;
            let code = match &result {
                Ok(_) => "ok".into(),
                Err(refusal) => refusal.code.to_string(),
            };
            self.context.metrics.calls.with_label_values(&[&code]).inc();
            result.unwrap_or_else(Response::from)
        }
        .boxed_local()
    }
}
