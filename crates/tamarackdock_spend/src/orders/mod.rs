mod choose;
mod record;

use std::time::Duration;

use tamarackdock_lease::{Deadline, Held};
use tamarackdock_platform::{
    Error,
    order::{Class, Listed, Order},
};
use tamarackdock_types::{DataCentreName, ServiceName, TargetName, clock::Instant, fence::Epoch};

use crate::{Action, Input, Receiver, Wanted};

#[derive(Debug)]
enum Stage {
    /// The receiver's state must be read before the next order.
    Unread,
    Listing,
    Recording(Order, Deadline),
    Sending(Order),
    /// The receiver knows a later epoch.
    Stale,
}

/// Brings the targets of a data centre to the plan, one order at a time, under
/// the lease `orders/{data centre}`.
#[derive(Debug)]
pub struct Orders {
    data_centre: DataCentreName,
    /// Start of row keys and operation ids.
    label: String,
    /// Targets that can be started, or `None` if the holder gives new targets names.
    pool: Option<Vec<(TargetName, Class)>>,
    receiver: Receiver,
    /// Time between looks at the receiver's state, and between tries after a failure.
    refresh: Duration,
    wanted: Option<Wanted>,
    /// Epoch under which the state below came about.
    epoch: Option<Epoch>,
    stage: Stage,
    /// Orders with unknown outcome that no list has shown yet. Each can still take
    /// effect, so it is repeated unchanged in place of a new order of its kind.
    doubtful: Vec<Order>,
    /// Key of the last record, deleted with the next one.
    last_key: Option<String>,
    /// Number of the last order of the epoch.
    number: u64,
    request: u64,
    next: Instant,
}

impl Orders {
    /// Makes the state machine of a data centre. It acts from the first
    /// [`Input::Plan`] on, while the lease is held.
    #[must_use]
    pub fn new(data_centre: DataCentreName, receiver: Receiver, refresh: Duration) -> Self {
        Self {
            label: data_centre.to_string(),
            pool: None,
            data_centre,
            receiver,
            refresh,
            wanted: None,
            epoch: None,
            stage: Stage::Unread,
            doubtful: Vec::new(),
            last_key: None,
            number: 0,
            request: 0,
            next: Instant::default(),
        }
    }

    /// Restricts the state machine to the targets of one service, which have
    /// fixed names. Only targets of [`Input::Pool`] are started then.
    #[must_use]
    pub fn of_service(mut self, service: &ServiceName) -> Self {
        self.label = format!("{}/{service}", self.data_centre);
        self.pool = Some(Vec::new());
        self
    }

    /// Takes an input at the time `now`, with the lease if this process holds it.
    pub fn step(&mut self, now: Instant, held: Option<&mut Held>, input: Input) -> Vec<Action> {
        let epoch = held.as_ref().map(|held| held.epoch());
        if epoch != self.epoch {
            self.reset(epoch);
        }
        let Some(held) = held else { return self.note(&input) };
        let mut actions = Vec::new();
        match input {
            Input::Listed { request, result } if request == self.request => {
                self.on_listed(now, held, result, &mut actions);
            }
            Input::Recorded { request, result } if request == self.request => {
                self.on_recorded(now, held, &result, &mut actions);
            }
            Input::Sent { request, result } if request == self.request => {
                self.on_sent(now, &result, &mut actions);
            }
            input => actions = self.note(&input),
        }
        self.advance(now, held, &mut actions);
        actions
    }

    /// A new epoch knows nothing of the receiver's state.
    fn reset(&mut self, epoch: Option<Epoch>) {
        self.epoch = epoch;
        self.stage = Stage::Unread;
        self.doubtful.clear();
        self.last_key = None;
        self.number = 0;
        self.request += 1;
        self.next = Instant::default();
    }

    fn note(&mut self, input: &Input) -> Vec<Action> {
        match input {
            Input::Plan(wanted) if self.wanted != Some(*wanted) => {
                self.wanted = Some(*wanted);
                self.next = Instant::default();
            }
            Input::Pool(pool) => self.pool = Some(pool.clone()),
            _ => {}
        }
        Vec::new()
    }

    fn advance(&mut self, now: Instant, held: &Held, actions: &mut Vec<Action>) {
        match self.stage {
            Stage::Unread if self.wanted.is_none() => {}
            Stage::Unread if now < self.next => actions.push(Action::Wake(self.next)),
            Stage::Unread if !self.may_read(now, held) => {
                actions.push(Action::Wake(now + self.refresh));
            }
            Stage::Unread => {
                self.stage = Stage::Listing;
                actions.push(Action::List { request: self.start_request() });
            }
            Stage::Listing | Stage::Recording(..) | Stage::Sending(_) | Stage::Stale => {}
        }
    }

    fn may_read(&self, now: Instant, held: &Held) -> bool {
        held.permit(now).is_some() && self.receiver.is_settled(held, now)
    }

    fn on_listed(
        &mut self,
        now: Instant,
        held: &mut Held,
        result: Result<Vec<Listed>, Error>,
        actions: &mut Vec<Action>,
    ) {
        self.pause(now);
        let Ok(listed) = result else { return };
        self.doubtful.retain(|order| !choose::shows(&listed, order));
        let order = self.choose(held.epoch(), &listed);
        if let Some(order) = order {
            self.record(now, held, order, actions);
        }
    }

    fn on_recorded(
        &mut self,
        now: Instant,
        held: &Held,
        result: &Result<u64, Error>,
        actions: &mut Vec<Action>,
    ) {
        let Stage::Recording(order, deadline) = std::mem::replace(&mut self.stage, Stage::Unread)
        else {
            return;
        };
        match result {
            Ok(_) => {
                let request = self.start_request();
                self.stage = Stage::Sending(order.clone());
                actions.push(Action::Send { request, order, deadline });
            }
            Err(Error::Conflict { key }) if *key == held.fence().key => self.stop(actions),
            // Nothing was sent: the next list decides anew.
            Err(_) => self.pause(now),
        }
    }

    fn on_sent(&mut self, now: Instant, result: &Result<(), Error>, actions: &mut Vec<Action>) {
        let Stage::Sending(order) = std::mem::replace(&mut self.stage, Stage::Unread) else {
            return;
        };
        match result {
            Ok(()) => {
                self.doubtful.retain(|doubtful| doubtful.operation != order.operation);
                self.next = now;
            }
            Err(Error::StaleEpoch(_)) => self.stop(actions),
            Err(Error::Unavailable) => {
                self.pause(now);
                actions.push(Action::Unavailable(order.class));
            }
            Err(Error::Unreachable | Error::Refused) => self.pause(now),
            Err(Error::Unknown | Error::Malformed | Error::Conflict { .. }) => {
                self.pause(now);
                self.doubt(order);
            }
        }
    }

    fn doubt(&mut self, order: Order) {
        if !self.doubtful.contains(&order) {
            self.doubtful.push(order);
        }
    }

    fn pause(&mut self, now: Instant) {
        self.stage = Stage::Unread;
        self.next = now + self.refresh;
    }

    fn stop(&mut self, actions: &mut Vec<Action>) {
        self.stage = Stage::Stale;
        actions.extend(self.epoch.map(Action::Stale));
    }

    fn start_request(&mut self) -> u64 {
        self.request += 1;
        self.request
    }
}
