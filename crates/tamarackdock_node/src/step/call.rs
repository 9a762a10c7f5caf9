use std::time::Duration;

use http::{Method, Uri};
use serde::Deserialize;
use tamarackdock_types::{
    TrainerName,
    refusal::{Code, Refusal},
};

use super::open::Open;
use crate::peer::StepCall;

/// Longest time that a read waits for samples.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// A parsed call of a trainer.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) trainer: TrainerName,
    pub(super) step: u64,
    pub(super) kind: Kind,
}

/// The operation that a call requests.
#[derive(Debug, Clone)]
pub(super) enum Kind {
    /// Open a step.
    Open(Box<Open>),
    /// Read samples from a position on, waiting for them if there are none yet.
    Read { cursor: u32, wait: Duration },
    /// Acknowledge the samples before a position.
    Acknowledge { cursor: u32 },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Acknowledgement {
    cursor: u32,
}

impl Call {
    /// Parses a call from its method, path, query and body.
    pub(super) fn parse(call: &StepCall) -> Result<Self, Refusal> {
        let uri: Uri = call.uri.parse().map_err(|_| no_route())?;
        let parts: Vec<&str> = uri.path().split('/').skip(1).collect();
        match (call.method.as_str(), parts.as_slice()) {
            (method, ["v1", "steps"]) if method == Method::POST.as_str() => {
                let open: Open = parse_body(&call.body)?;
                let (trainer, step) = (open.trainer.clone(), open.step);
                Ok(Self { trainer, step, kind: Kind::Open(Box::new(open)) })
            }
            (method, ["v1", "steps", trainer, step, "samples"])
                if method == Method::GET.as_str() =>
            {
                let cursor = parameter(&uri, "cursor")?.unwrap_or(0);
                let wait = parameter(&uri, "wait_ms")?.unwrap_or(0);
                let wait = Duration::from_millis(wait).min(MAX_WAIT);
                Self::of_step(trainer, step, Kind::Read { cursor, wait })
            }
            (method, ["v1", "steps", trainer, step, "ack"]) if method == Method::POST.as_str() => {
                let body: Acknowledgement = parse_body(&call.body)?;
                Self::of_step(trainer, step, Kind::Acknowledge { cursor: body.cursor })
            }
            _ => Err(no_route()),
        }
    }

    /// Returns how long the holder may wait for samples before it answers.
    pub(super) fn wait(&self) -> Duration {
        match self.kind {
            Kind::Read { wait, .. } => wait,
            Kind::Open(_) | Kind::Acknowledge { .. } => Duration::ZERO,
        }
    }

    fn of_step(trainer: &str, step: &str, kind: Kind) -> Result<Self, Refusal> {
        let trainer = TrainerName::new(trainer).map_err(|_| no_route())?;
        let step = step.parse().map_err(|_| no_route())?;
        Ok(Self { trainer, step, kind })
    }
}

fn parse_body<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        Refusal::not_run(Code::BadRequest, format!("the body is not valid: {error}"))
    })
}

fn parameter<T: std::str::FromStr>(uri: &Uri, name: &str) -> Result<Option<T>, Refusal> {
    let pairs = uri.query().unwrap_or_default().split('&');
    let value = pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    value
        .map(|(_, text)| {
            let message = format!("`{name}` must be a whole number, not `{text}`");
            text.parse().map_err(|_| Refusal::not_run(Code::BadRequest, message))
        })
        .transpose()
}

fn no_route() -> Refusal {
    Refusal::not_run(Code::NotFound, "no such route; see docs/api.md")
}
