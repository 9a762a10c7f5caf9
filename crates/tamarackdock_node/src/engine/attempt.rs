use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use http::{Method, Request, StatusCode, header};
use serde::Serialize;
use tamarackdock_admit::Level;
use tamarackdock_config::deployment::{Limits, Target};
use tamarackdock_types::call::Ran;
use tamarackdock_wire::{
    client::{self, Pool, Timeouts},
    flag::Flag,
};

use super::{Event, Generation, Sink, sse::Parser};
use crate::{router::Outcome, usage::Meter};

const DONE: &[u8] = b"[DONE]";

/// The reason why an attempt got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum Failure {
    /// The connection failed.
    #[display("{_0}")]
    Connection(#[error(not(source))] client::Error),
    /// The engine refused the call and says that it did not run.
    #[display("the target refused the call without running it")]
    Refused,
    /// The engine rejected the request as invalid, as any other target would.
    #[display("the target rejects the request with status {_0}")]
    Rejected(#[error(not(source))] u16),
    /// The engine sent an error or a response that breaks its interface.
    #[display("the target's answer is not valid")]
    Invalid,
    /// The response doesn't have the request's `x-request-id`. It may belong to another request.
    #[display("the target's response doesn't have this request's id")]
    WrongRequest,
    /// The attempt's credit for a cold target expired.
    #[display("the call was stopped, since its credit for the cold target expired")]
    CreditExpired,
    /// The caller disconnected before the end of the response.
    #[display("the caller disconnected")]
    CallerDisconnected,
}

impl Failure {
    /// Returns the outcome to report to the router.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            Self::Connection(client::Error::Connect) => Outcome::Unreachable,
            // A crashing engine can send the rest of another request's response.
            Self::Connection(client::Error::ConnectionLost) | Self::WrongRequest => {
                Outcome::ConnectionLost
            }
            Self::Connection(client::Error::ClosedBeforeSend)
            | Self::CallerDisconnected
            | Self::CreditExpired => Outcome::Cancelled,
            Self::Connection(client::Error::TimedOut) => Outcome::TimedOut,
            Self::Rejected(_) => Outcome::Answered { first_byte: None },
            Self::Connection(_) | Self::Refused | Self::Invalid => Outcome::Failed,
        }
    }

    /// Returns whether the attempt may have run.
    pub(crate) fn ran(self) -> Ran {
        match self {
            Self::Connection(error) => error.ran(),
            Self::Refused => Ran::No,
            _ => Ran::Unknown,
        }
    }
}

#[derive(Serialize)]
struct Body<'a> {
    #[serde(flatten)]
    extra: &'a serde_json::Map<String, serde_json::Value>,
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    priority: &'static str,
    #[serde(skip_serializing_if = "<[u32]>::is_empty")]
    resume_tokens: &'a [u32],
}

/// One attempt of a generation on one engine.
pub(crate) struct Attempt<'a> {
    pub(crate) generation: &'a Generation,
    pub(crate) target: &'a Target,
    /// Sent as `x-request-id`, which the engine must return.
    pub(crate) id: String,
    /// Tokens that the engine continues after.
    pub(crate) resume: &'a [u32],
    /// Set when the attempt's credit expires and it must stop.
    pub(crate) credit_expired: Flag,
    pub(crate) meter: Meter,
}

impl Attempt<'_> {
    /// Runs the attempt and passes its events to the sink.
    pub(crate) async fn run(
        &self,
        pool: &Pool,
        limits: &Limits,
        sink: &mut dyn Sink,
    ) -> Result<(), Failure> {
        let work = self.exchange(pool, limits, sink);
        let credit_expired = self.credit_expired.wait();
        pin_mut!(work, credit_expired);
        match select(work, credit_expired).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(Failure::CreditExpired),
        }
    }

    async fn exchange(
        &self,
        pool: &Pool,
        limits: &Limits,
        sink: &mut dyn Sink,
    ) -> Result<(), Failure> {
        let timeouts = Timeouts {
            first_byte: limits.first_byte_ms,
            between_bytes: limits.between_bytes_ms,
            ..Timeouts::default()
        };
        let request = self.request()?;
        let pooled = pool.take(self.target.address, timeouts).await;
        let mut pooled = pooled.map_err(Failure::Connection)?;
        let response = pooled.connection().send(request).await.map_err(Failure::Connection)?;
        self.check_head(&response)?;
        self.meter.count_call();
        forward_events(response, &self.meter, sink).await?;
        pool.release(pooled);
        Ok(())
    }

    fn request(&self) -> Result<Request<Bytes>, Failure> {
        let body = Body {
            extra: &self.generation.extra,
            model: self.generation.service.as_str(),
            prompt: &self.generation.prompt,
            max_tokens: self.generation.max_tokens,
            stream: true,
            priority: match self.generation.level {
                Level::App => "app",
                Level::Batch => "batch",
            },
            resume_tokens: self.resume,
        };
        let body = serde_json::to_vec(&body).map_err(|_| Failure::Invalid)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/completions")
            .header(header::HOST, self.target.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-request-id", &self.id);
        request.body(body.into()).map_err(|_| Failure::Invalid)
    }

    fn check_head(&self, response: &client::StreamedResponse<'_>) -> Result<(), Failure> {
        let is_own = response.header("x-request-id") == Some(&self.id);
        let named = response.header("x-target") == Some(self.target.name.as_str());
        match response.status() {
            StatusCode::OK if is_own => Ok(()),
            StatusCode::OK => Err(Failure::WrongRequest),
            StatusCode::SERVICE_UNAVAILABLE if named && response.header("x-not-run").is_some() => {
                Err(Failure::Refused)
            }
            status if status.is_client_error() => Err(Failure::Rejected(status.as_u16())),
            _ => Err(Failure::Invalid),
        }
    }
}

async fn forward_events(
    mut response: client::StreamedResponse<'_>,
    meter: &Meter,
    sink: &mut dyn Sink,
) -> Result<(), Failure> {
    let mut parser = Parser::default();
    let mut is_done = false;
    while let Some(bytes) = response.next().await.map_err(Failure::Connection)? {
        parser.feed(&bytes);
        while let Some(data) = parser.next() {
            if data == DONE {
                is_done = true;
                continue;
            }
            let event = Event::parse(&data).ok_or(Failure::Invalid)?;
            meter.count_tokens(event.tokens.len());
            if !sink.accept(event).await {
                return Err(Failure::CallerDisconnected);
            }
        }
    }
    if is_done { Ok(()) } else { Err(Failure::Invalid) }
}
