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
    candidacy::{Candidacy, Seen},
    handle::Entry,
    loads::Loads,
    message::Message,
    spend::Spend,
};
use crate::{
    context::Context,
    lease::{self, Event},
    telemetry::log,
};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const ROW_INTERVAL: Duration = Duration::from_secs(2);

/// The task of one data centre.
pub(super) struct Task {
    context: Context,
    centre: DataCentreName,
    lease: lease::Handle,
    candidacy: Candidacy,
    loads: Option<Loads>,
    spend: Option<Spend>,
    next_tick: Instant,
    next_row: Instant,
    messages: mpsc::UnboundedSender<Message>,
    log: Logger,
}

impl Task {
    /// Starts the task, and the candidacy if the node lies in the data centre.
    pub(super) fn spawn(context: &Context, centre: &DataCentreName) {
        let (lease, mut events) = lease::Handle::spawn(context, &format!("orders/{centre}"));
        let (messages, receiver) = mpsc::unbounded();
        let forward = messages.clone();
        monoio::spawn(async move {
            while let Some(event) = events.next().await {
                let _ = forward.unbounded_send(Message::Lease(event));
            }
        });
        let entry = Entry { lease: lease.clone(), state: json!({}) };
        context.centres.entries.borrow_mut().insert(centre.clone(), entry);
        let now = BootClock.now();
        let log = log::part(&context.log, "centre").new(o!("data_centre" => centre.to_string()));
        let task = Self {
            context: context.clone(),
            centre: centre.clone(),
            lease,
            candidacy: Candidacy::new(*centre == context.settings.data_centre, now),
            loads: None,
            spend: None,
            next_tick: now,
            next_row: now,
            messages,
            log,
        };
        if task.candidacy.is_home() {
            task.lease.want();
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
        match (message, &mut self.loads) {
            (Message::Ordered { service, input }, _) => {
                if let Some(spend) = &mut self.spend {
                    spend.step(&service, input);
                }
            }
            (Message::Lease(event), _) => self.on_lease(event),
            (Message::Row(seen), _) => self.on_row(seen),
            (Message::Reported { target, load, is_settled }, Some(loads)) => {
                loads.reported(&target, load, is_settled);
            }
            (Message::Latest { service, latest }, Some(loads)) => loads.latest(&service, latest),
            (Message::Settled { service, input }, Some(loads)) => loads.handle(&service, input),
            (_, None) => {}
        }
    }

    fn on_lease(&mut self, event: Event) {
        self.loads = None;
        self.spend = None;
        let held = &self.context.centres.metrics.held;
        match event {
            Event::Acquired(_) => held.inc(),
            Event::Lost => held.dec(),
        }
        if let Event::Acquired(epoch) = event {
            info!(self.log, "holds the lease"; "epoch" => %epoch);
            let (messages, log) = (self.messages.clone(), self.log.clone());
            let (lease, sender) = (self.lease.clone(), messages.clone());
            let spend = Spend::new(&self.context, &self.centre, lease, sender, log.clone());
            self.spend = Some(spend);
            let lease = (self.lease.clone(), epoch);
            self.loads = Some(Loads::new(&self.context, &self.centre, lease, messages, log));
        }
    }

    fn on_row(&mut self, seen: Seen) {
        match self.candidacy.observe(BootClock.now(), seen) {
            _ if self.context.leaving.is_raised() => {}
            true => self.lease.want(),
            false => self.lease.release(),
        }
    }

    fn tick(&mut self) {
        if let Some(loads) = &mut self.loads {
            loads.tick();
        }
        if let Some(spend) = &mut self.spend {
            spend.tick();
        }
        let now = BootClock.now();
        if now >= self.next_row && !self.candidacy.is_home() {
            self.next_row = now + ROW_INTERVAL;
            self.read_row();
        }
        if let Some(entry) = self.context.centres.entries.borrow_mut().get_mut(&self.centre) {
            entry.state = json!({
                "epoch": self.lease.permit(),
                "plan": self.spend.as_ref().map(Spend::dump),
            });
        }
    }

    fn read_row(&self) {
        let key = format!("lease/orders/{}", self.centre);
        let host = self.context.settings.host.clone();
        let (table, messages) = (self.context.platform.table.clone(), self.messages.clone());
        monoio::spawn(async move {
            let Ok(mut rows) = table.read(vec![key.clone()]).await else { return };
            let row = rows.remove(&key);
            let revision = row.as_ref().map_or(0, |row| row.revision);
            let lease = row.and_then(|row| Row::decode(&row.value).ok());
            let is_own = lease.is_some_and(|lease| lease.holder == host && !lease.released);
            let _ = messages.unbounded_send(Message::Row(Seen { revision, is_own }));
        });
    }
}
