//! Performs the requests of the state machines to the platform and to peers.

use tamarackdock_platform::Error;
use tamarackdock_types::fence::Epoch;
use tamarackdock_usage::{Action, Batch, Input, NodeRun};
use tamarackdock_wire::client::Timeouts;

use super::{
    message::{Message, Owner},
    task::Task,
};
use crate::peer;

impl Task {
    pub(super) fn perform(&mut self, owner: Owner, action: Action) {
        let table = self.context.platform.table.clone();
        match action {
            Action::Read { request, keys } => self.spawn_request(owner, async move {
                let result = table.read(keys).await.map(|rows| rows.into_values().collect());
                Input::Rows { request, result }
            }),
            Action::Scan { request, prefix } => self.spawn_request(owner, async move {
                Input::Rows { request, result: table.scan(prefix).await }
            }),
            Action::Commit { request, commit } => self.spawn_request(owner, async move {
                Input::Done { request, result: table.commit(commit).await.map(drop) }
            }),
            Action::Report { request, report, bytes } => {
                self.send_report(owner, request, (report, bytes));
            }
            Action::Copy { origin, batches } => self.send_copy(origin, batches),
            Action::Stopped => self.reporter = None,
            Action::Wake(_) => {}
        }
    }

    /// Makes a request in a task of its own, and sends the response to the usage task.
    fn spawn_request(&self, owner: Owner, request: impl Future<Output = Input> + 'static) {
        let messages = self.context.usage.messages.clone();
        monoio::spawn(async move {
            let _ = messages.unbounded_send(Message::Response(owner, request.await));
        });
    }

    /// Sends a report whose content can't change any more. Checks directly before that this
    /// node still holds the lease under the reporter's epoch; if not, nothing is sent.
    fn send_report(&self, owner: Owner, request: u64, (window, bytes): (u64, bytes::Bytes)) {
        let lease = self.lease.clone();
        let reports = self.context.platform.reports.clone();
        let outcomes = self.context.usage.metrics.reports.clone();
        self.spawn_request(owner, async move {
            let result = match owner {
                Owner::Reporter(epoch) if lease.permit() == Some(epoch) => {
                    reports.send(window, bytes).await
                }
                _ => Err(Error::Unreachable),
            };
            let outcome = if result.is_ok() { "accepted" } else { "failed" };
            outcomes.with_label_values(&[outcome]).inc();
            Input::Done { request, result }
        });
    }

    /// Sends unflushed batches to the peer that keeps copies of them. A lost message isn't
    /// repeated, since the next one contains all batches that are unflushed then.
    fn send_copy(&self, origin: NodeRun, batches: Vec<Batch>) {
        let Some(address) = self.context.peers.next_after(&self.context.settings.host) else {
            return;
        };
        let client = self.context.peer_client.clone();
        let message = peer::Message::Usage { origin, batches };
        monoio::spawn(async move {
            let _ = client.call(address, &message, Timeouts::default()).await;
        });
    }

    /// Returns whether this node is the reporter of `epoch`.
    pub(super) fn is_reporter(&self, epoch: Epoch) -> bool {
        self.reporter.as_ref().is_some_and(|(held, _)| *held == epoch)
    }
}
