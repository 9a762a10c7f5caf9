use std::{collections::BTreeMap, rc::Rc};

use futures_channel::oneshot;
use tamarackdock_admit::{Action, Admission, Call, Fair, Fixed, fair};
use tamarackdock_config::{deployment::Role, settings};
use tamarackdock_types::{
    ServiceName,
    clock::Instant,
    refusal::{Code, Refusal},
};

use super::{
    Admit, Admitted,
    state::{Router, Waiting},
};
use crate::active::Active;

/// Weight of a new call in the moving average of call sizes.
const SIZE_WEIGHT: f64 = 0.05;
const FIRST_SIZE: f64 = 64.0;
/// Largest size of a call in averages.
const MAX_SIZES: f64 = 4.0;
/// Largest and inverse of the smallest cost of a call in averages.
const MAX_COST_RATIO: u64 = 4;
/// Cost of an average call, for which one place is counted.
const AVERAGE_COST: u64 = 100;
/// Calls at once of the baseline, for each service.
const FIXED_LIMIT: usize = 256;

/// One admission for each service.
pub(super) struct Pools {
    policy: settings::Admission,
    active: Rc<Active>,
    by_service: BTreeMap<ServiceName, Pool>,
}

struct Pool {
    admission: Box<dyn Admission>,
    /// Moving average of a call's tokens.
    size: f64,
}

impl Pool {
    /// Returns what a call costs, in parts of an average call. The cost is
    /// relative, so that calls that run on don't exceed the capacity when the
    /// average falls, and bounded, since few calls use all tokens that they may.
    fn cost(&mut self, tokens: u32) -> u64 {
        let tokens = f64::from(tokens).min(MAX_SIZES * self.size);
        self.size = (self.size + SIZE_WEIGHT * (tokens - self.size)).max(1.0);
        scaled(tokens / self.size).max(AVERAGE_COST / MAX_COST_RATIO)
    }
}

/// Returns a multiple of the average cost.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "ratios are positive and small"
)]
fn scaled(ratio: f64) -> u64 {
    (ratio * AVERAGE_COST as f64) as u64
}

impl Pools {
    pub(super) fn new(policy: settings::Admission) -> Self {
        Self { policy, active: Rc::default(), by_service: BTreeMap::new() }
    }

    /// Takes a configuration and returns the services whose queues began anew,
    /// since a share of an account or role changed.
    pub(super) fn configure(&mut self, active: &Rc<Active>) -> Vec<ServiceName> {
        let former = std::mem::replace(&mut self.active, active.clone());
        let changed: Vec<ServiceName> = self.by_service.keys().cloned().collect();
        let changed: Vec<ServiceName> = changed
            .into_iter()
            .filter(|service| options(&former, service) != options(active, service))
            .collect();
        for service in &changed {
            self.by_service.remove(service);
        }
        changed
    }

    fn pool(&mut self, service: &ServiceName) -> &mut Pool {
        let (policy, active) = (self.policy, self.active.clone());
        self.by_service.entry(service.clone()).or_insert_with(|| Pool {
            admission: match policy {
                settings::Admission::Fair => Box::new(Fair::new(options(&active, service))),
                settings::Admission::Fixed => Box::new(Fixed::new(FIXED_LIMIT)),
            },
            size: FIRST_SIZE,
        })
    }
}

/// Batch calls can't use the places of app targets, so that these are a buffer.
fn options(active: &Active, service: &ServiceName) -> fair::Options {
    let targets = active.targets().iter().filter(|target| target.service == *service);
    let places = |role: Option<Role>| -> u64 {
        let chosen = targets.clone().filter(|target| role.is_none_or(|role| role == target.role));
        chosen.map(|target| u64::from(target.capacity)).sum()
    };
    let (app, training) = (places(Some(Role::App)), places(Some(Role::Training)));
    let buffer_percent = if training == 0 { 0 } else { 100 * app / (app + training) };
    let weights = active.deployment.accounts.iter();
    fair::Options {
        weights: weights.map(|account| (account.name.clone(), account.weight)).collect(),
        buffer_percent,
        ..fair::Options::default()
    }
}

impl Router {
    pub(super) fn admit(
        &mut self,
        admit: Admit,
        reply: oneshot::Sender<Result<Admitted, Refusal>>,
        now: Instant,
    ) {
        let id = self.next_id();
        let service = admit.service.clone();
        let pool = self.pools.pool(&service);
        let tokens = pool.cost(admit.tokens);
        let call = Call {
            id,
            account: admit.account,
            level: admit.level,
            tokens,
            deadline: admit.deadline,
        };
        let waiting = Waiting { service: service.clone(), call: call.clone(), reply: Some(reply) };
        self.admits.insert(id, waiting);
        let actions = self.pools.pool(&service).admission.offer(call, now);
        self.carry_out(actions);
    }

    /// Takes a configuration. Calls that wait in a queue that began anew are offered again.
    pub(super) fn configure_admission(&mut self, now: Instant) {
        let changed = self.pools.configure(&self.active);
        let waiting = self.admits.values().filter(|waiting| waiting.reply.is_some());
        let again = waiting.filter(|waiting| changed.contains(&waiting.service));
        let again: Vec<_> = again.map(|w| (w.service.clone(), w.call.clone())).collect();
        for (service, call) in again {
            let actions = self.pools.pool(&service).admission.offer(call, now);
            self.carry_out(actions);
        }
    }

    /// Takes the end of an admitted call.
    pub(super) fn finish_call(&mut self, call: u64, now: Instant) {
        if let Some(waiting) = self.admits.remove(&call) {
            let actions = self.pools.pool(&waiting.service).admission.finish(call, now);
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
        let services: Vec<ServiceName> = self.pools.by_service.keys().cloned().collect();
        for service in services {
            let places = self.places(&service);
            let pool = self.pools.pool(&service);
            let capacity = u64::from(places) * AVERAGE_COST;
            let mut actions = pool.admission.set_capacity(capacity, now);
            actions.extend(pool.admission.tick(now));
            self.carry_out(actions);
        }
    }

    /// Counts the places of a service that other nodes leave free.
    fn places(&self, service: &ServiceName) -> u32 {
        let targets = self.table.iter().map(|(_, target)| target);
        let targets = targets.filter(|target| target.spec.service == *service);
        let free = targets.map(|target| {
            let others = target.load.estimate().saturating_sub(target.load.own());
            target.limit().saturating_sub(others)
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
