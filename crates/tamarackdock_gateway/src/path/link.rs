//! Requests to targets over this node's own paths or through other nodes.

use std::{io, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use monoio::time::sleep;
use serde::{Deserialize, Serialize};
use tamarackdock_path::{Doubt, Route};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{Wait, check, wait};
use crate::{
    call::timeout_at,
    deployment::Name,
    forward,
    http::{Connection, Exchange, ExchangeError, Headers, Response, ResponseHead},
    node::Node,
    pool::Reuse,
    target::Registration,
};

/// Time limit for connecting to a target. The expected round trip is a few
/// milliseconds, and a lost packet is retransmitted after 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Time after which a connection that does not open raises a doubt about the paths.
const SLOW_CONNECT: Duration = Duration::from_millis(100);

/// Which route a request prefers while the paths are open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// This node's own path.
    Own,
    /// The node that keeps connections to the target for all nodes of the data centre, unless this
    /// one has an idle connection.
    Shared,
    /// Another node, since an earlier attempt over this node's own path got no answer yet.
    Detour,
}

/// What permits a request to run, which a node that forwards it checks by its own knowledge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Permission {
    /// The caller's key, or none on a public route.
    Key(Option<String>),
    /// The acceptance of the batch job to which it belongs.
    Job,
}

/// A request to a target.
pub(crate) struct Request<'a> {
    pub(crate) id: &'a str,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    /// Returns the header fields at the time at which it is sent.
    pub(crate) headers: &'a dyn Fn(Instant) -> Headers,
    pub(crate) body: &'a Bytes,
    pub(crate) permission: Permission,
    /// Path prefix of the route of the batch job that an item belongs to, whose path may lead to
    /// another route.
    pub(crate) job_route: Option<&'a str>,
    /// Time after which it must not be sent any more.
    pub(crate) send_by: Instant,
    /// Time until which the head of the response must arrive.
    pub(crate) give_up_at: Instant,
    /// Whether another attempt can follow when the paths are lost while nothing comes.
    pub(crate) can_repeat: bool,
}

/// A request that was sent to a target, whose response is read incrementally.
pub(crate) struct Link {
    exchange: Exchange,
    /// Whose requests the connection can carry.
    kept_for: Endpoint,
    can_repeat: bool,
}

/// The other end of a connection.
enum Endpoint {
    /// A target, by its id.
    Target(Name),
    /// A node that forwards requests, by its host.
    Node(Name),
}

/// The result of sending a request to a target.
pub(crate) struct Sent {
    pub(crate) result: Result<Link, ExchangeError>,
    /// Whether another node was asked to forward it.
    pub(crate) is_forwarded: bool,
    /// Whether an idle connection broke, which the target may have closed without notice. The
    /// paths were not checked: a request that can be repeated may just be sent again.
    pub(crate) is_stale: bool,
}

impl Sent {
    fn forwarded(result: Result<Link, ExchangeError>) -> Self {
        Self { result, is_forwarded: true, is_stale: false }
    }

    fn directly(result: Result<Link, ExchangeError>) -> Self {
        Self { result, is_forwarded: false, is_stale: false }
    }

    /// Returns the result, after a check of the paths if an idle connection broke.
    pub(crate) async fn checked(self, node: &Rc<Node>) -> Result<Link, ExchangeError> {
        if self.is_stale { Err(broken(node).await) } else { self.result }
    }
}

/// Sends a request to a target and waits for the head of the response, over this node's own path
/// or through another node.
pub(crate) async fn send(
    node: &Rc<Node>,
    target: &Registration,
    request: &Request<'_>,
    choice: Choice,
    reuse: Reuse,
) -> Sent {
    let route = node.paths.route(&target.id);
    let forwarded = match (route, choice) {
        (Route::Forwarded, _) | (Route::Direct, Choice::Detour) => {
            forward::send(node, target, request).await
        }
        (Route::Direct, Choice::Shared) => forward::send_shared(node, target, request).await,
        (Route::Direct, Choice::Own) => Err(ExchangeError::NoPath),
    };
    match forwarded {
        Err(ExchangeError::NoPath) if route == Route::Direct => {}
        result => return Sent::forwarded(result),
    }
    let sent = send_directly(node, target, request, reuse).await;
    match sent.result {
        Err(ExchangeError::NoPath) => Sent::forwarded(forward::send(node, target, request).await),
        _ => sent,
    }
}

