//! Decides which connection is closed, which request is refused and which connection may read
//! ahead, when clients use more memory or connections than there are.

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use tamarackdock_types::clock::Instant;

use crate::http::Budget;

/// Memory of a connection without a request: its task, and the buffer of one read.
pub(super) const CONNECTION_BYTES: usize = 8 * 1024;
/// Memory of the task that handles a request, in addition.
pub(crate) const TASK_BYTES: usize = 16 * 1024;
/// Part of the memory limit that connections without a request may use.
const CONNECTIONS_DIVISOR: usize = 10;
/// Part of the memory limit that responses may use that are not written.
const RESPONSE_BUDGET_DIVISOR: usize = 10;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that callers may use. The rest is for targets, the store and
/// peers.
const DESCRIPTORS_DIVISOR: usize = 2;
/// Part of the connections that may be about to be closed while others are accepted.
const MAX_CLOSING_DIVISOR: usize = 8;
/// Fewest connections of callers, where the limits leave room for less.
const MIN_CONNECTIONS: usize = 16;
/// Bytes that a connection may buffer behind a request in progress.
const MAX_AHEAD: usize = 64 * 1024;
/// Time that the head of a request may take while memory or connections are used up. Ordinary
/// heads arrive within one round trip.
const HEAD_PATIENCE: Duration = Duration::from_millis(500);
/// The same for a whole request with a body.
const BODY_PATIENCE: Duration = Duration::from_secs(5);

/// What all connections of callers may use together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Number of connections.
    pub(crate) connections: usize,
    /// Bytes of responses that are not written.
    pub(crate) response_bytes: usize,
}

impl Limits {
    /// Returns the limits of a process with a limit of memory in bytes and one of descriptors.
    pub(crate) fn of_process(memory: usize, descriptors: usize) -> Self {
        let free = descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTORS_DIVISOR;
        let fitting = memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        Self {
            connections: free.min(fitting).max(MIN_CONNECTIONS),
            response_bytes: memory / RESPONSE_BUDGET_DIVISOR,
        }
    }
}

/// Number of a connection, which no other one of the process has.
pub(crate) type Id = u64;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It has no byte of a request.
    Idle,
    /// It has a part of a request's head.
    Head,
    /// It has a head and a part of the body.
    Body,
    /// Its request is handled.
    Running,
    /// The client has not accepted all bytes of the response.
    Sending,
    /// It is about to be closed by a decision.
    Closing,
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Reason {
    /// Another connection is accepted in its place.
    #[display("connections")]
    Connections,
    /// Its memory is needed for another request.
    #[display("request_memory")]
    RequestMemory,
    /// Its memory is needed for another response.
    #[display("response_memory")]
    ResponseMemory,
    /// The client has accepted no byte of its response for `limits.unread_s`.
    #[display("unread")]
    Unread,
    /// It was not accepted, as all others are in use.
    #[display("not_accepted")]
    NotAccepted,
}

/// A connection that is closed by a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Closing {
    pub(crate) id: Id,
    pub(crate) reason: Reason,
    /// What the connection did.
    pub(crate) phase: Phase,
    /// Time without progress.
    pub(crate) waited: Duration,
}

/// The memory for requests is used up, or the connection is about to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Exhausted;

#[derive(Debug)]
struct Connection {
    phase: Phase,
    /// When a request began to arrive, the client last accepted bytes of a response, or the
    /// connection became idle.
    since: Instant,
    request_bytes: usize,
    response_bytes: usize,
}

/// All connections of callers and their memory.
#[derive(Debug)]
pub(crate) struct Ledger {
    limits: Limits,
    /// Memory for requests, which those of other nodes share.
    requests: Budget,
    response_bytes: usize,
    next: Id,
    connections: BTreeMap<Id, Connection>,
    /// Number of connections that are about to be closed.
    closing: usize,
    /// Bytes that these hold until their tasks run.
    closing_bytes: usize,
}

impl Ledger {
    pub(crate) fn new(limits: Limits, requests: Budget) -> Self {
        let connections = BTreeMap::new();
        Self {
            limits,
            requests,
            response_bytes: 0,
            next: 0,
            connections,
            closing: 0,
            closing_bytes: 0,
        }
    }

