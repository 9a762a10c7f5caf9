//! Questions between nodes: `MessagePack` over HTTP on the peers' address.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use derive_more::{Display, Error};
use monoio::time::timeout;
use serde::{Deserialize, Serialize};
use tamarackdock_types::clock::{BootClock, Clock};

use crate::{
    batch::{self, Page, index::Entry, rows::Head},
    deployment::Name,
    dialect::Outgoing,
    http::{Connection, Headers, send_message},
    node::Node,
    relay::{StoreAnswer, StoreCall},
    reply::Reply,
    server::Request,
};

/// Path of questions.
pub(crate) const PATH: &str = "/peer";
/// Time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for an answer beyond the wait that the question asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Largest answer, in bytes: a page of results.
const MAX_ANSWER: usize = 4 * 1024 * 1024;
const MEDIA_TYPE: &str = "application/msgpack";

/// What a node asks another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Question {
    /// Results of a batch job that the other node runs.
    Results {
        /// Id of the job.
        job: Name,
        /// First position.
        after: usize,
        /// Milliseconds to wait for a result.
        wait_ms: u64,
    },
    /// The head of a batch job that concerns the other node.
    Head {
        /// Id of the job.
        job: Name,
        /// Revision of the head in the store.
        revision: u64,
        /// The head.
        head: Box<Head>,
    },
    /// Whether the other node answers and takes new jobs.
    Alive,
    /// A call to the store by a node that can't reach it.
    Store(StoreCall),
}

/// What a node answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Response {
    /// A page, or `None` if the node does not run the job.
    Results(Option<Page>),
    /// The question was understood.
    Done,
    /// Whether the node takes new jobs.
    Alive(bool),
    /// What the store answered.
    Store(Result<StoreAnswer, tamarackdock_platform::Error>),
}

/// A peer gave no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum PeerError {
    /// No connection.
    #[display("the peer can't be reached")]
    Unreachable,
    /// No answer in time.
    #[display("the peer does not answer")]
    Silent,
    /// The answer is no answer to the question.
    #[display("the peer's answer can't be read")]
    Malformed,
}

/// Asks a peer, on a connection of its own.
pub(crate) async fn ask(
    address: SocketAddr,
    question: &Question,
    wait: Duration,
) -> Result<Response, PeerError> {
    let connected = Connection::open(address, CONNECT_TIMEOUT).await;
    let mut connection = connected.map_err(|_| PeerError::Unreachable)?;
    let body = rmp_serde::to_vec(question).map_err(|_| PeerError::Malformed)?;
    let mut headers = Headers::default();
    headers.push("Content-Type", MEDIA_TYPE);
    headers.push("Connection", "close");
    let message = Outgoing { method: "POST", path: PATH.into(), headers, body };
    let sent = send_message(&mut connection, &message, address, MAX_ANSWER);
    let (answer, _) = timeout(wait + ANSWER_TIMEOUT, sent)
        .await
        .map_err(|_| PeerError::Silent)?
        .map_err(|_| PeerError::Silent)?;
    match answer.head.status {
        200 => rmp_serde::from_slice(&answer.body).map_err(|_| PeerError::Malformed),
        _ => Err(PeerError::Malformed),
    }
}

/// Answers a peer.
pub(crate) async fn answer(node: &Rc<Node>, request: &Request) -> Reply {
    let question = rmp_serde::from_slice(&request.body);
    let response = match question {
        Ok(Question::Results { job, after, wait_ms }) => {
            let wait_until = BootClock.now() + Duration::from_millis(wait_ms);
            let page = batch::read::own_results(node, &job, after, wait_until).await;
            Response::Results(page)
        }
        Ok(Question::Head { job, revision, head }) => {
            batch::index::learn(node, &job, Entry { head: *head, revision });
            node.jobs.changed.raise();
            Response::Done
        }
        Ok(Question::Alive) => Response::Alive(!node.is_leaving()),
        Ok(Question::Store(call)) => Response::Store(node.relay.serve(call).await),
        Err(error) => {
            slog::warn!(node.log, "peer: question not readable"; "error" => %error);
            return Reply::error(400, "the question can't be read");
        }
    };
    match rmp_serde::to_vec(&response) {
        Ok(body) => Reply::new(200, MEDIA_TYPE, body),
        Err(error) => {
            slog::error!(node.log, "peer: answer not encoded"; "error" => %error);
            Reply::error(500, "the answer can't be encoded")
        }
    }
}
