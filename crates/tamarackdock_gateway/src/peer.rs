//! Requests between nodes: `MessagePack` over HTTP on the address for peers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use derive_more::{Display, Error};
use monoio::time::timeout;
use serde::{Deserialize, Serialize};
use tamarackdock_route::observed::Report;
use tamarackdock_types::clock::{BootClock, Clock};

use crate::{
    batch::{self, Page, index::VersionedHead, rows::JobHead},
    codec, continuation,
    deployment::Name,
    http::{Budget, Connection, Headers, send_message_within},
    limit::permits::{self, PermitRequest, PermitResponse},
    node::Node,
    observed,
    relay::{StoreAnswer, StoreCall},
    reply::Reply,
    server::Request,
    target::Software,
    telemetry::excerpt,
    wire_format::OutgoingRequest,
};

/// Path of all peer requests.
pub(crate) const PATH: &str = "/peer";
/// Time limit for connecting to a peer.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for a response, in addition to the wait that the request asks for.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);
/// Largest response: a page of results.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Largest response to a relayed call: all rows of a part.
const MAX_RELAYED_BYTES: usize = 16 * 1024 * 1024;
const MEDIA_TYPE: &str = "application/msgpack";

/// A request to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Requests results of a batch job that the other node runs.
    Results {
        /// Id of the job.
        job: Name,
        /// Position of the first result to return.
        after: usize,
        /// Longest time in milliseconds to wait for a result.
        wait_ms: u64,
    },
    /// Sends the head of a batch job that concerns the other node.
    Head {
        /// Id of the job.
        job: Name,
        /// Revision of the head in the store.
        revision: u64,
        /// Head of the job.
        head: Box<JobHead>,
    },
    /// Asks whether the other node is reachable and accepts new jobs.
    Alive,
    /// Relays a call to the store for a node that can't reach it.
    Store(StoreCall),
    /// Asks whether the other node runs a batch job and can list its results.
    Runs {
        /// Id of the job.
        job: Name,
    },
    /// Asks for permits for requests to a target that limits them.
    Permits(PermitRequest),
    /// Says which software began a stream.
    Began {
        /// Hash of the stream.
        stream: continuation::Key,
        /// Software of the target that made its first event.
        software: Software,
    },
    /// Asks which software began a stream.
    WhoBegan {
        /// Hash of the stream.
        stream: continuation::Key,
    },
    /// Asks for the store's time.
    StoreTime,
    /// Says what the node has observed of targets.
    Observed(observed::Message),
}

/// A response to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    /// A page of results, or `None` if the node does not run the job.
    Results(Option<Page>),
    /// The request was processed.
    Done,
    /// Whether the node accepts new jobs.
    Alive(bool),
    /// Result of a relayed call to the store.
    Store(Result<StoreAnswer, tamarackdock_platform::Error>),
    /// Whether the node runs the job.
    Runs(bool),
    /// The permits that the node grants.
    Permits(PermitResponse),
    /// Which software began the stream, if the node knows it.
    Beginning(Option<Software>),
    /// The store's time in milliseconds, if the node knows it.
    StoreTime(Option<u64>),
    /// What the node has observed of targets, if it was asked.
    Observed(Option<Report>),
}

/// The reason why a peer gave no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum PeerError {
    /// No connection could be opened.
    #[display("the peer can't be reached")]
    Unreachable,
    /// No response arrived in time, or the connection broke.
    #[display("the peer does not respond")]
    NoResponse,
    /// The request can't be encoded, the response can't be decoded, or the peer rejected
    /// the request, as one of an earlier release does with kinds that it doesn't know.
    #[display("the peer's response can't be decoded")]
    Malformed,
}

/// Sends a request to a peer on a new connection, and returns its response. `wait` is
/// how long the request lets the peer wait before it responds.
pub(crate) async fn ask(
    address: SocketAddr,
    request: &PeerRequest,
    wait: Duration,
) -> Result<PeerResponse, PeerError> {
    ask_within(address, request, wait, None).await
}

/// Sends a request like [`ask`], and receives the response within a budget.
pub(crate) async fn ask_within(
    address: SocketAddr,
    request: &PeerRequest,
    wait: Duration,
    budget: Option<&Budget>,
) -> Result<PeerResponse, PeerError> {
    let opened = Connection::open(address, CONNECT_TIMEOUT).await;
    let connection = opened.map_err(|_| PeerError::Unreachable)?;
    let body = codec::encode(request).map_err(|_| PeerError::Malformed)?;
    let mut headers = Headers::default();
    headers.push("Content-Type", MEDIA_TYPE);
    headers.push("Connection", "close");
    let message = OutgoingRequest { method: "POST", path: PATH.into(), headers, body };
    let limit = match request {
        PeerRequest::Store(_) => MAX_RELAYED_BYTES,
        _ => MAX_RESPONSE_BYTES,
    };
    let sent = send_message_within(connection, &message, address, limit, budget);
    let (response, _) = timeout(wait + RESPONSE_TIMEOUT, sent)
        .await
        .map_err(|_| PeerError::NoResponse)?
        .map_err(|_| PeerError::NoResponse)?;
    match response.head.status {
        200 => codec::decode(&response.body).map_err(|_| PeerError::Malformed),
        _ => Err(PeerError::Malformed),
    }
}

/// Handles a request of a peer.
pub(crate) async fn handle(node: &Rc<Node>, request: &Request) -> Reply {
    let decoded = codec::decode(&request.body);
    let response = match decoded {
        Ok(PeerRequest::Results { job, after, wait_ms }) => {
            let wait_until = BootClock.now() + Duration::from_millis(wait_ms);
            let page = batch::read::own_results(node, &job, after, wait_until).await;
            PeerResponse::Results(page)
        }
        Ok(PeerRequest::Head { job, revision, head }) => {
            batch::index::record_head(node, &job, VersionedHead { head: *head, revision });
            node.jobs.changed.notify_all();
            PeerResponse::Done
        }
        Ok(PeerRequest::Alive) => PeerResponse::Alive(!node.is_leaving()),
        Ok(PeerRequest::Runs { job }) => PeerResponse::Runs(batch::takeover::runs(node, &job)),
        Ok(PeerRequest::Permits(request)) => PeerResponse::Permits(permits::serve(node, &request)),
        Ok(PeerRequest::Began { stream, software }) => {
            node.beginnings.borrow_mut().record(stream, software, BootClock.now());
            PeerResponse::Done
        }
        Ok(PeerRequest::WhoBegan { stream }) => {
            PeerResponse::Beginning(node.beginnings.borrow().get(stream, BootClock.now()))
        }
        Ok(PeerRequest::StoreTime) => {
            let millis = node.store_clock.millis(BootClock.now());
            PeerResponse::StoreTime(millis.and_then(|millis| u64::try_from(millis).ok()))
        }
        Ok(PeerRequest::Observed(message)) => {
            PeerResponse::Observed(observed::serve(node, message))
        }
        Ok(PeerRequest::Store(call)) => PeerResponse::Store(node.relay.serve(call).await),
        Err(error) => {
            slog::warn!(node.log, "peer: can't decode the request"; "error" => excerpt(&error));
            return Reply::error(400, "the request can't be decoded");
        }
    };
    match codec::encode(&response) {
        Ok(body) => Reply::new(200, MEDIA_TYPE, body),
        Err(error) => {
            slog::error!(node.log, "peer: can't encode the response"; "error" => %error);
            Reply::error(500, "the response can't be encoded")
        }
    }
}
