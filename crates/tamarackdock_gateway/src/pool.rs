//! Pool of idle connections to targets.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    io,
    time::Duration,
};

use prometheus::IntCounterVec;
use slog::Logger;
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

/// Which of a target's idle connections carries the next request. Opening a connection is
/// expensive for targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// The one that was used last, which the target has most probably kept. For calls that
    /// may not be sent again if the connection turns out to be closed.
    Newest,
    /// The one that expires first, so that bursts some seconds apart keep all of them open.
    /// For requests that can be sent again.
    Oldest,
}

struct Idle {
    connection: Connection,
    expires: Instant,
}

/// Idle connections by target.
pub(crate) struct Pool {
    idle: RefCell<BTreeMap<Name, VecDeque<Idle>>>,
    opened: IntCounterVec,
    failed: IntCounterVec,
    log: Logger,
}

impl Pool {
    /// Creates an empty pool that counts by service the connections that it opens and those
    /// that can't be opened.
    pub(crate) fn new(opened: IntCounterVec, failed: IntCounterVec, log: Logger) -> Self {
        Self { idle: RefCell::default(), opened, failed, log }
    }

    /// Returns an idle connection to a target, or opens one. Also returns whether the
    /// connection was used before: the target may have closed it without notice.
    pub(crate) async fn connect(
        &self,
        target: &Registration,
        reuse: Reuse,
    ) -> io::Result<(Connection, bool)> {
        if let Some(connection) = self.take(&target.id, reuse) {
            return Ok((connection, true));
        }
        self.open(target).await.map(|connection| (connection, false))
    }

    /// Opens a connection to a target.
    async fn open(&self, target: &Registration) -> io::Result<Connection> {
        self.opened.with_label_values(&[&*target.service]).inc();
        let began = BootClock.now();
        let opened = Connection::open(target.address, CONNECT_TIMEOUT).await;
        if let Err(error) = &opened {
            self.failed.with_label_values(&[&*target.service]).inc();
            slog::info!(self.log, "target: connection failed"; "target" => &*target.id,
                "data_centre" => &*target.data_centre, "error" => %error.kind(),
                "ms" => BootClock.now().since(began).as_millis());
        }
        opened
    }

    /// Returns whether there is an idle connection to a target that has not expired.
    pub(crate) fn has_idle(&self, target: &str) -> bool {
        let now = BootClock.now();
        let idle = self.idle.borrow();
        idle.get(target).is_some_and(|all| all.iter().any(|idle| now < idle.expires))
    }

    fn take(&self, target: &str, reuse: Reuse) -> Option<Connection> {
        let now = BootClock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        let mut next = || match reuse {
            Reuse::Newest => connections.pop_back(),
            Reuse::Oldest => connections.pop_front(),
        };
        while let Some(Idle { mut connection, expires }) = next() {
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
            .push_back(Idle { connection, expires });
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
