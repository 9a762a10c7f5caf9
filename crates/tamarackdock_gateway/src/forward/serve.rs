//! The node that forwards a request.

use std::{rc::Rc, time::Duration};

use tamarackdock_path::Refusal;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    ForwardedRequest, OUTCOME, Outcome, UNTIL_CLOSE,
    admission::{Admission, Knowledge},
};
use crate::{
    call::end_to_end_headers,
    codec,
    http::{ExchangeError, Framing, Headers, LAST_CHUNK, Writer, chunk, response_head},
    node::Node,
    path::{self, Link, Request},
    pool::Reuse,
    reply::Reply,
    server,
    telemetry::excerpt,
};

/// Path of requests to forward.
pub(crate) const PATH: &str = "/forward";
/// Largest response that is sent to the other node in one piece, in bytes.
const MAX_WHOLE_BYTES: u64 = 64 * 1024;
/// Time after the deadline of a request by which the other node has closed its connection.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// Sends a request of another node to its target, unless this node knows that it must not.
pub(crate) async fn serve(
    node: &Rc<Node>,
    request: &server::Request,
    writer: &mut Writer,
) -> server::Outcome {
    let mut forwarded: ForwardedRequest = match codec::decode(&request.body) {
        Ok(forwarded) => forwarded,
        Err(error) => {
            slog::warn!(node.log, "forward: can't decode the request"; "error" => excerpt(&error));
            return server::Outcome::Reply(Reply::error(400, "the request can't be decoded"));
        }
    };
    let fields = node.wire_format.fields();
    let id = forwarded.headers.get(fields.request_id).unwrap_or_default().to_owned();
    let Admission { target, age, send_within } = match admit(node, &forwarded, BootClock.now()) {
        Ok(admitted) => admitted,
        Err((refusal, reason)) => {
            slog::info!(node.log, "forward: not sent"; "id" => id, "target" => &*forwarded.target,
                "reason" => reason);
            return server::Outcome::Reply(outcome_reply(Outcome::Refused(refusal)));
        }
    };
    let _forwarding = node.forwarding.begin();
    let received = BootClock.now();
    let _running = node.start_request(&target.id, received);
    let body = std::mem::take(&mut forwarded.body).into();
    let headers = |now: Instant| {
        let late = age + now.since(received);
        let left = forwarded.headers.number::<u64>(fields.deadline).map(Duration::from_millis);
        let mut headers = forwarded.headers.clone();
        headers.remove(fields.deadline);
        if let Some(left) = left {
            headers.push(fields.deadline, left.saturating_sub(late).as_millis().to_string());
        }
        headers
    };
    let outgoing = Request {
        id: &id,
        method: &forwarded.method,
        path: &forwarded.path,
        headers: &headers,
        body: &body,
        permission: forwarded.permission.clone(),
        job_route: forwarded.job_route.as_deref(),
        send_by: received + send_within,
        give_up_at: received + Duration::from_millis(forwarded.give_up_ms),
        can_repeat: forwarded.can_repeat,
    };
    let sent = path::send_directly(node, &target, &outgoing, Reuse::Newest).await;
    let answered = match sent.checked(node).await {
        Ok(link) => {
            node.observe_answer(&target, link.head(), &id, received);
            // The other node decides how long it waits for events, and closes its connection.
            let deadline = Duration::from_millis(
                forwarded.headers.number(fields.deadline).unwrap_or(forwarded.give_up_ms),
            );
            answer(node, link, &id, received + deadline + CLOSE_MARGIN, writer).await
        }
        Err(error) => Err(error),
    };
    match answered {
        Ok(outcome) => outcome,
        Err(error) => {
            slog::info!(node.log, "forward: no response"; "id" => &id, "target" => &*target.id,
                "error" => %error, "ms" => BootClock.now().since(received).as_millis());
            let outcome = match error {
                ExchangeError::NoPath => Outcome::Refused(Refusal::Lost),
                error => Outcome::Failed(error),
            };
            server::Outcome::Reply(outcome_reply(outcome))
        }
    }
}

