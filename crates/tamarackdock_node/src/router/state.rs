use std::{collections::HashMap, rc::Rc, time::Duration};

use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{Either, select},
    pin_mut,
};
use monoio::time::sleep_until;
use slog::Logger;
use tamarackdock_admit::Call;
use tamarackdock_config::Settings;
use tamarackdock_route::{
    Key,
    policy::{Affinity, Policy, RoundRobin},
    quarantine::Quarantine,
    retry::Budget,
    table::Table,
};
use tamarackdock_types::{
    clock::{BootClock, Clock, Instant},
    refusal::Refusal,
};
use tamarackdock_wire::{client::Pool, flag::Flag};

use super::{
    Admitted, Handle, Message,
    crash::Suspects,
    credits::Granters,
    pending::PendingAttempt,
    queues::{QueueKey, Queues},
    subset::AssignedSubset,
    targets::TargetRecord,
};
use crate::{active::Active, membership::Peers, peer, targets, telemetry::log};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a request is refused after it crashed two targets.
pub(super) const QUARANTINE_SPAN: Duration = Duration::from_mins(1);
const RETRY_RATIO: f64 = 0.1;

/// What the router task needs from the rest of the node.
pub(crate) struct Dependencies {
    pub(crate) settings: Rc<Settings>,
    pub(crate) peers: Peers,
    pub(crate) targets: targets::TargetStates,
    pub(crate) peer_client: peer::Client,
    pub(crate) pool: Rc<Pool>,
    pub(crate) log: Logger,
}

/// Starts the router task.
pub(crate) fn spawn(dependencies: Dependencies) -> Handle {
    let (sender, receiver) = mpsc::unbounded();
    let policy: Box<dyn Policy> = match dependencies.settings.policy.routing {
        tamarackdock_config::settings::Routing::Affinity => Box::new(Affinity),
        tamarackdock_config::settings::Routing::RoundRobin => Box::new(RoundRobin::default()),
    };
    let router = Router {
        queues: Queues::new(dependencies.settings.policy.admission),
        granters: Granters::new(dependencies.settings.host.clone()),
        log: log::part(&dependencies.log, "router"),
        dependencies,
        active: Rc::default(),
        table: Table::default(),
        records: HashMap::new(),
        policy,
        budget: Budget::new(RETRY_RATIO),
        assigned: AssignedSubset::default(),
        quarantine: Quarantine::new(QUARANTINE_SPAN),
        suspects: Suspects::default(),
        calls: HashMap::new(),
        pending: Vec::new(),
        attempts: HashMap::new(),
        next_id: 0,
        sender: sender.clone(),
    };
    monoio::spawn(router.run(receiver));
    Handle::new(sender)
}

/// An attempt that runs on a target.
pub(super) struct RunningAttempt {
    pub(super) key: Key,
    pub(super) credit_expired: Flag,
    pub(super) started: Instant,
    /// Whether it uses a credit, since its target was cold at its start.
    pub(super) has_credit: bool,
}

/// A call that waits for admission, or was admitted and has not ended.
pub(super) struct TrackedCall {
    pub(super) key: QueueKey,
    pub(super) call: Call,
    /// `None` once the call was admitted.
    pub(super) reply: Option<oneshot::Sender<Result<Admitted, Refusal>>>,
}

/// The router's state, owned by its task.
pub(super) struct Router {
    pub(super) dependencies: Dependencies,
    pub(super) log: Logger,
    pub(super) active: Rc<Active>,
    pub(super) table: Table,
    pub(super) records: HashMap<Key, TargetRecord>,
    pub(super) policy: Box<dyn Policy>,
    pub(super) queues: Queues,
    pub(super) budget: Budget,
    pub(super) assigned: AssignedSubset,
    pub(super) quarantine: Quarantine,
    pub(super) suspects: Suspects,
    pub(super) granters: Granters,
    pub(super) calls: HashMap<u64, TrackedCall>,
    pub(super) pending: Vec<PendingAttempt>,
    pub(super) attempts: HashMap<u64, RunningAttempt>,
    pub(super) next_id: u64,
    pub(super) sender: mpsc::UnboundedSender<Message>,
}

impl Router {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut next_tick = monoio::time::Instant::now();
        loop {
            // Checked before each message, since a steady flow of messages would starve the timer.
            if monoio::time::Instant::now() >= next_tick {
                next_tick = monoio::time::Instant::now() + TICK_INTERVAL;
                self.tick(BootClock.now());
            }
            let message = receiver.next();
            let tick = sleep_until(next_tick);
            pin_mut!(message, tick);
            match select(message, tick).await {
                Either::Left((Some(message), _)) => self.handle(message, BootClock.now()),
                Either::Left((None, _)) => return,
                Either::Right(_) => {}
            }
        }
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn handle(&mut self, message: Message, now: Instant) {
        match message {
            Message::Configure(active) => self.configure(active, now),
            Message::Admit { request, reply } => self.admit(request, reply, now),
            Message::Finish { call } => self.finish_call(call, now),
            Message::Choose { query, reply } => self.choose(query, reply, now),
            Message::AttemptEnded(end) => self.finish_attempt(end, now),
            Message::Report { key, report, next } => {
                self.schedule_poll(key, next);
                self.handle_report(key, report, now);
            }
            Message::Probed { key, is_up, next } => {
                self.schedule_poll(key, next);
                self.handle_probe(key, is_up, now);
            }
            Message::CreditRequest { target, holder, request, reply } => {
                let _ = reply.send(self.grant(&target, &holder, request, now));
            }
            Message::CreditGrant { key, grant } => self.apply_grant(key, grant, now),
            Message::Crashed { target, requests } => {
                self.record_remote_crash(&target, &requests, now);
            }
            Message::Quarantine(entries) => {
                for entry in entries {
                    self.quarantine.merge(entry, now);
                }
            }
            Message::Capacity { service, reply } => {
                let _ = reply.send(self.capacity(&service));
            }
            Message::Dump { reply } => {
                let _ = reply.send(self.dump(now));
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.refresh_subset(now);
        self.poll_due(now);
        self.refresh_states();
        self.tick_credits(now);
        self.tick_admission(now);
        self.quarantine.expire(now);
        self.place_pending(now);
    }
}