/// Sends a request to a target over this node's own path. Fails with [`ExchangeError::NoPath`] if
/// the paths turn out to be lost before anything was sent.
pub(crate) async fn send_directly(
    node: &Rc<Node>,
    target: &Registration,
    request: &Request<'_>,
    reuse: Reuse,
) -> Sent {
    let reuse = (request.can_repeat || node.paths.are_proven()).then_some(reuse);
    let (connection, was_used) = match connect(node, target, reuse).await {
        Ok(connected) => connected,
        Err(error) => return Sent::directly(Err(error)),
    };
    let now = BootClock.now();
    // The process may have been paused while the connection was opened.
    if now > request.send_by {
        return Sent::directly(Err(ExchangeError::NotSent));
    }
    let headers = (request.headers)(now);
    let sent = Exchange::begin(connection, request.method, request.path, &headers, request.body);
    let waiting = node.paths.waiting.begin();
    let ended = wait(node, request.give_up_at, request.can_repeat, sent).await;
    drop(waiting);
    match ended {
        Wait::Done(Ok(exchange)) => {
            node.paths.responded(&target.id);
            let kept_for = Endpoint::Target(target.id.clone());
            Sent::directly(Ok(Link { exchange, kept_for, can_repeat: request.can_repeat }))
        }
        Wait::Done(Err(error @ ExchangeError::ConnectionLost))
            if was_used && request.can_repeat =>
        {
            Sent { is_stale: true, ..Sent::directly(Err(error)) }
        }
        ended => Sent::directly(Err(failure(node, ended).await)),
    }
}

/// Returns the reason why a direct connection broke, after a check of the paths.
async fn broken(node: &Rc<Node>) -> ExchangeError {
    let at = BootClock.now();
    let is_lost = check::is_lost_after(node, Doubt::Broken { at }).await;
    if is_lost { ExchangeError::PathLost } else { ExchangeError::ConnectionLost }
}

/// Returns the reason why a direct connection brought no bytes. If it broke, the paths are checked.
async fn failure<T>(node: &Rc<Node>, ended: Wait<Result<T, ExchangeError>>) -> ExchangeError {
    match ended {
        Wait::Done(Err(ExchangeError::ConnectionLost)) => broken(node).await,
        Wait::Done(Err(error)) => error,
        Wait::Done(Ok(_)) | Wait::TimedOut => ExchangeError::TimedOut,
        Wait::Lost => ExchangeError::PathLost,
    }
}

/// Opens a connection to a target over this node's own path, or takes an idle one if it may be
/// reused. Also returns whether it had been idle.
pub(crate) async fn connect(
    node: &Rc<Node>,
    target: &Registration,
    reuse: Option<Reuse>,
) -> Result<(Connection, bool), ExchangeError> {
    if let Some(connection) = reuse.and_then(|reuse| node.pool.take(&target.id, reuse)) {
        return Ok((connection, true));
    }
    node.metrics.connections.with_label_values(&[&*target.service]).inc();
    let began = BootClock.now();
    let opening = open(node, target, began);
    let lost = node.paths.lost();
    pin_mut!(opening, lost);
    let error = match select(opening, lost).await {
        Either::Left((Ok(connection), _)) => {
            node.paths.opened(&target.id);
            return Ok((connection, false));
        }
        Either::Left((Err(error), _)) => error,
        Either::Right(_) => io::ErrorKind::NetworkUnreachable.into(),
    };
    node.metrics.failed_connections.with_label_values(&[&*target.service]).inc();
    let is_lost = check::is_lost_after(node, Doubt::Unopened { began }).await;
    slog::info!(node.log, "target: connection failed"; "target" => &*target.id,
        "data_centre" => &*target.data_centre, "error" => %error.kind(), "paths_lost" => is_lost,
        "ms" => BootClock.now().since(began).as_millis());
    if !is_lost {
        observe_refusal(node, target, &error);
    }
    Err(if is_lost { ExchangeError::NoPath } else { ExchangeError::NotSent })
}

