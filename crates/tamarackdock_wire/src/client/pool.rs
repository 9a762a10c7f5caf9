use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use monoio::time::Instant;

use super::{Connection, Error, Timeouts};
use crate::validation::Limits;

/// Maximum age of a connection. Older ones are replaced, since a device on the
/// network path may have dropped its state of them.
const MAX_AGE: Duration = Duration::from_mins(5);
const MAX_IDLE: Duration = Duration::from_secs(20);
const MAX_IDLE_PER_ADDRESS: usize = 64;

struct IdleConnection {
    connection: Connection,
    opened: Instant,
    idle_since: Instant,
}

/// A connection taken from a pool.
pub struct PooledConnection {
    connection: Connection,
    address: SocketAddr,
    opened: Instant,
}

/// Idle connections by address, shared by the tasks of one thread.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    limits: Limits,
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// Status of the final response.
    pub status: StatusCode,
    /// Header fields of the final response.
    pub headers: HeaderMap,
    /// Complete body; empty if the response has none.
    pub body: Bytes,
}

impl PooledConnection {
    /// Returns the connection.
    pub fn connection(&mut self) -> &mut Connection {
        &mut self.connection
    }
}

impl Pool {
    /// Creates an empty pool, whose connections apply `limits` to responses.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { idle: RefCell::default(), limits }
    }

    /// Takes an idle connection that can still be used, or opens one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if no connection can be opened.
    pub async fn take(
        &self,
        address: SocketAddr,
        timeouts: Timeouts,
    ) -> Result<PooledConnection, Error> {
        while let Some(mut idle) = self.pop(address) {
            let fresh = idle.opened.elapsed() < MAX_AGE && idle.idle_since.elapsed() < MAX_IDLE;
            if fresh && idle.connection.is_reusable() {
                idle.connection.set_timeouts(timeouts);
                return Ok(PooledConnection {
                    connection: idle.connection,
                    address,
                    opened: idle.opened,
                });
            }
        }
        let connection = Connection::open(address, self.limits, timeouts).await?;
        Ok(PooledConnection { connection, address, opened: Instant::now() })
    }

    /// Returns a connection to the pool after its response was read to the end.
    /// A connection in any other state must be dropped.
    pub fn release(&self, pooled: PooledConnection) {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.entry(pooled.address).or_default();
        if waiting.len() < MAX_IDLE_PER_ADDRESS {
            let idle_since = Instant::now();
            waiting.push(IdleConnection {
                connection: pooled.connection,
                opened: pooled.opened,
                idle_since,
            });
        }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] that ended the call; its connection is closed.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeouts: Timeouts,
    ) -> Result<BufferedResponse, Error> {
        let mut pooled = self.take(address, timeouts).await?;
        let response = pooled.connection().send(request).await?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = response.read_to_end().await?;
        self.release(pooled);
        Ok(BufferedResponse { status, headers, body })
    }

    fn pop(&self, address: SocketAddr) -> Option<IdleConnection> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }
}
