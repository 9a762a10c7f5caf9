use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Method, StatusCode};
use serde_json::json;
use tamarackdock_types::refusal::{Code, Refusal};
use tamarackdock_wire::server::{self, Request, Response};

use crate::{context::Context, step::Service};

/// Answers operators.
pub(crate) struct Handler {
    context: Context,
    steps: Rc<Service>,
}

impl Handler {
    pub(crate) fn new(context: Context, steps: Rc<Service>) -> Self {
        Self { context, steps }
    }

    async fn route(&self, request: Request) -> Result<Response, Refusal> {
        match (&request.method, request.path()) {
            (&Method::GET, "/metrics") => {
                let text = self.context.metrics.text();
                Ok(Response::new(StatusCode::OK, "text/plain; version=0.0.4", text))
            }
            (&Method::GET, "/debug/state") => Ok(self.dump().await),
            (&Method::GET, "/config") => {
                let active = self.context.active.get();
                let body = json!({"version": active.version, "deployment": *active.deployment});
                Ok(Response::json(StatusCode::OK, &body))
            }
            _ => Err(Refusal::not_run(Code::NotFound, "no such route; see docs/api.md")),
        }
    }

    async fn dump(&self) -> Response {
        let body = json!({
            "host": self.context.settings.host,
            "data_centre": self.context.settings.data_centre,
            "config_version": self.context.active.get().version,
            "leaving": self.context.leaving.is_raised(),
            "steps": self.steps.dump(),
            "usage": self.context.usage.dump().await,
            "data_centres": self.context.centres.dump(),
            "targets": self.context.targets.dump(self.context.active.get().targets()),
            "router": self.context.router.dump().await,
        });
        Response::json(StatusCode::OK, &body)
    }
}

impl server::Handler for Handler {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response> {
        async move { self.route(request).await.unwrap_or_else(Response::from) }.boxed_local()
    }
}
