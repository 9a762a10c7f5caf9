use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{Either, select},
    pin_mut,
};
use serde_json::json;
use slog::{Logger, info};
use tamarackdock_types::{
    clock::{BootClock, Clock, Instant},
    fence::Epoch,
};
use tamarackdock_usage::{Batch, Copies, Counter, Input, NodeRun, Reporter};

use super::{
    first_window::find_first_window,
    handle::random_u64,
    message::{Message, Owner},
    schedule::{CLOSE_DELAY, COPY_TIMEOUT, SETTINGS, SHARD, TICK_INTERVAL, window, window_before},
};
use crate::{
    context::Context,
    lease::{self, Event},
    telemetry::log,
};

/// Runs the state machines of usage: the counter, the copies, and the reporter while this node
/// holds the lease.
pub(super) struct Task {
    pub(super) context: Context,
    pub(super) lease: lease::Handle,
    pub(super) reporter: Option<(Epoch, Reporter)>,
    counter: Rc<RefCell<Counter>>,
    copies: Copies,
    /// Time of the last message of each run whose copies may have to be checked.
    last_received: BTreeMap<NodeRun, Instant>,
    /// Epoch of the lease while this node holds it.
    held_epoch: Option<Epoch>,
    /// Present while the node shuts down and not all counts are flushed.
    flush_reply: Option<oneshot::Sender<u64>>,
    /// Present from the request to release the lease until the release is complete.
    release_reply: Option<oneshot::Sender<()>>,
    /// Windows up to this one are closed before their end, since the node leaves.
    last_window: Option<u64>,
    log: Logger,
}

/// Starts the usage task and tries to acquire its lease.
pub(crate) fn spawn(context: &Context, messages: mpsc::UnboundedReceiver<Message>) {
    let (lease, mut events) = lease::Handle::spawn(context, &format!("usage/{}", SHARD.0));
    lease.acquire();
    let forward = context.usage.messages.clone();
    monoio::spawn(async move {
        while let Some(event) = events.next().await {
            let _ = forward.unbounded_send(Message::Lease(event));
        }
    });
    let task = Task {
        context: context.clone(),
        lease,
        reporter: None,
        counter: context.usage.counter.clone(),
        copies: Copies::new(SETTINGS, random_u64()),
        last_received: BTreeMap::new(),
        held_epoch: None,
        flush_reply: None,
        release_reply: None,
        last_window: None,
        log: log::part(&context.log, "usage"),
    };
    monoio::spawn(task.run(messages));
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        loop {
            let message = messages.next();
            let sleep = monoio::time::sleep(TICK_INTERVAL);
            pin_mut!(message, sleep);
            match select(message, sleep).await {
                Either::Left((Some(message), _)) => self.handle(message),
                Either::Left((None, _)) => return,
                Either::Right(_) => {}
            }
            self.tick();
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Response(owner, input) => self.step(owner, input),
            Message::KeepCopies { origin, batches } => self.keep_copies(origin, batches),
            Message::Lease(event) => self.on_lease(event),
            Message::FirstWindow { epoch, fence, first } if self.held_epoch == Some(epoch) => {
                info!(self.log, "reporting"; "epoch" => %epoch, "window" => first);
                let reporter = Reporter::new(SHARD, (epoch, fence), SETTINGS, first);
                self.reporter = Some((epoch, reporter));
            }
            Message::FirstWindow { .. } => {}
            Message::Flush { reply } => self.flush_reply = Some(reply),
            Message::Release { reply } => {
                self.lease.release();
                self.release_reply = Some(reply);
            }
            Message::Dump { reply } => {
                let _ = reply.send(self.dump());
            }
        }
    }

    fn keep_copies(&mut self, origin: NodeRun, batches: Vec<Batch>) {
        self.last_received.insert(origin.clone(), BootClock.now());
        self.copies.keep(origin, batches);
    }

    fn on_lease(&mut self, event: Event) {
        self.reporter = None;
        self.held_epoch = None;
        let Event::Acquired(epoch) = event else { return };
        if let Some(fence) = self.lease.fence() {
            self.held_epoch = Some(epoch);
            let platform = self.context.platform.clone();
            monoio::spawn(find_first_window(platform, self.context.usage.clone(), epoch, fence));
        }
    }

    /// Ticks all state machines, and continues a flush and a release of the lease.
    fn tick(&mut self) {
        self.counter.borrow_mut().set_window(window());
        self.check_timed_out_runs();
        self.continue_flush();
        self.step(Owner::Counter, Input::Tick);
        self.step(Owner::Copies, Input::Tick);
        if let Some((epoch, reporter)) = &mut self.reporter {
            reporter.set_closable(window_before(CLOSE_DELAY));
            reporter.set_closable(self.last_window.map_or(0, |last| last + 1));
            let owner = Owner::Reporter(*epoch);
            self.step(owner, Input::Tick);
        }
        if self.lease.is_idle()
            && let Some(reply) = self.release_reply.take()
        {
            let _ = reply.send(());
        }
    }

    /// Compares the copies of each run that no longer sends messages with the table, and
    /// flushes the counts that the table lacks. Most such runs have flushed their counts, in
    /// which case the check costs one read. While this node shuts down, it checks all runs.
    fn check_timed_out_runs(&mut self) {
        let now = BootClock.now();
        let is_leaving = self.flush_reply.is_some();
        let copies = &mut self.copies;
        self.last_received.retain(|origin, received_at| {
            let has_timed_out = is_leaving || now.since(*received_at) > COPY_TIMEOUT;
            if has_timed_out {
                copies.on_death(origin);
            }
            !has_timed_out
        });
    }

    /// Flushes counts without delay while the node shuts down, and replies when all counts are
    /// in the table.
    fn continue_flush(&mut self) {
        let Some(reply) = self.flush_reply.take() else { return };
        let mut counter = self.counter.borrow_mut();
        if counter.is_flushed() && self.copies.is_idle() {
            self.last_window = Some(counter.open_window());
            let _ = reply.send(counter.open_window());
        } else {
            counter.flush_now(BootClock.now());
            self.flush_reply = Some(reply);
        }
    }

    /// Passes an input to a state machine and performs the resulting actions.
    fn step(&mut self, owner: Owner, input: Input) {
        let now = BootClock.now();
        let actions = match owner {
            Owner::Counter => self.counter.borrow_mut().step(now, input),
            Owner::Copies => self.copies.step(now, window(), input),
            Owner::Reporter(epoch) if !self.is_reporter(epoch) => return,
            Owner::Reporter(_) => {
                self.reporter.as_mut().map(|(_, r)| r.step(now, input)).unwrap_or_default()
            }
        };
        for action in actions {
            self.perform(owner, action);
        }
        let unflushed = self.counter.borrow().unflushed();
        self.context.usage.metrics.unflushed.set(i64::try_from(unflushed).unwrap_or(i64::MAX));
    }

    fn dump(&self) -> serde_json::Value {
        let counter = self.counter.borrow();
        let copies = self.copies.kept().map(|(origin, batches)| {
            let counts = batches.iter().flat_map(|batch| batch.counts.iter());
            let tokens: u64 = counts.map(|(_, _, totals)| totals.tokens).sum();
            json!({"origin": origin.to_string(), "batches": batches.len(), "tokens": tokens})
        });
        let reporter = self.reporter.as_ref();
        json!({
            "window": window(),
            "unflushed_batches": counter.unflushed(),
            "is_flushed": counter.is_flushed(),
            "copies": copies.collect::<Vec<_>>(),
            "reporter": reporter.map(|(epoch, r)| json!({"epoch": epoch, "window": r.window()})),
        })
    }
}
