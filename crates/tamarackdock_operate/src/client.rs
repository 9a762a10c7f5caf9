use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::de::DeserializeOwned;
use tamarackdock_types::call::Ran;
use tamarackdock_wire::{
    client::{Deadlines, Error as CallError, Pool},
    guard::Limits,
};

use crate::{Error, accepted::Accepted, refused::Refused};

/// Time for the answer to a read.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the answer to a change, beyond the wait that it asks for. A node tries to
/// commit for up to 10 s, after up to 8 s of reading the newest version and repeating
/// a change that lost to another, and its own answer is better than a timeout.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(25);

/// One request.
pub(crate) struct Ask {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) wait: Duration,
    /// Whether a request that may have taken effect can go to the next node:
    /// reads, and changes that nodes recognise by operation id.
    pub(crate) repeatable: bool,
    /// Options that make a repetition by the operator safe; empty for a read.
    pub(crate) repeat: String,
}

impl Ask {
    /// Makes a read.
    pub(crate) fn read(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            wait: Duration::ZERO,
            repeatable: true,
            repeat: String::new(),
        }
    }

    fn timeout(&self) -> Duration {
        let is_read = self.repeat.is_empty();
        if is_read { READ_TIMEOUT } else { self.wait + CHANGE_TIMEOUT }
    }

    fn request(&self, address: SocketAddr) -> Result<Request<Bytes>, Error> {
        Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(self.body.clone())
            .map_err(|_| Error::Answer { address })
    }
}

/// The body of a good answer and the node that gave it.
pub(crate) struct Reply {
    pub(crate) address: SocketAddr,
    pub(crate) body: Bytes,
}

impl Reply {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|_| Error::Answer { address: self.address })
    }
}

/// What one node made of a request.
enum Outcome {
    Done(Bytes),
    /// Surely without effect; another node may take it.
    Passed(String),
    Refused(Refused),
    Unknown(String),
}

/// Sends a change. An answer that can't be read leaves its outcome unknown.
pub(crate) fn change(nodes: &[SocketAddr], ask: &Ask) -> Result<Accepted, Error> {
    let reply = send(nodes, ask)?;
    reply.json().map_err(|error| Error::Unknown {
        address: reply.address,
        cause: error.to_string(),
        repeat: ask.repeat.clone(),
    })
}

/// Sends a request to the first node that takes it.
pub(crate) fn send(nodes: &[SocketAddr], ask: &Ask) -> Result<Reply, Error> {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().map_err(Error::Runtime)?;
    runtime.block_on(send_in_turn(nodes, ask))
}

async fn send_in_turn(nodes: &[SocketAddr], ask: &Ask) -> Result<Reply, Error> {
    let mut tried = Vec::new();
    let mut unknown = None;
    for &address in nodes {
        match send_once(address, ask).await? {
            Outcome::Done(body) => return Ok(Reply { address, body }),
            // After an unknown outcome, a refusal elsewhere doesn't settle the first attempt.
            Outcome::Refused(refused) if unknown.is_none() => return Err(refused.into()),
            Outcome::Refused(refused) => tried.push(format!("{address}: {refused}")),
            Outcome::Passed(cause) => tried.push(format!("{address}: {cause}")),
            Outcome::Unknown(cause) => {
                tried.push(format!("{address}: {cause}"));
                unknown.get_or_insert((address, cause));
                if !ask.repeatable {
                    break;
                }
            }
        }
    }
    match unknown {
        Some((address, cause)) if !ask.repeat.is_empty() => {
            Err(Error::Unknown { address, cause, repeat: ask.repeat.clone() })
        }
        _ => Err(Error::Unreachable { tried: tried.join(", ") }),
    }
}

async fn send_once(address: SocketAddr, ask: &Ask) -> Result<Outcome, Error> {
    let deadlines = Deadlines { first_byte: ask.timeout(), ..Deadlines::default() };
    let request = ask.request(address)?;
    let answer = Pool::new(Limits::default()).call(address, request, deadlines).await;
    Ok(match answer {
        Ok(whole) if whole.status.is_success() => Outcome::Done(whole.body),
        Ok(whole) => judge(Refused::read(whole.status, &whole.body)),
        Err(error) => judge_error(error),
    })
}

fn judge(refused: Refused) -> Outcome {
    match &refused {
        _ if refused.is_passable() => Outcome::Passed(refused.to_string()),
        _ if refused.is_unknown() => Outcome::Unknown(refused.to_string()),
        _ => Outcome::Refused(refused),
    }
}

fn judge_error(error: CallError) -> Outcome {
    match error.ran() {
        Ran::No => Outcome::Passed(error.to_string()),
        _ => Outcome::Unknown(error.to_string()),
    }
}
