mod choose;
mod record;

use std::time::Duration;

use tamarackdock_lease::{Deadline, HeldLease};
use tamarackdock_platform::{
    Error,
    order::{Class, ListedTarget, Order},
};
use tamarackdock_types::{DataCentreName, ServiceName, TargetName, clock::Instant, fence::Epoch};

use crate::{Action, Input, Receiver, TargetCounts};

#[derive(Debug)]
enum Stage {
    /// No request is pending, and the receiver's state must be read before the
    /// next order.
    Idle,
    Listing,
    Recording(Order, Deadline),
    Sending(Order),
    /// The receiver or the table knows a later epoch.
    Stale,
}

/// Reconciles the targets of a data centre with the plan, one order at a time,
/// under the lease `orders/{data centre}`.
#[derive(Debug)]
pub struct Reconciler {
    data_centre: DataCentreName,
    /// Data centre, and service if there is one, in row keys and operation ids.
    label: String,
    /// Targets that can be started, or `None` if the holder names new targets.
    pool: Option<Vec<(TargetName, Class)>>,
    receiver: Receiver,
    /// Time between reads of the receiver's state, and between tries after a failure.
    refresh: Duration,
    plan: Option<TargetCounts>,
    /// Epoch to which the fields below belong.
    epoch: Option<Epoch>,
    stage: Stage,
    /// Orders of unknown outcome that no list has shown as carried out. Each can
    /// still take effect, so it is repeated unchanged instead of a new order of its
    /// kind.
    unresolved: Vec<Order>,
    /// Key of the last record, which is deleted with the next one.
    last_key: Option<String>,
    /// Number of the last order of the epoch.
    number: u64,
    last_request: u64,
    next_list_at: Instant,
}

impl Reconciler {
    /// Creates the state machine of a data centre. It acts from the first
    /// [`Input::Plan`] on, while the lease is held.
    #[must_use]
    pub fn new(data_centre: DataCentreName, receiver: Receiver, refresh: Duration) -> Self {
        Self {
            label: data_centre.to_string(),
            pool: None,
            data_centre,
            receiver,
            refresh,
            plan: None,
            epoch: None,
            stage: Stage::Idle,
            unresolved: Vec::new(),
            last_key: None,
            number: 0,
            last_request: 0,
            next_list_at: Instant::default(),
        }
    }

    /// Restricts the state machine to the targets of one service, which have
    /// fixed names: only targets of [`Input::Pool`] are started.
    #[must_use]
    pub fn for_service(mut self, service: &ServiceName) -> Self {
        self.label = format!("{}/{service}", self.data_centre);
        self.pool = Some(Vec::new());
        self
    }

    /// Handles an input at the time `now`, with the lease if this process holds it.
    pub fn step(
        &mut self,
        now: Instant,
        held: Option<&mut HeldLease>,
        input: Input,
    ) -> Vec<Action> {
        let epoch = held.as_ref().map(|held| held.epoch());
        if epoch != self.epoch {
            self.reset(epoch);
        }
        let Some(held) = held else { return self.update_plan(&input) };
        let mut actions = Vec::new();
        match input {
            Input::Listed { request, result } if request == self.last_request => {
                self.on_listed(now, held, result, &mut actions);
            }
            Input::Recorded { request, result } if request == self.last_request => {
                self.on_recorded(now, held, &result, &mut actions);
            }
            Input::Sent { request, result } if request == self.last_request => {
                self.on_sent(now, &result, &mut actions);
            }
            input => actions = self.update_plan(&input),
        }
        self.advance(now, held, &mut actions);
        actions
    }

    /// Resets the state for an epoch in which the receiver's state has not been read.
    fn reset(&mut self, epoch: Option<Epoch>) {
        self.epoch = epoch;
        self.stage = Stage::Idle;
        self.unresolved.clear();
        self.last_key = None;
        self.number = 0;
        self.last_request += 1;
        self.next_list_at = Instant::default();
    }

