//! Forwards calls of callers through another node that keeps connections to their target.
//!
//! The load that this is made for is a few short calls a second that a balancer spreads over
//! hundreds of hosts: each host would open a connection to the target for nearly every call,
//! which is the largest cost of such calls. With one forwarding node for each target and data
//! centre, a few connections carry them all.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    batch::takeover,
    call::Call,
    deployment::Name,
    http::{Exchange, ExchangeError, Framing, Headers, Response, ResponseHead},
    limit::{Demand, permits},
    members::NodeRun,
    node::Node,
    peer::{self, PeerError, PeerRequest, PeerResponse},
    pool::Reuse,
    target::Registration,
};

/// Largest request body that is forwarded. Larger ones cost more than a connection.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// Largest response that is forwarded.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Longest time from the sending of a call to a peer until that sends it on. A process that
/// was paused meanwhile must not send a call whose caller may have given up.
const MAX_DELAY_MS: i64 = 400;
/// Time for which a node that did not forward a call gets no further ones.
const AVOID_FOR: Duration = Duration::from_secs(5);

/// A call as it is sent to the node that forwards it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForwardedCall {
    /// Id of the target.
    target: Name,
    method: String,
    path: String,
    /// Header fields for the target.
    headers: Headers,
    body: Vec<u8>,
    /// Store time at which it was sent to the peer, in milliseconds.
    sent_ms: i64,
}

/// The response of a target to a forwarded call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForwardedResponse {
    status: u16,
    headers: Headers,
    body: Vec<u8>,
}

/// The nodes that recently failed to forward a call.
#[derive(Debug, Default)]
pub(crate) struct Forwarders(RefCell<BTreeMap<Name, Instant>>);

impl Forwarders {
    fn avoid(&self, host: &Name, now: Instant) {
        let mut failed = self.0.borrow_mut();
        failed.retain(|_, at| now.since(*at) < AVOID_FOR);
        failed.insert(host.clone(), now);
    }

    fn is_avoided(&self, host: &str, now: Instant) -> bool {
        self.0.borrow().get(host).is_some_and(|at| now.since(*at) < AVOID_FOR)
    }
}

/// Returns the node that forwards the calls for a target from one data centre, or `None` if
/// this node itself does. `live` are the live nodes of the data centre.
pub(crate) fn choose(target: &str, own: &NodeRun, live: &[NodeRun]) -> Option<NodeRun> {
    let first = takeover::candidates(target, live).into_iter().next()?;
    (first.host != own.host).then_some(first)
}

/// Sends a call to its target through the node that keeps connections to it. Returns `None` if
/// no node has done so, and the call is to be sent directly. It may have run in that case, so
/// that this is for calls only that may be repeated.
pub(crate) async fn send(
    node: &Node,
    call: &Call,
    target: &Registration,
) -> Option<Result<Response, ExchangeError>> {
    if call.request.body.len() > MAX_BODY_BYTES || node.pool.has_idle(&target.id) {
        return None;
    }
    let now = BootClock.now();
    let live = node.members.live_in(&node.data_centre);
    let peer = choose(&target.id, &node.members.own, &live)
        .filter(|peer| !node.forwarders.is_avoided(&peer.host, now))?;
    let address = node.members.address(&peer)?;
    let request = PeerRequest::Forward(Box::new(ForwardedCall {
        target: target.id.clone(),
        method: call.request.head.method.clone(),
        path: call.request.head.target.clone(),
        headers: call.headers(node, target, now),
        body: call.request.body.to_vec(),
        sent_ms: node.store_clock.millis(now)?,
    }));
    match peer::ask(address, &request, call.give_up_at.since(now)).await {
        Ok(PeerResponse::Forwarded(Ok(response))) => Some(Ok(response.into_response())),
        Ok(PeerResponse::Forwarded(Err(ExchangeError::NotSent))) => None,
        Ok(PeerResponse::Forwarded(Err(error))) => Some(Err(error)),
        answer => {
            let error = answer.err().unwrap_or(PeerError::Malformed);
            slog::info!(node.log, "call: not forwarded"; "id" => &call.id, "host" => &*peer.host,
                "target" => &*target.id, "error" => %error);
            node.forwarders.avoid(&peer.host, BootClock.now());
            None
        }
    }
}

/// Sends a peer's call to its target, unless this node knows that it should get none.
pub(crate) async fn serve(
    node: &Rc<Node>,
    call: ForwardedCall,
) -> Result<ForwardedResponse, ExchangeError> {
    let now = BootClock.now();
    let age = node.store_clock.millis(now).map(|store| store - call.sent_ms);
    let is_late = age.is_none_or(|age| age > MAX_DELAY_MS);
    let target = node.view.targets.borrow().get(&call.target).cloned();
    let target = target.map(|target| target.registration).filter(|target| {
        !target.draining && !node.view.evacuated.borrow().contains(&target.data_centre)
    });
    let Some(target) = target.filter(|_| !is_late && !node.is_leaving()) else {
        slog::info!(node.log, "forward: not sent"; "target" => &*call.target, "age_ms" => age);
        return Err(ExchangeError::NotSent);
    };
    if let Err(after) = permits::acquire(node, &target, Demand::Calls, Duration::ZERO).await {
        slog::info!(node.log, "forward: no permit"; "target" => &*call.target,
            "retry_ms" => after.as_millis());
        return Err(ExchangeError::NotSent);
    }
    let guard = node.start_request(&target.id, now);
    let connected = node.pool.connect(&target, Reuse::Newest).await;
    let (mut connection, _) = connected.map_err(|_| ExchangeError::NotSent)?;
    let ForwardedCall { method, path, headers, body, .. } = &call;
    let exchange = Exchange::begin(&mut connection, method, path, headers, body).await?;
    let field = node.wire_format.fields().request_id;
    let id = headers.get(field);
    let received =
        node.collect(&target, exchange, MAX_RESPONSE_BYTES, id.unwrap_or_default(), now).await;
    let (response, reusable) = received?;
    drop(guard);
    // After an answer to another request, the one to this request may follow.
    if reusable && response.head.headers.get(field) == id {
        node.pool.put(&target.id, connection, &response.head.headers);
    }
    Ok(ForwardedResponse {
        status: response.head.status,
        headers: response.head.headers,
        body: response.body.to_vec(),
    })
}

impl ForwardedResponse {
    fn into_response(self) -> Response {
        let head = ResponseHead {
            status: self.status,
            headers: self.headers,
            keep_alive: false,
            framing: Framing::Length(self.body.len() as u64),
        };
        Response { head, body: self.body.into() }
    }
}