    /// Returns the number of connections that are open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes of requests and those of responses.
    pub(crate) fn bytes(&self) -> (usize, usize) {
        let open = self.connections.values().filter(|other| other.phase != Phase::Closing);
        let requests = open.map(|connection| connection.request_bytes).sum();
        (requests, self.response_bytes)
    }

    /// Admits a connection, for which another one may be closed. Returns `None` if all others have
    /// requests in progress.
    pub(crate) fn open(&mut self, now: Instant) -> Option<(Id, Option<Closing>)> {
        let mut closed = None;
        if self.connections.len() - self.closing >= self.limits.connections {
            let waits = |connection: &Connection| match connection.phase {
                Phase::Idle | Phase::Sending => true,
                Phase::Head | Phase::Body | Phase::Running | Phase::Closing => false,
            };
            let victim = self.oldest(now, None, waits);
            let victim = victim.or_else(|| self.oldest(now, None, |other| other.is_late(now)));
            closed = Some(self.condemn(victim?, Reason::Connections, now)?);
        }
        let id = self.next;
        self.next += 1;
        self.connections.insert(
            id,
            Connection { phase: Phase::Idle, since: now, request_bytes: 0, response_bytes: 0 },
        );
        Some((id, closed))
    }

    /// Records that a connection holds a number of bytes of a request, of which more are to come
    /// unless it is [`Phase::Running`]. Other connections may be closed for it.
    pub(crate) fn receive(
        &mut self,
        id: Id,
        phase: Phase,
        bytes: usize,
        now: Instant,
        closed: &mut Vec<Closing>,
    ) -> Result<(), Exhausted> {
        let connection = self.connections.get_mut(&id).ok_or(Exhausted)?;
        let held = connection.request_bytes;
        match connection.phase {
            Phase::Closing => return Err(Exhausted),
            Phase::Idle => connection.since = now,
            Phase::Head | Phase::Body | Phase::Running | Phase::Sending => {}
        }
        connection.phase = phase;
        let since = connection.since;
        let growth = bytes.saturating_sub(held);
        while !self.requests.take(growth) {
            // A client that sends slowly gives way to one whose request began later.
            let gives_way = |other: &Connection| {
                other.request_bytes > 0
                    && (other.phase == Phase::Sending
                        || (other.since < since && other.is_late(now)))
            };
            let victim = self.oldest(now, Some(id), gives_way).ok_or(Exhausted)?;
            closed.extend(self.condemn(victim, Reason::RequestMemory, now));
        }
        self.requests.give(held.saturating_sub(bytes));
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.request_bytes = bytes;
        }
        Ok(())
    }

    /// Returns whether a connection may receive bytes behind the request that it handles, of which
    /// it has some already. The first ones are always received, as they may be the client's close.
    pub(crate) fn may_read_ahead(&self, bytes: usize) -> bool {
        bytes == 0 || (bytes < MAX_AHEAD && self.requests.is_half_free())
    }

    /// Records further bytes of a connection whose request is handled.
    pub(crate) fn add(&mut self, id: Id, bytes: usize) {
        let Some(connection) = self.open_connection(id) else { return };
        connection.request_bytes += bytes;
        self.requests.force(bytes);
    }

    /// Records that the client of a connection has not accepted all of a response that holds a
    /// number of bytes, but some of them since the last time. Others may be closed for it.
    pub(crate) fn send(&mut self, id: Id, bytes: usize, now: Instant, closed: &mut Vec<Closing>) {
        let Some(connection) = self.open_connection(id) else { return };
        connection.phase = Phase::Sending;
        connection.since = now;
        let held = std::mem::replace(&mut connection.response_bytes, bytes);
        self.response_bytes = self.response_bytes - held + bytes;
        let is_unread = |other: &Connection| other.phase == Phase::Sending;
        while self.response_bytes > self.limits.response_bytes
            && let Some(victim) = self.oldest(now, Some(id), is_unread)
        {
            closed.extend(self.condemn(victim, Reason::ResponseMemory, now));
        }
    }

    /// Records that the client has accepted all bytes that were sent.
    pub(crate) fn sent(&mut self, id: Id) {
        let Some(connection) = self.open_connection(id) else { return };
        connection.phase = Phase::Running;
        self.response_bytes -= std::mem::take(&mut connection.response_bytes);
    }

    /// Records that a connection has no request in progress, and holds a number of bytes of later
    /// ones.
    pub(crate) fn idle(&mut self, id: Id, bytes: usize, now: Instant) {
        let Some(connection) = self.open_connection(id) else { return };
        connection.phase = if bytes == 0 { Phase::Idle } else { Phase::Head };
        connection.since = now;
        let held = std::mem::replace(&mut connection.request_bytes, bytes);
        let sent = std::mem::take(&mut connection.response_bytes);
        self.response_bytes -= sent;
        self.requests.give(held);
        self.requests.force(bytes);
    }

    /// Records that the time for reading the response is over.
    pub(crate) fn expire(&mut self, id: Id, now: Instant) -> Option<Closing> {
        self.condemn(id, Reason::Unread, now)
    }

    /// Returns whether connections that are about to be closed still hold so much memory that no
    /// further message may be received.
    pub(crate) fn is_releasing(&self) -> bool {
        self.closing_bytes > self.limits.response_bytes / 2
    }

    /// Returns whether so many connections are about to be closed that no further one may be
    /// accepted, since they still have their descriptors.
    pub(crate) fn is_closing_many(&self) -> bool {
        self.closing > self.limits.connections / MAX_CLOSING_DIVISOR
    }

    /// Records that a connection that is about to be closed holds no memory any more.
    pub(crate) fn release(&mut self, id: Id) {
        let connection = self.connections.get_mut(&id);
        if let Some(connection) = connection.filter(|other| other.phase == Phase::Closing) {
            let request_bytes = std::mem::take(&mut connection.request_bytes);
            let response_bytes = std::mem::take(&mut connection.response_bytes);
            self.closing_bytes -= request_bytes + response_bytes;
        }
    }

    /// Forgets a connection that is closed.
    pub(crate) fn close(&mut self, id: Id) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if connection.phase == Phase::Closing {
            self.closing -= 1;
            self.closing_bytes -= connection.request_bytes + connection.response_bytes;
        } else {
            self.requests.give(connection.request_bytes);
            self.response_bytes -= connection.response_bytes;
        }
    }

    fn open_connection(&mut self, id: Id) -> Option<&mut Connection> {
        self.connections.get_mut(&id).filter(|connection| connection.phase != Phase::Closing)
    }

    /// Returns the connection that has waited for the longest time of those that match.
    fn oldest(
        &self,
        now: Instant,
        except: Option<Id>,
        matches: impl Fn(&Connection) -> bool,
    ) -> Option<Id> {
        let others = self.connections.iter().filter(|(id, _)| Some(**id) != except);
        let matching = others.filter(|(_, connection)| matches(connection));
        matching
            .max_by_key(|(id, other)| (now.since(other.since), u64::MAX - **id))
            .map(|(id, _)| *id)
    }

    /// Returns that a connection is to be closed. Its memory is no longer counted with that of the
    /// others, but is released only when its task runs.
    fn condemn(&mut self, id: Id, reason: Reason, now: Instant) -> Option<Closing> {
        let connection = self.open_connection(id)?;
        let phase = std::mem::replace(&mut connection.phase, Phase::Closing);
        let waited = now.since(connection.since);
        let (request_bytes, response_bytes) = (connection.request_bytes, connection.response_bytes);
        self.requests.give(request_bytes);
        self.response_bytes -= response_bytes;
        self.closing += 1;
        self.closing_bytes += request_bytes + response_bytes;
        Some(Closing { id, reason, phase, waited })
    }
}

impl Connection {
    /// Returns whether its request has taken longer to arrive than it may while memory or
    /// connections are used up.
    fn is_late(&self, now: Instant) -> bool {
        let age = now.since(self.since);
        match self.phase {
            Phase::Head => age >= HEAD_PATIENCE,
            Phase::Body => age >= BODY_PATIENCE,
            Phase::Idle | Phase::Running | Phase::Sending | Phase::Closing => false,
        }
    }
}
