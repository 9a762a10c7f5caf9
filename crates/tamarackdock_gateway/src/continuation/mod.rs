//! Which software version began each stream, so that callers can take a stream up at any node.
//!
//! The load that this is made for is streams of some seconds, whose callers come to another node
//! after a node or a target has failed, or after all nodes have. The node that serves the first
//! event tells some other nodes, chosen by a hash of the stream, and writes the stream to the
//! store with others ([`ledger`]). Neither delays the event, so that streams begin while the store
//! is down. What no node and no row knows is refused: the targets that serve now say nothing of
//! those that have left. See `docs/decisions/0009-beginnings-of-streams.md`.

pub(crate) mod ledger;
mod memory;
mod rows;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tamarackdock_types::clock::{BootClock, Clock};

pub(crate) use self::{
    ledger::Ledger,
    memory::Beginnings,
    rows::{Stored, run_clear, run_write},
};
use crate::{
    batch::takeover,
    call::{Call, fingerprint},
    deployment::Name,
    node::Node,
    peer::{self, PeerError, PeerRequest, PeerResponse},
    target::Software,
};

/// Number of nodes that are told of a stream.
const HOLDERS: usize = 3;
/// Time for which a stream is remembered after it was last begun or taken up.
pub(crate) const KEEP_FOR: Duration = Duration::from_mins(2);
/// Time after which a stream that goes on is announced again.
pub(crate) const ANNOUNCE_INTERVAL: Duration = Duration::from_mins(1);
/// Number of parts over which the rows are spread, by a hash of the node's run. All of them are
/// read when a stream is looked up.
pub(crate) const PARTS: u64 = 4;
/// Most streams that a node remembers, about 3 MB.
const MAX_STREAMS: usize = 20_000;

/// Hash of a client account and the id of the attempt that brought a stream's first event.
pub(crate) type Key = u64;

/// A call's place in its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) stream: Key,
    /// Id of the last event that the caller has, if it takes the stream up.
    pub(crate) last_event: Option<u64>,
}

impl Place {
    /// Returns the place of a call by its header fields.
    pub(crate) fn of(node: &Node, call: &Call) -> Self {
        let fields = node.wire_format.fields();
        let headers = &call.request.head.headers;
        let last_event = headers.number(fields.last_event).filter(|last| *last > 0);
        let first = headers.get(fields.taken_up).filter(|_| last_event.is_some());
        let first = first.unwrap_or(&call.id);
        let stream = fingerprint(format!("{:?}/{first}", call.account).as_bytes());
        Self { stream, last_event }
    }
}

/// Remembers which software began a stream: here, at other nodes and in the store.
pub(crate) fn announce(node: &Rc<Node>, stream: Key, software: &Software) {
    let now = BootClock.now();
    node.beginnings.borrow_mut().record(stream, software.clone(), now);
    node.ledger.borrow_mut().add(stream, software, now);
    node.ledger_changed.notify_all();
    for (_, address) in holders(node, stream) {
        let request = PeerRequest::Began { stream, software: software.clone() };
        let node = node.clone();
        monoio::spawn(async move {
            if let Err(error) = peer::ask(address, &request, Duration::ZERO).await {
                slog::info!(node.log, "stream: beginning not told"; "stream" => stream,
                    "peer" => %address, "error" => %error);
            }
        });
    }
}

/// Returns which software began a stream, or `None` if neither a node nor the store knows it.
pub(crate) async fn find(node: &Rc<Node>, call: &Call, place: Place) -> Option<Software> {
    let known = node.beginnings.borrow().get(place.stream, BootClock.now());
    let (software, source) = match known {
        Some(software) => (Some(software), "memory"),
        None => match ask_holders(node, place.stream).await {
            Some(software) => (Some(software), "peer"),
            None => (node.stored_beginnings.find(node, place.stream).await, "store"),
        },
    };
    slog::info!(node.log, "stream: taken up"; "id" => &call.id, "stream" => place.stream,
        "last_event" => place.last_event, "source" => source,
        "software" => software.as_ref().map(|software| software.version.to_string()));
    software
}

/// Returns the other nodes that are told of a stream, with their addresses.
fn holders(node: &Node, stream: Key) -> Vec<(Name, SocketAddr)> {
    let live = node.members.live();
    let first = takeover::first_candidates(&stream.to_string(), &live, HOLDERS);
    let others = first.into_iter().filter(|run| *run != node.members.own);
    others.filter_map(|run| Some((run.host.clone(), node.members.address(&run)?))).collect()
}

async fn ask_holders(node: &Node, stream: Key) -> Option<Software> {
    for (host, address) in holders(node, stream) {
        let answer = peer::ask(address, &PeerRequest::WhoBegan { stream }, Duration::ZERO).await;
        match answer {
            Ok(PeerResponse::Beginning(Some(software))) => return Some(software),
            Ok(PeerResponse::Beginning(None)) => {}
            answer => {
                let error = answer.err().unwrap_or(PeerError::Malformed);
                slog::info!(node.log, "stream: holder does not respond"; "stream" => stream,
                    "host" => &*host, "error" => %error);
            }
        }
    }
    None
}