    /// Stores a new plan or pool. Other inputs have no effect here.
    fn update_plan(&mut self, input: &Input) -> Vec<Action> {
        match input {
            Input::Plan(plan) if self.plan != Some(*plan) => {
                self.plan = Some(*plan);
                self.next_list_at = Instant::default();
            }
            Input::Pool(pool) => self.pool = Some(pool.clone()),
            _ => {}
        }
        Vec::new()
    }

    fn advance(&mut self, now: Instant, held: &HeldLease, actions: &mut Vec<Action>) {
        match self.stage {
            Stage::Idle if self.plan.is_none() => {}
            Stage::Idle if now < self.next_list_at => actions.push(Action::Wake(self.next_list_at)),
            Stage::Idle if !self.can_list(now, held) => {
                actions.push(Action::Wake(now + self.refresh));
            }
            Stage::Idle => {
                self.stage = Stage::Listing;
                actions.push(Action::List { request: self.new_request() });
            }
            Stage::Listing | Stage::Recording(..) | Stage::Sending(_) | Stage::Stale => {}
        }
    }

    fn can_list(&self, now: Instant, held: &HeldLease) -> bool {
        held.permit(now).is_some() && self.receiver.is_settled(held, now)
    }

    fn on_listed(
        &mut self,
        now: Instant,
        held: &mut HeldLease,
        result: Result<Vec<ListedTarget>, Error>,
        actions: &mut Vec<Action>,
    ) {
        self.schedule_list(now);
        let Ok(listed) = result else { return };
        self.unresolved.retain(|order| !choose::is_carried_out(&listed, order));
        let order = self.choose(held.epoch(), &listed);
        if let Some(order) = order {
            self.record(now, held, order, actions);
        }
    }

    fn on_recorded(
        &mut self,
        now: Instant,
        held: &HeldLease,
        result: &Result<u64, Error>,
        actions: &mut Vec<Action>,
    ) {
        let Stage::Recording(order, deadline) = std::mem::replace(&mut self.stage, Stage::Idle)
        else {
            return;
        };
        match result {
            Ok(_) => {
                let request = self.new_request();
                self.stage = Stage::Sending(order.clone());
                actions.push(Action::Send { request, order, deadline });
            }
            Err(Error::Conflict { key }) if *key == held.fence().key => self.stop(actions),
            // Nothing was sent, so the next list decides again.
            Err(_) => self.schedule_list(now),
        }
    }

    fn on_sent(&mut self, now: Instant, result: &Result<(), Error>, actions: &mut Vec<Action>) {
        let Stage::Sending(order) = std::mem::replace(&mut self.stage, Stage::Idle) else {
            return;
        };
        match result {
            Ok(()) => {
                self.unresolved.retain(|other| other.operation != order.operation);
                self.next_list_at = now;
            }
            Err(Error::StaleEpoch(_)) => self.stop(actions),
            Err(Error::Unavailable) => {
                self.schedule_list(now);
                actions.push(Action::Unavailable(order.class));
            }
            // The order had no effect, so the next list decides again.
            Err(Error::Unreachable | Error::Refused) => self.schedule_list(now),
            // The order may still take effect.
            Err(Error::Unknown | Error::Malformed | Error::Conflict { .. }) => {
                self.schedule_list(now);
                self.add_unresolved(order);
            }
        }
    }

    fn add_unresolved(&mut self, order: Order) {
        if !self.unresolved.contains(&order) {
            self.unresolved.push(order);
        }
    }

    /// Has the receiver's state read again after the refresh time.
    fn schedule_list(&mut self, now: Instant) {
        self.stage = Stage::Idle;
        self.next_list_at = now + self.refresh;
    }

    fn stop(&mut self, actions: &mut Vec<Action>) {
        self.stage = Stage::Stale;
        actions.extend(self.epoch.map(Action::Stale));
    }

    fn new_request(&mut self) -> u64 {
        self.last_request += 1;
        self.last_request
    }
}
