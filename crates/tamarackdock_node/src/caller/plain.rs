use bytes::Bytes;
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use http::{HeaderName, header};
use tamarackdock_config::deployment::{Role, Service, Target};
use tamarackdock_types::{
    call::Ran,
    refusal::{Code, Refusal},
};
use tamarackdock_wire::{
    client::{Deadlines, Error, Whole},
    server::{Body, Request, Response},
};

use super::access;
use crate::{
    context::Context,
    router::{Outcome, Query},
};

const MAX_ATTEMPTS: usize = 3;

/// Header fields that belong to one connection, or that targets must not see.
const NOT_FORWARDED: [HeaderName; 9] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
];

/// Passes a call through to a plain service.
pub(super) async fn handle(
    context: &Context,
    request: &Request,
    service: &str,
    id: String,
) -> Result<Response, Refusal> {
    let active = context.active.get();
    let (service, ending) = access::service(&active, &context.gate, request, service)?;
    let call = Call { context, request, service: &service, id };
    let work = call.run();
    let ended = ending.wait();
    pin_mut!(work, ended);
    match select(work, ended).await {
        Either::Left((result, _)) => result,
        Either::Right((refusal, _)) => Err(refusal),
    }
}

struct Call<'a> {
    context: &'a Context,
    request: &'a Request,
    service: &'a Service,
    id: String,
}

impl Call<'_> {
    async fn run(&self) -> Result<Response, Refusal> {
        let mut tried = Vec::new();
        loop {
            let service = self.service.name.clone();
            let query = Query { service, role: Role::App, tried: tried.clone() };
            let permit = self.context.router.choose(query).await?;
            let target = permit.target().clone();
            self.context.metrics.attempts.inc();
            let error = match self.send(&target).await {
                Ok(answer) => {
                    permit.finish(Outcome::Answered);
                    return Ok(pass_on(answer));
                }
                Err(error) => error,
            };
            permit.finish(Outcome::Failed);
            tried.push(target.name);
            let safe = self.service.idempotent || error.ran() == Ran::No;
            if !safe || tried.len() >= MAX_ATTEMPTS {
                return Err(refusal_of(error));
            }
        }
    }

    async fn send(&self, target: &Target) -> Result<Whole, Error> {
        let limits = &self.context.active.get().deployment.limits;
        let deadlines = Deadlines {
            first_byte: limits.first_byte_ms,
            between_bytes: limits.between_bytes_ms,
            ..Deadlines::default()
        };
        let request = self.forwarded(target).map_err(|_| Error::Connect)?;
        self.context.pool.call(target.address, request, deadlines).await
    }

    fn forwarded(&self, target: &Target) -> http::Result<http::Request<Bytes>> {
        let prefix = format!("/v1/services/{}", self.service.name);
        let uri = self.request.uri.to_string();
        let rest = uri.strip_prefix(&prefix).unwrap_or("/");
        let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
        let mut request = http::Request::builder().method(&self.request.method).uri(rest);
        for (name, value) in &self.request.headers {
            if !NOT_FORWARDED.contains(name) && name != header::HOST && name != "x-request-id" {
                request = request.header(name, value);
            }
        }
        request
            .header(header::HOST, target.address.to_string())
            .header("x-request-id", &self.id)
            .body(self.request.body.clone())
    }
}

fn pass_on(answer: Whole) -> Response {
    let mut headers = answer.headers;
    for name in &NOT_FORWARDED {
        headers.remove(name);
    }
    Response { status: answer.status, headers, body: Body::Whole(answer.body) }
}

fn refusal_of(error: Error) -> Refusal {
    let code = match error {
        Error::Silent => Code::TargetTimeout,
        _ => Code::TargetFailed,
    };
    match error.ran() {
        Ran::No => Refusal::not_run(code, error.to_string()),
        Ran::Unknown | Ran::Yes => Refusal::unknown(code, error.to_string()),
    }
}
