use std::time::Duration;

use futures_channel::mpsc;
use futures_util::{
    StreamExt,
    future::{Either, select},
    pin_mut,
};
use serde_json::json;
use slog::{Logger, info, o};
use tamarackdock_lease::Row;
use tamarackdock_types::{
    DataCentreName,
    clock::{BootClock, Clock, Instant},
};

use super::{
    candidacy::{Candidacy, ObservedRow},
    handle::Entry,
    message::Message,
    target_orders::TargetOrders,
    weight_loads::WeightLoads,
};
use crate::{
    context::Context,
    lease::{self, Event},
    telemetry::log,
};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const ROW_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The task of one data centre. While the node holds the lease, it runs the
/// weight loads and target orders.
pub(super) struct Task {
    context: Context,
    data_centre: DataCentreName,
    lease: lease::Handle,
    candidacy: Candidacy,
    weight_loads: Option<WeightLoads>,
    target_orders: Option<TargetOrders>,
    next_tick: Instant,
    next_row_poll: Instant,
    messages: mpsc::UnboundedSender<Message>,
    log: Logger,
}

impl Task {
    /// Starts the task, and requests the lease if the node lies in the data centre.
    pub(super) fn spawn(context: &Context, data_centre: &DataCentreName) {
        let (lease, mut events) = lease::Handle::spawn(context, &format!("orders/{data_centre}"));
        let (messages, receiver) = mpsc::unbounded();
        let forward = messages.clone();
        monoio::spawn(async move {
            while let Some(event) = events.next().await {
                let _ = forward.unbounded_send(Message::Lease(event));
            }
        });
        let entry = Entry { lease: lease.clone(), state: json!({}) };
        context.data_centres.entries.borrow_mut().insert(data_centre.clone(), entry);
        let now = BootClock.now();
        let log =
            log::part(&context.log, "centre").new(o!("data_centre" => data_centre.to_string()));
        let task = Self {
            context: context.clone(),
            data_centre: data_centre.clone(),
            lease,
            candidacy: Candidacy::new(*data_centre == context.settings.data_centre, now),
            weight_loads: None,
            target_orders: None,
            next_tick: now,
            next_row_poll: now,
            messages,
            log,
        };
        if task.candidacy.is_local() {
            task.lease.acquire();
        }
        monoio::spawn(task.run(receiver));
    }

    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        loop {
            let message = receiver.next();
            let sleep = monoio::time::sleep(TICK_INTERVAL);
            pin_mut!(message, sleep);
            match select(message, sleep).await {
                Either::Left((Some(message), _)) => self.handle(message),
                Either::Left((None, _)) => return,
                Either::Right(_) => {}
            }
            if BootClock.now() >= self.next_tick {
                self.next_tick = BootClock.now() + TICK_INTERVAL;
                self.tick();
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match (message, &mut self.weight_loads) {
            (Message::OrderInput { service, input }, _) => {
                if let Some(orders) = &mut self.target_orders {
                    orders.handle(&service, input);
                }
            }
            (Message::Lease(event), _) => self.on_lease(event),
            (Message::LeaseRow(row), _) => self.on_lease_row(row),
            (Message::Reported { target, load, excludes_old_orders }, Some(loads)) => {
                loads.on_report(&target, load, excludes_old_orders);
            }
            (Message::Latest { service, latest }, Some(loads)) => loads.on_latest(&service, latest),
            (Message::LoadEnded { service, input }, Some(loads)) => loads.handle(&service, input),
            (_, None) => {}
        }
    }

    fn on_lease(&mut self, event: Event) {
        self.weight_loads = None;
        self.target_orders = None;
        let held = &self.context.data_centres.metrics.held_leases;
        match event {
            Event::Acquired(_) => held.inc(),
            Event::Lost => held.dec(),
        }
        if let Event::Acquired(epoch) = event {
            info!(self.log, "lease acquired"; "epoch" => %epoch);
            let (messages, log) = (self.messages.clone(), self.log.clone());
            let (lease, sender) = (self.lease.clone(), messages.clone());
            let target_orders =
                TargetOrders::new(&self.context, &self.data_centre, lease, sender, log.clone());
            self.target_orders = Some(target_orders);
            let lease = (self.lease.clone(), epoch);
            self.weight_loads =
                Some(WeightLoads::new(&self.context, &self.data_centre, lease, messages, log));
        }
    }

    fn on_lease_row(&mut self, row: ObservedRow) {
        match self.candidacy.observe(BootClock.now(), row) {
            _ if self.context.leaving.is_set() => {}
            true => self.lease.acquire(),
            false => self.lease.release(),
        }
    }

    fn tick(&mut self) {
        if let Some(loads) = &mut self.weight_loads {
            loads.tick();
        }
        if let Some(orders) = &mut self.target_orders {
            orders.tick();
        }
        let now = BootClock.now();
        if now >= self.next_row_poll && !self.candidacy.is_local() {
            self.next_row_poll = now + ROW_POLL_INTERVAL;
            self.read_lease_row();
        }
        if let Some(entry) =
            self.context.data_centres.entries.borrow_mut().get_mut(&self.data_centre)
        {
            entry.state = json!({
                "epoch": self.lease.permit(),
                "plan": self.target_orders.as_ref().map(TargetOrders::dump),
            });
        }
    }

    fn read_lease_row(&self) {
        let key = format!("lease/orders/{}", self.data_centre);
        let host = self.context.settings.host.clone();
        let (table, messages) = (self.context.platform.table.clone(), self.messages.clone());
        monoio::spawn(async move {
            let Ok(mut rows) = table.read(vec![key.clone()]).await else { return };
            let row = rows.remove(&key);
            let revision = row.as_ref().map_or(0, |row| row.revision);
            let lease = row.and_then(|row| Row::decode(&row.value).ok());
            let is_own = lease.is_some_and(|lease| lease.holder == host && !lease.released);
            let _ = messages.unbounded_send(Message::LeaseRow(ObservedRow { revision, is_own }));
        });
    }
}
