use std::time::Duration;

use bytes::Bytes;
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use http::{HeaderName, header};
use tamarackdock_admit::Level;
use tamarackdock_config::deployment::{Service, Target};
use tamarackdock_route::fingerprint;
use tamarackdock_types::{
    AccountName,
    call::Ran,
    clock::{BootClock, Clock},
    refusal::{Code, Refusal},
};
use tamarackdock_wire::{
    client::{Deadlines, Error, Whole},
    server::{Body, Request, Response},
};

use super::access::{self, Grant};
use crate::{
    context::Context,
    engine::account_or_open,
    router::{Admit, Outcome, Query},
    usage::Meter,
};

const MAX_ATTEMPTS: usize = 3;
/// Longest wait of a call for its start.
const WAIT: Duration = Duration::from_secs(3);

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
    let Grant { service, account, ending } =
        access::service(&active, &context.gate, request, service)?;
    let meter = context.usage.meter(account.clone());
    let call = Call { context, request, service: &service, account, id, meter };
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
    account: Option<AccountName>,
    id: String,
    meter: Meter,
}

impl Call<'_> {
    async fn run(&self) -> Result<Response, Refusal> {
        let _admitted = self.context.router.admit(self.admit()).await?;
        let deadline = BootClock.now() + WAIT;
        let mut tried = Vec::new();
        loop {
            let query = Query {
                service: self.service.name.clone(),
                level: Level::App,
                prefix: fingerprint(self.request.path().as_bytes()),
                fingerprint: self.fingerprint(),
                tried: tried.clone(),
                is_retry: !tried.is_empty(),
                deadline,
            };
            let permit = self.context.router.choose(query).await?;
            let target = permit.target().clone();
            self.context.metrics.attempts.inc();
            let error = match self.send(&target).await {
                Ok(answer) => {
                    self.meter.count_call();
                    permit.finish(Outcome::Answered { first_byte: None });
                    return Ok(pass_on(answer));
                }
                Err(error) => error,
            };
            permit.finish(match error {
                Error::Connect => Outcome::Unreachable,
                Error::OutOfStep => Outcome::Cancelled,
                Error::Broken => Outcome::Broken,
                Error::Silent => Outcome::Silent,
                Error::Invalid(_) => Outcome::Failed,
            });
            tried.push(target.name.clone());
            let safe = self.service.idempotent || error.ran() == Ran::No;
            if !safe || tried.len() >= MAX_ATTEMPTS {
                return Err(refusal_of(error));
            }
        }
    }

    fn admit(&self) -> Admit {
        Admit {
            service: self.service.name.clone(),
            account: account_or_open(self.account.as_ref()),
            level: Level::App,
            tokens: 1,
            deadline: BootClock.now() + WAIT,
        }
    }

    fn fingerprint(&self) -> u64 {
        let uri = fingerprint(self.request.uri.to_string().as_bytes());
        let method = fingerprint(self.request.method.as_str().as_bytes());
        uri ^ method.rotate_left(1) ^ fingerprint(&self.request.body).rotate_left(2)
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