/// Returns the target of a request, or why it is not sent.
fn admit(
    node: &Node,
    request: &ForwardedRequest,
    now: Instant,
) -> Result<Admission, (Refusal, &'static str)> {
    let targets = node.view.targets.borrow();
    let target = targets.get(&request.target).map(|target| &target.registration);
    let deployment = node.view.deployment();
    let knowledge = Knowledge {
        paths_lost: node.paths.are_lost(),
        forwarding: node.forwarding.count(),
        cores: node.settings().limits.cores,
        is_leaving: node.is_leaving(),
        age_ms: node.store_clock.millis(now).map(|store| store - request.sent_ms),
        target,
        evacuated: &node.view.evacuated.borrow(),
        deployment: &deployment,
        allows_keys: node.view.freshness.borrow().allows_keys(now),
        account_field: node.wire_format.fields().account,
    };
    knowledge.admit(request)
}

/// Returns the answer to a request that is in progress when this node ends. The target may have
/// run it, and is not to blame.
pub(crate) fn stopped() -> Reply {
    outcome_reply(Outcome::Failed(ExchangeError::PathLost))
}

fn outcome_reply(outcome: Outcome) -> Reply {
    let mut reply = Reply::empty(if outcome == Outcome::Answered { 200 } else { 503 });
    reply.headers.push(OUTCOME, outcome.text());
    reply
}

/// Sends the response of the target to the other node, as it arrives or in one piece.
async fn answer(
    node: &Rc<Node>,
    mut link: Link,
    id: &str,
    due: Instant,
    writer: &mut Writer,
) -> Result<server::Outcome, ExchangeError> {
    let status = link.head().status;
    let idle_s = node.view.deployment().limits.idle_time.as_secs();
    let mut headers = end_to_end_headers(link.head());
    headers.push(OUTCOME, Outcome::Answered.text());
    headers.push("Keep-Alive", format!("timeout={idle_s}"));
    let own = node.wire_format.fields().request_id;
    // After an answer to another request, the one to this request may follow.
    let is_own = link.head().headers.get(own).is_none_or(|echo| echo == id);
    if matches!(link.head().framing, Framing::Length(length) if length <= MAX_WHOLE_BYTES) {
        let limit = usize::try_from(MAX_WHOLE_BYTES).unwrap_or(usize::MAX);
        let (response, link) = link.collect(node, limit, due).await?;
        if is_own {
            link.keep(node);
        }
        return Ok(server::Outcome::Reply(Reply {
            status,
            headers,
            body: response.body,
            close: false,
        }));
    }
    if link.head().framing == Framing::UntilClose {
        headers.push(UNTIL_CLOSE, "1");
    }
    headers.push("Transfer-Encoding", "chunked");
    let complete = stream(node, &mut link, status, &headers, due, writer).await;
    if complete && is_own {
        link.keep(node);
    }
    Ok(server::Outcome::Streamed { complete })
}

/// Sends a response in chunks. Returns whether it was sent to its end. Otherwise the connection is
/// closed, so that the other node sees that the response is incomplete.
async fn stream(
    node: &Rc<Node>,
    link: &mut Link,
    status: u16,
    headers: &Headers,
    due: Instant,
    writer: &mut Writer,
) -> bool {
    if writer.send(response_head(status, headers)).await.is_err() {
        return false;
    }
    loop {
        let bytes = match link.next(node, due).await {
            Ok(Some(data)) if data.is_empty() => continue,
            Ok(Some(data)) => chunk(&data),
            Ok(None) => return writer.send(LAST_CHUNK).await.is_ok(),
            Err(error) => {
                slog::info!(node.log, "forward: response broke off"; "error" => %error);
                return false;
            }
        };
        if writer.send(bytes).await.is_err() {
            return false;
        }
    }
}
