//! The node that asks another one to forward a request.

use std::{net::SocketAddr, rc::Rc};

use tamarackdock_path::Refusal;
use tamarackdock_types::clock::{BootClock, Clock};

use super::{ForwardedRequest, OUTCOME, Outcome, UNTIL_CLOSE, serve::PATH};
use crate::{
    batch::takeover,
    call::timeout_at,
    codec,
    http::{Connection, Exchange, ExchangeError, Framing, Headers},
    members::NodeRun,
    node::Node,
    path::{Link, Request},
    peer,
    pool::Reuse,
    target::Registration,
};

/// Largest body that is forwarded to share connections. Larger ones cost more than a connection.
const MAX_SHARED_BYTES: usize = 16 * 1024;
/// Candidates of one data centre that are considered. Some may be avoided.
const MAX_CANDIDATES: usize = 8;

/// Why a node has not brought a response.
enum Failure {
    /// The request has certainly not run.
    Refused(Refusal),
    Failed(ExchangeError),
}

/// Sends a request through another node, since this node's own path is lost or in doubt. Fails
/// with [`ExchangeError::NoPath`] if no byte was sent to the target since no node could forward it.
pub(crate) async fn send(
    node: &Rc<Node>,
    target: &Registration,
    request: &Request<'_>,
) -> Result<Link, ExchangeError> {
    if node.paths.forwarders.borrow().are_exhausted(BootClock.now()) {
        return Err(ExchangeError::NoPath);
    }
    for near in [true, false] {
        let runs = candidates(node, target, near);
        if let Some(result) = ask_in_turn(node, target, request, runs).await {
            return result;
        }
    }
    node.paths.forwarders.borrow_mut().exhausted(BootClock.now());
    Err(ExchangeError::NoPath)
}

/// Sends a request through the node that keeps connections to the target for all nodes of the data
/// centre. Fails with [`ExchangeError::NoPath`] if that is this node itself, or if this node's own
/// path is better.
pub(crate) async fn send_shared(
    node: &Rc<Node>,
    target: &Registration,
    request: &Request<'_>,
) -> Result<Link, ExchangeError> {
    if request.body.len() > MAX_SHARED_BYTES || node.pool.has_idle(&target.id) {
        return Err(ExchangeError::NoPath);
    }
    let live = node.members.live_with_paths(|it| *it == node.data_centre);
    let now = BootClock.now();
    let first = choose(&target.id, &node.members.own, &live)
        .filter(|run| !node.paths.forwarders.borrow().is_avoided(&run.host, now));
    let result = ask_in_turn(node, target, request, first).await;
    result.unwrap_or(Err(ExchangeError::NoPath))
}

/// Asks nodes in turn to forward a request. Returns `None` if all of them have refused it.
async fn ask_in_turn(
    node: &Rc<Node>,
    target: &Registration,
    request: &Request<'_>,
    runs: impl IntoIterator<Item = NodeRun>,
) -> Option<Result<Link, ExchangeError>> {
    for run in runs {
        let Some(address) = node.members.address(&run) else { continue };
        let refusal = match ask(node, target, request, &run, address).await {
            Ok(link) => return Some(Ok(link)),
            Err(Failure::Failed(error)) => {
                slog::info!(node.log, "forward: failed"; "id" => request.id,
                    "target" => &*target.id, "host" => &*run.host, "error" => %error);
                return Some(Err(error));
            }
            Err(Failure::Refused(refusal)) => refusal,
        };
        slog::info!(node.log, "forward: refused"; "id" => request.id, "target" => &*target.id,
            "host" => &*run.host, "reason" => ?refusal);
        node.paths.forwarders.borrow_mut().refused(&run.host, refusal, BootClock.now());
    }
    None
}

/// Returns the node that carries the calls for a target from one data centre, or `None` if this
/// node itself does. `live` are the live nodes of the data centre.
pub(crate) fn choose(target: &str, own: &NodeRun, live: &[NodeRun]) -> Option<NodeRun> {
    let first = takeover::first_candidates(target, live, 1).into_iter().next()?;
    (first.host != own.host).then_some(first)
}

/// Returns the nodes to ask in turn, in this data centre (`near`) or in others. All nodes derive
/// the same order for a target, so that few connections lead to it.
fn candidates(node: &Node, target: &Registration, near: bool) -> Vec<NodeRun> {
    let live = node.members.live_with_paths(|it| (*it == node.data_centre) == near);
    let ordered = takeover::first_candidates(&target.id, &live, MAX_CANDIDATES);
    let others = ordered.into_iter().filter(|run| *run != node.members.own);
    let forwarders = node.paths.forwarders.borrow();
    forwarders.choose(others, near, |run| &run.host, BootClock.now())
}

async fn ask(
    node: &Rc<Node>,
    target: &Registration,
    request: &Request<'_>,
    run: &NodeRun,
    address: SocketAddr,
) -> Result<Link, Failure> {
    let declined = || Failure::Refused(Refusal::Declined);
    loop {
        let idle = node.peer_pool.take(&run.host, Reuse::Newest);
        let was_used = idle.is_some();
        let connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, peer::CONNECT_TIMEOUT)
                .await
                .map_err(|_| Failure::Refused(Refusal::Failed))?,
        };
        let now = BootClock.now();
        let forwarded = ForwardedRequest {
            target: target.id.clone(),
            method: request.method.into(),
            path: request.path.into(),
            headers: (request.headers)(now),
            body: request.body.to_vec(),
            permission: request.permission.clone(),
            job_route: request.job_route.map(str::to_owned),
            sent_ms: node.store_clock.millis(now).ok_or_else(declined)?,
            give_up_ms: u64::try_from(request.give_up_at.since(now).as_millis())
                .unwrap_or(u64::MAX),
            can_repeat: request.can_repeat,
        };
        let body = codec::encode(&forwarded).map_err(|error| {
            slog::error!(node.log, "forward: can't encode the request"; "id" => request.id,
                "error" => %error);
            declined()
        })?;
        let mut headers = Headers::default();
        headers.push("Host", address.to_string());
        headers.push("Content-Length", body.len().to_string());
        let sent = Exchange::begin(connection, "POST", PATH, &headers, &body);
        let mut exchange = match timeout_at(request.give_up_at, sent).await {
            Some(Ok(exchange)) => exchange,
            // The other node may have closed the idle connection.
            Some(Err(_)) if was_used && request.can_repeat => continue,
            Some(Err(_)) => {
                node.paths.forwarders.borrow_mut().refused(&run.host, Refusal::Failed, now);
                return Err(Failure::Failed(ExchangeError::PathLost));
            }
            None => return Err(Failure::Failed(ExchangeError::TimedOut)),
        };
        match Outcome::of(&exchange.head().headers) {
            Some(Outcome::Answered) => {
                let head = exchange.head_mut();
                if head.headers.get(UNTIL_CLOSE).is_some() {
                    head.framing = Framing::UntilClose;
                }
                head.headers.remove(OUTCOME);
                head.headers.remove(UNTIL_CLOSE);
                return Ok(Link::forwarded(exchange, run.host.clone()));
            }
            Some(Outcome::Refused(refusal)) => {
                Link::forwarded(exchange, run.host.clone()).keep(node);
                return Err(Failure::Refused(refusal));
            }
            Some(Outcome::Failed(error)) => {
                Link::forwarded(exchange, run.host.clone()).keep(node);
                return Err(Failure::Failed(error));
            }
            // A node of an earlier release does not know the path.
            None => return Err(Failure::Refused(Refusal::Failed)),
        }
    }
}
