use std::{sync::Arc, time::Duration};

use futures_util::{FutureExt, future::select};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::TcpStream,
    time::sleep,
};

use super::Shared;

/// Largest number of bytes that are read at once.
const READ_BYTES: usize = 16 << 10;
/// Interval at which faults are read.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

/// A caller's connection and the proxy's own connection to the target.
pub(super) struct Connection {
    shared: Arc<Shared>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.counts().open_connections -= 1;
    }
}

impl Connection {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let mut counts = shared.counts();
        counts.connections += 1;
        counts.open_connections += 1;
        drop(counts);
        Self { shared }
    }

    /// Forwards bytes until one end closes or a fault closes the connection.
    pub(super) async fn run(self, caller: TcpStream) {
        if self.shared.faults().cut_off {
            return;
        }
        let target = *self.shared.target();
        let Ok(target) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (caller.set_nodelay(true), target.set_nodelay(true));
        let (from_caller, to_caller) = caller.into_split();
        let (from_target, to_target) = target.into_split();
        let request = self.forward(Direction::Request, from_caller, to_target).boxed_local();
        let response = self.forward(Direction::Response, from_target, to_caller).boxed_local();
        select(select(request, response), self.wait_until_cut_off().boxed_local()).await;
    }

    async fn wait_until_cut_off(&self) {
        while !self.shared.faults().cut_off {
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn forward(
        &self,
        direction: Direction,
        mut from: impl AsyncReadRent,
        mut to: impl AsyncWriteRent,
    ) {
        loop {
            let (result, mut bytes) = from.read(Vec::with_capacity(READ_BYTES)).await;
            if !matches!(result, Ok(count) if count > 0) {
                return;
            }
            let delay = self.shared.faults().delay;
            if !delay.is_zero() {
                sleep(delay).await;
            }
            while self.shared.faults().silent {
                sleep(POLL_INTERVAL).await;
            }
            let Some(allowed) = self.allowed_bytes(direction, bytes.len()) else {
                return;
            };
            let withheld = bytes.split_off(allowed);
            if !bytes.is_empty() && to.write_all(bytes).await.0.is_err() {
                return;
            }
            if !withheld.is_empty() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Counts bytes that arrived and returns how many of them may be forwarded, or `None`
    /// if the connection must be closed.
    fn allowed_bytes(&self, direction: Direction, bytes: usize) -> Option<usize> {
        let mut faults = self.shared.faults();
        let mut counts = self.shared.counts();
        let received = u64::try_from(bytes).unwrap_or(u64::MAX);
        match direction {
            Direction::Request => {
                counts.bytes_to_target += received;
                Some(bytes)
            }
            Direction::Response if faults.lose_responses => {
                counts.bytes_withheld += received;
                None
            }
            Direction::Response => {
                let allowed = faults.silent_after.unwrap_or(u64::MAX).min(received);
                faults.silent_after = faults.silent_after.map(|left| left - allowed);
                counts.bytes_to_caller += allowed;
                counts.bytes_withheld += received - allowed;
                usize::try_from(allowed).ok()
            }
        }
    }
}
