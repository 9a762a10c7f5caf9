//! Pool of idle connections to targets.

use std::{cell::RefCell, collections::BTreeMap, io, time::Duration};

use prometheus::IntCounterVec;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    deployment::Name,
    http::{Connection, Headers},
    target::Registration,
};

/// Time limit for connecting to a target. The expected round trip is a few
/// milliseconds, and a lost packet is retransmitted after 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Time for which an idle connection is kept if the target sends no `Keep-Alive`
/// timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(8);
/// Time before the end of a target's `Keep-Alive` timeout at which its connection is
/// no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

struct Idle {
    connection: Connection,
    expires: Instant,
}

/// Idle connections by target.
pub(crate) struct Pool {
    idle: RefCell<BTreeMap<Name, Vec<Idle>>>,
    opened: IntCounterVec,
}

impl Pool {
    /// Creates an empty pool that counts the connections it opens by service.
    pub(crate) fn new(opened: IntCounterVec) -> Self {
        Self { idle: RefCell::default(), opened }
    }

    /// Returns an idle connection to a target, or opens one.
    pub(crate) async fn connect(&self, target: &Registration) -> io::Result<Connection> {
        if let Some(connection) = self.take(&target.id) {
            return Ok(connection);
        }
        self.opened.with_label_values(&[&*target.service]).inc();
        Connection::open(target.address, CONNECT_TIMEOUT).await
    }

    fn take(&self, target: &str) -> Option<Connection> {
        let now = BootClock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        while let Some(Idle { mut connection, expires }) = connections.pop() {
            if now < expires && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for later requests. `headers` are those of its last response,
    /// which was received completely.
    pub(crate) fn put(&self, target: &Name, connection: Connection, headers: &Headers) {
        let expires = BootClock.now() + idle_time(headers);
        self.idle
            .borrow_mut()
            .entry(target.clone())
            .or_default()
            .push(Idle { connection, expires });
    }

    /// Closes connections that have expired and those to targets that are not in use.
    pub(crate) fn sweep(&self, in_use: impl Fn(&str) -> bool) {
        let now = BootClock.now();
        self.idle.borrow_mut().retain(|target, connections| {
            connections.retain(|idle| now < idle.expires);
            in_use(target) && !connections.is_empty()
        });
    }
}

fn idle_time(headers: &Headers) -> Duration {
    let seconds = headers.get("keep-alive").and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    seconds.map_or(DEFAULT_IDLE, |seconds| Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}
