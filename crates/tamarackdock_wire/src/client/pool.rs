use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use monoio::time::Instant;

use super::{Connection, Deadlines, Error};
use crate::guard::Limits;

/// Longest life of a connection. Old connections are replaced, since a device
/// on the way may have lost track of them.
const MAX_AGE: Duration = Duration::from_mins(5);
const MAX_IDLE: Duration = Duration::from_secs(20);
const MAX_IDLE_PER_ADDRESS: usize = 64;

struct Idle {
    connection: Connection,
    opened: Instant,
    since: Instant,
}

/// A checked-out connection of a pool.
pub struct Lease {
    connection: Connection,
    address: SocketAddr,
    opened: Instant,
}

/// Idle connections by address, for the tasks of one thread.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    limits: Limits,
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct Whole {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Lease {
    /// Returns the connection.
    pub fn connection(&mut self) -> &mut Connection {
        &mut self.connection
    }
}

impl Pool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { idle: RefCell::default(), limits }
    }

    /// Takes an idle connection that is still good, or opens one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if no connection can be opened.
    pub async fn take(&self, address: SocketAddr, deadlines: Deadlines) -> Result<Lease, Error> {
        while let Some(mut idle) = self.pop(address) {
            let fresh = idle.opened.elapsed() < MAX_AGE && idle.since.elapsed() < MAX_IDLE;
            if fresh && idle.connection.is_reusable() {
                idle.connection.set_deadlines(deadlines);
                return Ok(Lease { connection: idle.connection, address, opened: idle.opened });
            }
        }
        let connection = Connection::open(address, self.limits, deadlines).await?;
        Ok(Lease { connection, address, opened: Instant::now() })
    }

    /// Gives a connection back after a whole response. Others must be dropped.
    pub fn give_back(&self, lease: Lease) {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.entry(lease.address).or_default();
        if waiting.len() < MAX_IDLE_PER_ADDRESS {
            let since = Instant::now();
            waiting.push(Idle { connection: lease.connection, opened: lease.opened, since });
        }
    }

    /// Makes a call and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] that broke the call; its connection is closed.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadlines: Deadlines,
    ) -> Result<Whole, Error> {
        let mut lease = self.take(address, deadlines).await?;
        let answer = lease.connection().send(request).await?;
        let status = answer.status();
        let headers = answer.headers().clone();
        let body = answer.whole().await?;
        self.give_back(lease);
        Ok(Whole { status, headers, body })
    }

    fn pop(&self, address: SocketAddr) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }
}
