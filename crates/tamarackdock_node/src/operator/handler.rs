use std::rc::Rc;

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Method, StatusCode};
use serde_json::json;
use tamarackdock_config::{accept::Accepted, deployment::DataCentreState, reader};
use tamarackdock_types::refusal::{Code, Refusal};
use tamarackdock_wire::server::{self, Request, Response};

use super::{change::Change, parameters, problems};
use crate::{config, context::Context, membership, step::Service};

/// Stands for the file name in the reader's reports on a submitted configuration.
const BODY: &str = "body";

/// Answers the requests of the operator port.
pub(crate) struct Handler {
    context: Context,
    steps: Rc<Service>,
    config: Rc<config::Service>,
    members: Rc<membership::Service>,
}

impl Handler {
    pub(crate) fn new(
        context: Context,
        steps: Rc<Service>,
        config: Rc<config::Service>,
        members: Rc<membership::Service>,
    ) -> Self {
        Self { context, steps, config, members }
    }

    async fn route(&self, request: Request) -> Result<Response, Refusal> {
        let path = request.path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (&request.method, parts.as_slice()) {
            (&Method::GET, ["metrics"]) => {
                let text = self.context.metrics.text();
                Ok(Response::new(StatusCode::OK, "text/plain; version=0.0.4", text))
            }
            (&Method::GET, ["debug", "state"]) => Ok(self.dump().await),
            (&Method::GET, ["config"]) => Ok(self.active_config()),
            (&Method::POST, ["config"]) => self.replace(&request).await,
            (&Method::POST, ["accounts", account, "keys", key]) => {
                self.change(&request, Change::issue(account, key)?).await
            }
            (&Method::DELETE, ["accounts", account, "keys", key]) => {
                self.change(&request, Change::withdraw(account, key)?).await
            }
            (&Method::POST, ["data-centres", name, "out"]) => {
                self.set_data_centre(&request, name, DataCentreState::Out).await
            }
            (&Method::POST, ["data-centres", name, "in"]) => {
                self.set_data_centre(&request, name, DataCentreState::In).await
            }
            _ => Err(Refusal::not_run(Code::NotFound, "no such route; see docs/api.md")),
        }
    }

    fn active_config(&self) -> Response {
        let active = self.config.active();
        let body = json!({
            "version": active.number(),
            "checksum": active.checksum(),
            "deployment": active.deployment(),
        });
        Response::json(StatusCode::OK, &body)
    }

    async fn replace(&self, request: &Request) -> Result<Response, Refusal> {
        let base = parameters::base(request)?;
        let operation = parameters::operation(request)?;
        parameters::wait(request)?;
        let deployment = match reader::deployment(BODY, &request.body) {
            Ok(deployment) => deployment,
            Err(report) => return Ok(problems::response(&report)),
        };
        let accepted = self.config.replace(operation, base, deployment).await?;
        self.accepted_response(request, accepted).await
    }

    async fn set_data_centre(
        &self,
        request: &Request,
        name: &str,
        state: DataCentreState,
    ) -> Result<Response, Refusal> {
        self.change(request, Change::DataCentre { name: name.into(), state }).await
    }

    async fn change(&self, request: &Request, change: Change) -> Result<Response, Refusal> {
        parameters::wait(request)?;
        let accepted = self.config.edit(|deployment| change.apply(deployment)).await?;
        self.accepted_response(request, accepted).await
    }

    /// Waits as long as the request asks for and answers on which nodes the change is active.
    async fn accepted_response(
        &self,
        request: &Request,
        accepted: Accepted,
    ) -> Result<Response, Refusal> {
        let wait = parameters::wait(request)?;
        // Without the newest host list, `missing` would leave out nodes that have just started.
        self.members.refresh_hosts().await;
        let coverage = self.config.await_coverage(accepted.number, wait).await;
        let body = json!({
            "version": accepted.number,
            "checksum": accepted.checksum,
            "active_on": coverage.active_on,
            "missing": coverage.missing,
        });
        Ok(Response::json(StatusCode::OK, &body))
    }

    async fn dump(&self) -> Response {
        let body = json!({
            "host": self.context.settings.host,
            "data_centre": self.context.settings.data_centre,
            "config_version": self.context.active.get().version,
            "leaving": self.context.leaving.is_set(),
            "config": self.config.dump(),
            "reachability": self.context.gate.dump(),
            "membership": self.context.peers.dump(),
            "steps": self.steps.dump(),
            "usage": self.context.usage.dump().await,
            "data_centres": self.context.data_centres.dump(),
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
