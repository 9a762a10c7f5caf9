//! Reads requests from connections.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use monoio::time::timeout;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    callers::{Account, Exhausted, Phase, TASK_BYTES},
    counter::InProgress,
    deployment::Limits,
    http::{Body, HeadError, Reader, RequestHead, Reservation, Writer},
    node::Node,
    reply::Reply,
    server::{ListenerKind, Request},
};

/// `Retry-After` of a node whose memory for requests is used up.
const RETRY_FULL: Duration = Duration::from_millis(500);
/// Longest time between two parts of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// How a request is read.
pub(crate) struct Reading<'a> {
    pub(crate) node: &'a Rc<Node>,
    pub(crate) kind: ListenerKind,
    pub(crate) limits: Limits,
    /// When the connection was accepted, if this is its first request.
    pub(crate) accepted: Option<Instant>,
    /// Memory of the connection, if it is one of a caller.
    pub(crate) account: Option<&'a Account>,
}

/// Memory of a request that is being received.
struct Memory<'a> {
    /// That of a caller's connection.
    account: Option<&'a Account>,
    /// That of any other request.
    reservation: Reservation,
    /// Memory of the head.
    head: usize,
}

impl Memory<'_> {
    /// Accounts for a part of a body, and returns whether there is memory for it. `received` is
    /// the memory of the body with that part, `buffered` that of the bytes behind it.
    fn grow(&mut self, part: usize, received: usize, buffered: usize) -> bool {
        match self.account {
            Some(account) => account.receive(Phase::Body, self.head + received + buffered).is_ok(),
            None => self.reservation.grow(part),
        }
    }
}

impl Reading<'_> {
    /// Reads a request, and counts it in `call` from its first byte on. The error is the response
    /// to send before the connection is closed, or `None` to close it without a response.
    pub(crate) async fn read(
        &self,
        reader: &mut Reader,
        writer: &mut Writer,
        call: &mut Option<InProgress>,
    ) -> Result<Request, Option<Reply>> {
        let head = self.read_head(reader, call).await?;
        let arrived = BootClock.now();
        if head.headers.has_token("expect", "100-continue") {
            writer.send(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await.map_err(|_| None)?;
        }
        let mut memory = Memory {
            account: self.account,
            reservation: self.node.request_budget.reservation(),
            head: head.memory(),
        };
        let body = {
            let reading = read_body(reader, &head, self.limits.body_bytes, &mut memory);
            let ended = self.node.shutdown.ends();
            pin_mut!(reading, ended);
            match select(reading, ended).await {
                Either::Left((body, _)) => body?,
                Either::Right(_) => return Err(Some(self.incomplete())),
            }
        };
        if let Some(account) = self.account {
            let bytes = TASK_BYTES + memory.head + body.len() + reader.held();
            account.receive(Phase::Running, bytes).map_err(|Exhausted| Some(full()))?;
        }
        Ok(Request { head, body, arrived, _reservation: Some(memory.reservation) })
    }

    /// Returns the answer to a request that is not complete when the process is about to end.
    fn incomplete(&self) -> Reply {
        slog::info!(self.node.log, "stop: incomplete request ended"; "listener" => ?self.kind);
        let message = "this node stops; the request was not read and has not run";
        Reply::not_run(message, Duration::ZERO).closing()
    }

    async fn read_head(
        &self,
        reader: &mut Reader,
        call: &mut Option<InProgress>,
    ) -> Result<RequestHead, Option<Reply>> {
        let mut began = None;
        loop {
            let is_counted = matches!(self.kind, ListenerKind::Callers | ListenerKind::Peers);
            if is_counted && !reader.buffer.is_empty() && call.is_none() {
                *call = Some(self.node.calls.begin());
            }
            match reader.take_head(self.limits.head_bytes) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(HeadError::TooLarge) => {
                    return Err(Some(Reply::error(431, "the request head is too large")));
                }
                Err(error) => return Err(Some(Reply::error(400, &error.to_string()))),
            }
            let now = BootClock.now();
            let idle = reader.buffer.is_empty();
            if idle {
                *call = None;
            } else if let Some(account) = self.account {
                let received = account.receive(Phase::Head, reader.held());
                received.map_err(|Exhausted| Some(full()))?;
            }
            let left = if idle {
                self.limits.idle_time
            } else {
                self.limits.head_time.saturating_sub(now.since(*began.get_or_insert(now)))
            };
            let filling = timeout(left, reader.fill());
            let stopping = self.stops(idle);
            pin_mut!(filling, stopping);
            match select(filling, stopping).await {
                Either::Left((Ok(Ok(true)), _)) => {}
                Either::Left((Err(_), _)) if !idle => {
                    return Err(Some(Reply::error(408, "the request head took too long")));
                }
                Either::Right(_) if !idle => return Err(Some(self.incomplete())),
                _ => return Err(None),
            }
        }
    }

    /// Waits until a planned stop ends the connection.
    async fn stops(&self, idle: bool) {
        if idle {
            self.node.shutdown.closes(self.accepted).await;
        } else {
            self.node.shutdown.ends().await;
        }
    }
}

/// Returns the answer to a request for which there is no memory.
pub(crate) fn full() -> Reply {
    let message = "this node holds too many requests; this one has not run";
    Reply::not_run(message, RETRY_FULL).closing()
}

async fn read_body(
    reader: &mut Reader,
    head: &RequestHead,
    limit: usize,
    memory: &mut Memory<'_>,
) -> Result<Bytes, Option<Reply>> {
    let mut body = Body::new(head.framing);
    let mut received: Vec<u8> = Vec::new();
    loop {
        match body.take(&mut reader.buffer) {
            Ok(Some(data)) if received.len() + data.len() > limit => {
                return Err(Some(Reply::error(413, "the request body is too large")));
            }
            Ok(Some(data))
                if !memory.grow(data.len(), received.len() + data.len(), reader.held()) =>
            {
                return Err(Some(full()));
            }
            Ok(Some(data)) => received.extend_from_slice(&data),
            Ok(None) if body.is_done() => return Ok(received.into()),
            Ok(None) => match timeout(BODY_TIMEOUT, reader.fill()).await {
                Ok(Ok(true)) => {}
                Ok(_) => return Err(None),
                Err(_) => return Err(Some(Reply::error(408, "the request body took too long"))),
            },
            Err(error) => return Err(Some(Reply::error(400, &error.to_string()))),
        }
    }
}
