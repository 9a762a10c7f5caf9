use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::de::DeserializeOwned;
use tamarackdock_types::call::Ran;
use tamarackdock_wire::{
    client::{Error as CallError, Pool, Timeouts},
    validation::Limits,
};

use crate::{Error, accepted_change::AcceptedChange, error_response::ErrorResponse};

/// Longest time until a read is answered.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time until a change is answered, beyond the wait that it asks for. Before it
/// answers, a node reads the newest version and repeats a change that lost to another for up
/// to 8 s and then tries to commit for up to 10 s. The timeout is longer than both together,
/// since the node's own answer says more about the outcome than a timeout.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(25);

/// A request to the operator port of one of several nodes.
pub(crate) struct NodeRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// How long the node may wait for other nodes before it answers.
    pub(crate) wait: Duration,
    /// Whether the request can go to the next node although it may have taken effect. This
    /// holds for reads, and for changes that nodes recognise by operation id.
    pub(crate) idempotent: bool,
    /// Options with which the operator can safely repeat the command; empty for a read.
    pub(crate) repeat_options: String,
}

impl NodeRequest {
    /// Builds a read of `path`.
    pub(crate) fn read(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            wait: Duration::ZERO,
            idempotent: true,
            repeat_options: String::new(),
        }
    }

    fn timeout(&self) -> Duration {
        let is_read = self.repeat_options.is_empty();
        if is_read { READ_TIMEOUT } else { self.wait + CHANGE_TIMEOUT }
    }

    fn to_http(&self, address: SocketAddr) -> Result<Request<Bytes>, Error> {
        Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(self.body.clone())
            .map_err(|_| Error::Answer { address })
    }
}

/// The body of a successful answer and the node that gave it.
pub(crate) struct Reply {
    pub(crate) address: SocketAddr,
    pub(crate) body: Bytes,
}

impl Reply {
    pub(crate) fn parse_json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|_| Error::Answer { address: self.address })
    }
}

/// The outcome of a request to one node.
enum Outcome {
    /// The body of a successful answer.
    Done(Bytes),
    /// The request had no effect, and another node may accept it. Holds the cause.
    NotExecuted(String),
    /// The node refused the request for a reason that holds on every node.
    Refused(ErrorResponse),
    /// The request may have taken effect. Holds the cause.
    Unknown(String),
}

/// Sends a change. An answer that can't be parsed leaves its outcome unknown.
pub(crate) fn change(nodes: &[SocketAddr], request: &NodeRequest) -> Result<AcceptedChange, Error> {
    let reply = send(nodes, request)?;
    reply.parse_json().map_err(|error| Error::Unknown {
        address: reply.address,
        cause: error.to_string(),
        repeat_options: request.repeat_options.clone(),
    })
}

/// Sends a request to the first node that accepts it.
pub(crate) fn send(nodes: &[SocketAddr], request: &NodeRequest) -> Result<Reply, Error> {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().map_err(Error::Runtime)?;
    runtime.block_on(send_in_turn(nodes, request))
}

async fn send_in_turn(nodes: &[SocketAddr], request: &NodeRequest) -> Result<Reply, Error> {
    let mut failures = Vec::new();
    let mut unknown = None;
    for &address in nodes {
        match send_once(address, request).await? {
            Outcome::Done(body) => return Ok(Reply { address, body }),
            // A refusal after an attempt with unknown outcome doesn't tell what became of that
            // attempt.
            Outcome::Refused(refused) if unknown.is_none() => return Err(refused.into()),
            Outcome::Refused(refused) => failures.push(format!("{address}: {refused}")),
            Outcome::NotExecuted(cause) => failures.push(format!("{address}: {cause}")),
            Outcome::Unknown(cause) => {
                failures.push(format!("{address}: {cause}"));
                unknown.get_or_insert((address, cause));
                if !request.idempotent {
                    break;
                }
            }
        }
    }
    match unknown {
        Some((address, cause)) if !request.repeat_options.is_empty() => {
            Err(Error::Unknown { address, cause, repeat_options: request.repeat_options.clone() })
        }
        _ => Err(Error::Unreachable { tried: failures.join(", ") }),
    }
}

async fn send_once(address: SocketAddr, request: &NodeRequest) -> Result<Outcome, Error> {
    let timeouts = Timeouts { first_byte: request.timeout(), ..Timeouts::default() };
    let http_request = request.to_http(address)?;
    let answer = Pool::new(Limits::default()).call(address, http_request, timeouts).await;
    Ok(match answer {
        Ok(response) if response.status.is_success() => Outcome::Done(response.body),
        Ok(response) => classify_refusal(ErrorResponse::parse(response.status, &response.body)),
        Err(error) => classify_error(error),
    })
}

fn classify_refusal(refused: ErrorResponse) -> Outcome {
    match &refused {
        _ if refused.may_try_next_node() => Outcome::NotExecuted(refused.to_string()),
        _ if refused.may_have_run() => Outcome::Unknown(refused.to_string()),
        _ => Outcome::Refused(refused),
    }
}

fn classify_error(error: CallError) -> Outcome {
    match error.ran() {
        Ran::No => Outcome::NotExecuted(error.to_string()),
        _ => Outcome::Unknown(error.to_string()),
    }
}
