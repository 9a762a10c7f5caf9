use std::{
    cell::RefCell,
    hash::{BuildHasher, RandomState},
    rc::Rc,
};

use futures_channel::{mpsc, oneshot};
use tamarackdock_types::{
    AccountName, HostName,
    clock::{BootClock, Clock},
};
use tamarackdock_usage::{Batch, Counter, NodeRun, UsageTotals};

use super::{
    Meter,
    message::Message,
    metrics::Metrics,
    schedule::{SETTINGS, SHARD, window},
};
use crate::telemetry;

/// Counts usage and sends messages to the usage task.
#[derive(Clone)]
pub(crate) struct Handle {
    pub(super) counter: Rc<RefCell<Counter>>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) messages: mpsc::UnboundedSender<Message>,
}

/// Makes the handle, and the receiver that is passed to [`super::spawn`].
pub(crate) fn channel(
    host: &HostName,
    metrics: &telemetry::Metrics,
) -> prometheus::Result<(Handle, mpsc::UnboundedReceiver<Message>)> {
    let (messages, receiver) = mpsc::unbounded();
    let node_run = NodeRun { shard: SHARD.0, host: host.clone(), run: random_u64() };
    let counter = Counter::new(node_run, SETTINGS, window(), BootClock.now());
    let metrics = Rc::new(Metrics::new(metrics)?);
    let counter = Rc::new(RefCell::new(counter));
    Ok((Handle { counter, metrics, messages }, receiver))
}

/// Returns a random number that keeps this run of the node apart from others. The standard
/// library seeds its hashers from the system's random source.
pub(super) fn random_u64() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

impl Handle {
    /// Makes the meter of an attempt that counts for `account`, if there is one.
    pub(crate) fn meter(&self, account: Option<AccountName>) -> Meter {
        Meter::new(self.clone(), account)
    }

    /// Keeps copies of a peer's unflushed batches.
    pub(crate) fn keep_copies(&self, origin: NodeRun, batches: Vec<Batch>) {
        let _ = self.messages.unbounded_send(Message::KeepCopies { origin, batches });
    }

    /// Returns the state as JSON for `/debug/state`, or `null` if the task has ended.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        self.ask(|reply| Message::Dump { reply }).await.unwrap_or_default()
    }

    /// Counts calls and tokens of an account in the current window.
    pub(super) fn count(&self, account: AccountName, totals: UsageTotals) {
        self.metrics.calls.inc_by(totals.calls);
        self.metrics.tokens.inc_by(totals.tokens);
        let mut counter = self.counter.borrow_mut();
        counter.set_window(window());
        counter.count(account, totals);
    }

    /// Sends a message and returns the reply, or `None` if the task has ended.
    pub(super) async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let _ = self.messages.unbounded_send(message(reply));
        answer.await.ok()
    }
}
