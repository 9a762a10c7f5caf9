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
    client::{BufferedResponse, Error, Timeouts},
    server::{Body, Request, Response},
};

use super::access::{self, Authorization};
use crate::{
    context::Context,
    engine::account_or_open,
    router::{AdmissionRequest, Outcome, Query},
    usage::Meter,
};

const MAX_ATTEMPTS: usize = 3;
/// Longest time that a call waits for admission. After admission, the same time bounds the wait
/// for targets over all attempts.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Header fields that are valid for one connection only, or that targets must not see.
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

/// Forwards a call to a target of a plain service.
pub(super) async fn handle(
    context: &Context,
    request: &Request,
    service: &str,
    id: String,
) -> Result<Response, Refusal> {
    let active = context.active.get();
    let Authorization { service, account, cancellation } =
        access::authorize(&active, &context.gate, request, service)?;
    let meter = context.usage.meter(account.clone());
    let call = Call { context, request, service: &service, account, id, meter };
    let work = call.run();
    let cancelled = cancellation.wait();
    pin_mut!(work, cancelled);
    match select(work, cancelled).await {
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
        let _admitted = self.context.router.admit(self.admission_request()).await?;
        let deadline = BootClock.now() + MAX_WAIT;
        let mut tried = Vec::new();
        loop {
            let query = Query {
                service: self.service.name.clone(),
                level: Level::App,
                prefix: fingerprint(self.request.path().as_bytes()),
                fingerprint: Some(self.request_fingerprint()),
                tried: tried.clone(),
                is_retry: !tried.is_empty(),
                deadline,
            };
            let permit = self.context.router.choose_target(query).await?;
            let target = permit.target().clone();
            self.context.metrics.attempts.inc();
            let error = match self.send(&target).await {
                Ok(response) => {
                    self.meter.count_call();
                    permit.finish(Outcome::Answered { first_byte: None });
                    return Ok(to_response(response));
                }
                Err(error) => error,
            };
            permit.finish(match error {
                Error::Connect => Outcome::Unreachable,
                Error::ClosedBeforeSend => Outcome::Cancelled,
                Error::ConnectionLost => Outcome::ConnectionLost,
                Error::TimedOut => Outcome::TimedOut,
                Error::Invalid(_) => Outcome::Failed,
            });
            tried.push(target.name.clone());
            let can_retry = self.service.idempotent || error.ran() == Ran::No;
            if !can_retry || tried.len() >= MAX_ATTEMPTS {
                return Err(refusal_for(error));
            }
        }
    }

    fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest {
            service: self.service.name.clone(),
            account: account_or_open(self.account.as_ref()),
            level: Level::App,
            tokens: 1,
            deadline: BootClock.now() + MAX_WAIT,
        }
    }

    /// Returns the fingerprint by which the quarantine recognises the same request.
    fn request_fingerprint(&self) -> u64 {
        let uri = fingerprint(self.request.uri.to_string().as_bytes());
        let method = fingerprint(self.request.method.as_str().as_bytes());
        uri ^ method.rotate_left(1) ^ fingerprint(&self.request.body).rotate_left(2)
    }

    async fn send(&self, target: &Target) -> Result<BufferedResponse, Error> {
        let limits = &self.context.active.get().deployment.limits;
        let timeouts = Timeouts {
            first_byte: limits.first_byte_ms,
            between_bytes: limits.between_bytes_ms,
            ..Timeouts::default()
        };
        let request = self.to_target_request(target).map_err(|_| Error::Connect)?;
        self.context.pool.call(target.address, request, timeouts).await
    }

    fn to_target_request(&self, target: &Target) -> http::Result<http::Request<Bytes>> {
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

fn to_response(response: BufferedResponse) -> Response {
    let mut headers = response.headers;
    for name in &NOT_FORWARDED {
        headers.remove(name);
    }
    Response { status: response.status, headers, body: Body::Full(response.body) }
}

fn refusal_for(error: Error) -> Refusal {
    let code = match error {
        Error::TimedOut => Code::TargetTimeout,
        _ => Code::TargetFailed,
    };
    match error.ran() {
        Ran::No => Refusal::not_run(code, error.to_string()),
        Ran::Unknown | Ran::Yes => Refusal::unknown(code, error.to_string()),
    }
}