/// Takes note of a connection that a target has refused, as its host does while the target is down.
/// When it is back, it may run other software than its entry says.
pub(crate) fn observe_refusal(node: &Node, target: &Registration, error: &io::Error) {
    let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
    if is_refused && node.view.targets.borrow_mut().doubt(target) {
        slog::info!(node.log, "target: may have restarted"; "target" => &*target.id,
            "software" => &*target.software_version, "started" => target.started);
    }
}

/// Opens a connection, with a doubt about the paths if that takes long.
async fn open(node: &Rc<Node>, target: &Registration, began: Instant) -> io::Result<Connection> {
    let opening = Connection::open(target.address, CONNECT_TIMEOUT);
    let slow = sleep(SLOW_CONNECT);
    pin_mut!(opening, slow);
    match select(opening, slow).await {
        Either::Left((opened, _)) => opened,
        Either::Right(((), opening)) => {
            check::doubt(node, Doubt::Unopened { began });
            opening.await
        }
    }
}

impl Link {
    /// Creates the link of a request that another node forwards.
    pub(crate) fn forwarded(exchange: Exchange, host: Name) -> Self {
        Self { exchange, kept_for: Endpoint::Node(host), can_repeat: true }
    }

    /// Returns the status and header fields of the response.
    pub(crate) fn head(&self) -> &ResponseHead {
        self.exchange.head()
    }

    /// Returns the next part of the body, or `None` at its end.
    pub(crate) async fn next(
        &mut self,
        node: &Rc<Node>,
        due: Instant,
    ) -> Result<Option<Bytes>, ExchangeError> {
        if matches!(self.kept_for, Endpoint::Node(_)) {
            let next = timeout_at(due, self.exchange.next()).await;
            return match next.unwrap_or(Err(ExchangeError::TimedOut)) {
                Err(ExchangeError::ConnectionLost) => Err(ExchangeError::ForwardingLost),
                result => result,
            };
        }
        match wait(node, due, self.can_repeat, self.exchange.next()).await {
            Wait::Done(Ok(data)) => {
                node.paths.heard();
                Ok(data)
            }
            ended => Err(failure(node, ended).await),
        }
    }

    /// Reads the rest of the body within the memory for responses. Also returns the link, whose
    /// connection can be kept by [`Self::keep`].
    pub(crate) async fn collect(
        mut self,
        node: &Rc<Node>,
        limit: usize,
        due: Instant,
    ) -> Result<(Response, Self), ExchangeError> {
        let mut body = Vec::new();
        let mut reservation = node.response_budget.reservation();
        while let Some(data) = self.next(node, due).await? {
            node.callers.released().await;
            if body.len() + data.len() > limit || !reservation.grow(data.len()) {
                return Err(ExchangeError::TooLarge);
            }
            body.extend_from_slice(&data);
        }
        Ok((Response { head: self.head().clone(), body: body.into() }, self))
    }

    /// Keeps the connection for later requests, if it can carry one.
    pub(crate) fn keep(self, node: &Node) {
        let (head, connection) = self.exchange.into_parts();
        let Some(connection) = connection else { return };
        match &self.kept_for {
            Endpoint::Target(id) => node.pool.put(id, connection, &head.headers),
            Endpoint::Node(host) => node.peer_pool.put(host, connection, &head.headers),
        }
    }
}
