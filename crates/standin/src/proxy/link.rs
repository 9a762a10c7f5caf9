use std::{sync::Arc, time::Duration};

use futures_util::{FutureExt, future::select};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::TcpStream,
    time::sleep,
};

use super::Shared;

const READ_BYTES: usize = 16 << 10;
/// Pause between two looks at the switches.
const POLL: Duration = Duration::from_millis(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

/// One connection and its counterpart at the target.
pub(super) struct Link {
    shared: Arc<Shared>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.counts().open -= 1;
    }
}

impl Link {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let mut counts = shared.counts();
        counts.connections += 1;
        counts.open += 1;
        drop(counts);
        Self { shared }
    }

    /// Passes bytes until one end closes or the connection is cut.
    pub(super) async fn run(self, caller: TcpStream) {
        if self.shared.faults().cut {
            return;
        }
        let target = *self.shared.target();
        let Ok(target) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (caller.set_nodelay(true), target.set_nodelay(true));
        let (from_caller, to_caller) = caller.into_split();
        let (from_target, to_target) = target.into_split();
        let request = self.pass(Direction::Request, from_caller, to_target).boxed_local();
        let response = self.pass(Direction::Response, from_target, to_caller).boxed_local();
        select(select(request, response), self.until_cut().boxed_local()).await;
    }

    async fn until_cut(&self) {
        while !self.shared.faults().cut {
            sleep(POLL).await;
        }
    }

    async fn pass(
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
                sleep(POLL).await;
            }
            let Some(allowed) = self.allow(direction, bytes.len()) else {
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

    /// Returns how many bytes may pass, or `None` if the connection breaks instead.
    fn allow(&self, direction: Direction, bytes: usize) -> Option<usize> {
        let mut faults = self.shared.faults();
        let mut counts = self.shared.counts();
        let wanted = u64::try_from(bytes).unwrap_or(u64::MAX);
        match direction {
            Direction::Request => {
                counts.sent += wanted;
                Some(bytes)
            }
            Direction::Response if faults.lose_responses => {
                counts.withheld += wanted;
                None
            }
            Direction::Response => {
                let allowed = faults.silent_after.unwrap_or(u64::MAX).min(wanted);
                faults.silent_after = faults.silent_after.map(|left| left - allowed);
                counts.returned += allowed;
                counts.withheld += wanted - allowed;
                usize::try_from(allowed).ok()
            }
        }
    }
}
