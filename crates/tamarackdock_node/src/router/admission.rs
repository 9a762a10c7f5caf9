use futures_channel::oneshot;
use tamarackdock_admit::{Action, Call, Level};
use tamarackdock_config::deployment::Role;
use tamarackdock_types::{
    ServiceName,
    clock::Instant,
    refusal::{Code, Refusal},
};

use super::{
    Admit, Admitted,
    pool::{AVERAGE_COST, Lane},
    state::{Router, Waiting},
};

impl Router {
    pub(super) fn admit(
        &mut self,
        admit: Admit,
        reply: oneshot::Sender<Result<Admitted, Refusal>>,
        now: Instant,
    ) {
        let id = self.next_id();
        let lane = self.lane(admit.service, admit.level);
        let tokens = self.pools.pool(&lane).cost(admit.tokens);
        let call = Call {
            id,
            account: admit.account,
            level: admit.level,
            tokens,
            deadline: admit.deadline,
        };
        let waiting = Waiting { lane: lane.clone(), call: call.clone(), reply: Some(reply) };
        self.admits.insert(id, waiting);
        let actions = self.pools.pool(&lane).admission.offer(call, now);
        self.carry_out(actions);
    }

    /// Takes a configuration. Calls that wait in a queue that began anew are offered again.
    pub(super) fn configure_admission(&mut self, now: Instant) {
        let changed = self.pools.configure(&self.active);
        let waiting = self.admits.values().filter(|waiting| waiting.reply.is_some());
        let again = waiting.filter(|waiting| changed.contains(&waiting.lane));
        let again: Vec<_> = again.map(|w| (w.lane.clone(), w.call.clone())).collect();
        for (lane, call) in again {
            let actions = self.pools.pool(&lane).admission.offer(call, now);
            self.carry_out(actions);
        }
    }

    /// Takes the end of an admitted call.
    pub(super) fn finish_call(&mut self, call: u64, now: Instant) {
        if let Some(waiting) = self.admits.remove(&call) {
            let actions = self.pools.pool(&waiting.lane).admission.finish(call, now);
            self.carry_out(actions);
        }
    }

    /// Takes changed capacities, and drops the calls whose callers left.
    pub(super) fn tick_admission(&mut self, now: Instant) {
        let left = self.admits.iter().filter(|(_, waiting)| {
            waiting.reply.as_ref().is_some_and(oneshot::Sender::is_canceled)
        });
        let left: Vec<u64> = left.map(|(id, _)| *id).collect();
        for call in left {
            self.finish_call(call, now);
        }
        for lane in self.pools.lanes() {
            let capacity = u64::from(self.places(&lane)) * AVERAGE_COST;
            let pool = self.pools.pool(&lane);
            let mut actions = pool.admission.set_capacity(capacity, now);
            actions.extend(pool.admission.tick(now));
            self.carry_out(actions);
        }
    }

    /// Samples have a lane of their own where they have targets of their own.
    fn lane(&self, service: ServiceName, level: Level) -> Lane {
        let level = if self.batch_role(&service).is_none() { Level::App } else { level };
        Lane { service, level }
    }

    /// Counts the places of a lane that other nodes leave free. Apps can also
    /// use training targets, as far as samples leave them free.
    fn places(&self, lane: &Lane) -> u32 {
        let targets = self.table.iter().map(|(_, target)| target);
        let targets = targets.filter(|target| target.spec.service == lane.service);
        let free = targets.map(|target| {
            let others = target.load.estimate().saturating_sub(target.load.own());
            match (lane.level, target.spec.role) {
                (Level::App, Role::App) | (Level::Batch, Role::Training) => {
                    target.limit().saturating_sub(others)
                }
                (Level::App, Role::Training) => target.limit().saturating_sub(target.calls()),
                (Level::Batch, Role::App) => 0,
            }
        });
        free.sum()
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let id = match action {
                Action::Start { id } | Action::Refuse { id, .. } => id,
            };
            let reply = self.admits.get_mut(&id).and_then(|waiting| waiting.reply.take());
            let answer = match action {
                Action::Start { id } => Ok(Admitted::new(id, self.sender.clone())),
                Action::Refuse { id, retry_after } => {
                    self.admits.remove(&id);
                    let message = "the capacity is used up; ask again later";
                    Err(Refusal::not_run(Code::Overloaded, message).retry_after(retry_after))
                }
            };
            // A call whose caller left is ended by the drop of its admission.
            if let Some(reply) = reply {
                let _ = reply.send(answer);
            }
        }
    }
}
