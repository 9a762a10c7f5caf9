use futures_channel::oneshot;
use tamarackdock_admit::{Action, Call, Level};
use tamarackdock_config::deployment::Role;
use tamarackdock_types::{
    ServiceName,
    clock::Instant,
    refusal::{Code, Refusal},
};

use super::{
    AdmissionRequest, Admitted,
    queues::{AVERAGE_COST, QueueKey},
    state::{Router, TrackedCall},
};

impl Router {
    pub(super) fn admit(
        &mut self,
        request: AdmissionRequest,
        reply: oneshot::Sender<Result<Admitted, Refusal>>,
        now: Instant,
    ) {
        let id = self.next_id();
        let key = self.queue_key(request.service, request.level);
        let tokens = self.queues.queue(&key).cost(request.tokens);
        let call = Call {
            id,
            account: request.account,
            level: request.level,
            tokens,
            deadline: request.deadline,
        };
        let tracked = TrackedCall { key: key.clone(), call: call.clone(), reply: Some(reply) };
        self.calls.insert(id, tracked);
        let actions = self.queues.queue(&key).admission.offer(call, now);
        self.apply(actions);
    }

    /// Applies a changed configuration. Calls that waited in a queue that was replaced are offered
    /// to its successor.
    pub(super) fn configure_admission(&mut self, now: Instant) {
        let changed = self.queues.configure(&self.active);
        let waiting = self.calls.values().filter(|tracked| tracked.reply.is_some());
        let again = waiting.filter(|tracked| changed.contains(&tracked.key));
        let again: Vec<_> =
            again.map(|tracked| (tracked.key.clone(), tracked.call.clone())).collect();
        for (key, call) in again {
            let actions = self.queues.queue(&key).admission.offer(call, now);
            self.apply(actions);
        }
    }

    /// Ends an admitted or waiting call.
    pub(super) fn finish_call(&mut self, call: u64, now: Instant) {
        if let Some(tracked) = self.calls.remove(&call) {
            let actions = self.queues.queue(&tracked.key).admission.finish(call, now);
            self.apply(actions);
        }
    }

    /// Updates the capacity of each queue, refuses calls past their deadline, and
    /// ends waiting calls whose callers disconnected.
    pub(super) fn tick_admission(&mut self, now: Instant) {
        let left = self.calls.iter().filter(|(_, tracked)| {
            tracked.reply.as_ref().is_some_and(oneshot::Sender::is_canceled)
        });
        let left: Vec<u64> = left.map(|(id, _)| *id).collect();
        for call in left {
            self.finish_call(call, now);
        }
        for key in self.queues.keys() {
            let capacity = u64::from(self.available_capacity(&key)) * AVERAGE_COST;
            let queue = self.queues.queue(&key);
            let mut actions = queue.admission.set_capacity(capacity, now);
            actions.extend(queue.admission.tick(now));
            self.apply(actions);
        }
    }

    /// Returns the queue of a call. Samples have a separate queue only if the service has training
    /// targets.
    fn queue_key(&self, service: ServiceName, level: Level) -> QueueKey {
        let level = if self.batch_role(&service).is_none() { Level::App } else { level };
        QueueKey { service, level }
    }

    /// Returns how many concurrent calls of a queue the targets can run beside
    /// those of other nodes. Apps can also use the capacity of training targets
    /// that samples leave free.
    fn available_capacity(&self, key: &QueueKey) -> u32 {
        let targets = self.table.iter().map(|(_, target)| target);
        let targets = targets.filter(|target| target.spec.service == key.service);
        let free = targets.map(|target| {
            let other_nodes = target.load.estimate().saturating_sub(target.load.own());
            match (key.level, target.spec.role) {
                (Level::App, Role::App) | (Level::Batch, Role::Training) => {
                    target.limit().saturating_sub(other_nodes)
                }
                (Level::App, Role::Training) => target.limit().saturating_sub(target.calls()),
                (Level::Batch, Role::App) => 0,
            }
        });
        free.sum()
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let id = match action {
                Action::Start { id } | Action::Refuse { id, .. } => id,
            };
            let reply = self.calls.get_mut(&id).and_then(|tracked| tracked.reply.take());
            let answer = match action {
                Action::Start { id } => Ok(Admitted::new(id, self.sender.clone())),
                Action::Refuse { id, retry_after } => {
                    self.calls.remove(&id);
                    let message = "the capacity is used up; ask again later";
                    Err(Refusal::not_run(Code::Overloaded, message).retry_after(retry_after))
                }
            };
            // If the caller disconnected, the reply drops `Admitted`, which ends the call.
            if let Some(reply) = reply {
                let _ = reply.send(answer);
            }
        }
    }
}
