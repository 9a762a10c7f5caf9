//! Pool of idle connections to targets and to other nodes.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    deployment::Name,
    http::{Connection, Headers},
};

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

/// Idle connections, by target or by host of another node.
#[derive(Default)]
pub(crate) struct Pool(RefCell<BTreeMap<Name, VecDeque<Idle>>>);

impl Pool {
    /// Returns whether there is an idle connection to a target that has not expired.
    pub(crate) fn has_idle(&self, target: &str) -> bool {
        let now = BootClock.now();
        let idle = self.0.borrow();
        idle.get(target).is_some_and(|all| all.iter().any(|idle| now < idle.expires))
    }

    /// Takes an idle connection.
    pub(crate) fn take(&self, target: &str, reuse: Reuse) -> Option<Connection> {
        let now = BootClock.now();
        let mut idle = self.0.borrow_mut();
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
        self.0
            .borrow_mut()
            .entry(target.clone())
            .or_default()
            .push_back(Idle { connection, expires });
    }

    /// Closes connections that have expired and those to targets that are not in use.
    pub(crate) fn sweep(&self, in_use: impl Fn(&str) -> bool) {
        let now = BootClock.now();
        self.0.borrow_mut().retain(|target, connections| {
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
