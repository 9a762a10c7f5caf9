use std::{cell::RefCell, rc::Rc, time::Duration};

use futures_channel::mpsc;
use futures_util::{
    StreamExt,
    future::{Either, select},
    pin_mut,
};
use tamarackdock_lease::{Action, Input, Lease};
use tamarackdock_platform::table::Table;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::Event;

/// Longest sleep, so that a wrong wake-up time can't stall the lease.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Runs the state machine of one lease, and performs its actions.
pub(super) struct Task {
    lease: Rc<RefCell<Lease>>,
    table: Rc<dyn Table>,
    inputs: mpsc::UnboundedSender<Input>,
    events: mpsc::UnboundedSender<Event>,
    wake_at: Instant,
}

impl Task {
    pub(super) fn new(
        lease: Rc<RefCell<Lease>>,
        table: Rc<dyn Table>,
        inputs: mpsc::UnboundedSender<Input>,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        Self { lease, table, inputs, events, wake_at: Instant::default() }
    }

    pub(super) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Input>) {
        loop {
            let now = BootClock.now();
            let span = self.wake_at.since(now).clamp(Duration::from_millis(1), MAX_SLEEP);
            let input = receiver.next();
            let sleep = monoio::time::sleep(span);
            pin_mut!(input, sleep);
            let input = match select(input, sleep).await {
                Either::Left((Some(input), _)) => input,
                Either::Left((None, _)) => return,
                Either::Right(_) => Input::Tick,
            };
            let now = BootClock.now();
            self.wake_at = now + MAX_SLEEP;
            let actions = self.lease.borrow_mut().step(now, input);
            for action in actions {
                self.perform(action);
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Read { request, keys } => {
                let (table, inputs) = (self.table.clone(), self.inputs.clone());
                monoio::spawn(async move {
                    let result = table.read(keys).await;
                    let _ = inputs.unbounded_send(Input::Read { request, result });
                });
            }
            Action::Commit { request, commit } => {
                let (table, inputs) = (self.table.clone(), self.inputs.clone());
                monoio::spawn(async move {
                    let result = table.commit(commit).await;
                    let _ = inputs.unbounded_send(Input::Committed { request, result });
                });
            }
            Action::Wake(at) => self.wake_at = at,
            Action::Acquired(epoch) => {
                let _ = self.events.unbounded_send(Event::Acquired(epoch));
            }
            Action::Lost(_) => {
                let _ = self.events.unbounded_send(Event::Lost);
            }
        }
    }
}
