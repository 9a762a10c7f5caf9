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
use tamarackdock_usage::{Batch, Copies, Counter, Input, Keys, Reporter};

use super::{
    elect::elect,
    handle::random,
    message::{Message, Owner},
    schedule::{CLOSE_DELAY, COPY_SILENCE, SETTINGS, SHARD, TICK_INTERVAL, window, window_before},
};
use crate::{
    context::Context,
    lease::{self, Event},
    telemetry::log,
};

/// Runs the counter, the copies and, under the lease, the reporter.
pub(super) struct Task {
    pub(super) context: Context,
    pub(super) lease: lease::Handle,
    pub(super) reporter: Option<(Epoch, Reporter)>,
    counter: Rc<RefCell<Counter>>,
    copies: Copies,
    /// Time of the last news of each run whose copies are kept.
    heard: BTreeMap<Keys, Instant>,
    elected: Option<Epoch>,
    flushing: Option<oneshot::Sender<u64>>,
    releasing: Option<oneshot::Sender<()>>,
    /// Windows up to this one are closed before their end, since the node leaves.
    last: Option<u64>,
    log: Logger,
}

/// Starts the usage task and the candidacy for its lease.
pub(crate) fn spawn(context: &Context, messages: mpsc::UnboundedReceiver<Message>) {
    let (lease, mut events) = lease::Handle::spawn(context, &format!("usage/{}", SHARD.0));
    lease.want();
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
        copies: Copies::new(SETTINGS, random()),
        heard: BTreeMap::new(),
        elected: None,
        flushing: None,
        releasing: None,
        last: None,
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
            Message::Answer(owner, input) => self.step(owner, input),
            Message::Keep { origin, batches } => self.keep(origin, batches),
            Message::Lease(event) => self.on_lease(event),
            Message::Elected { epoch, fence, first } if self.elected == Some(epoch) => {
                info!(self.log, "reporting"; "epoch" => %epoch, "window" => first);
                let reporter = Reporter::new(SHARD, (epoch, fence), SETTINGS, first);
                self.reporter = Some((epoch, reporter));
            }
            Message::Elected { .. } => {}
            Message::Flush { reply } => self.flushing = Some(reply),
            Message::Release { reply } => {
                self.lease.release();
                self.releasing = Some(reply);
            }
            Message::Dump { reply } => {
                let _ = reply.send(self.dump());
            }
        }
    }

    fn keep(&mut self, origin: Keys, batches: Vec<Batch>) {
        self.heard.insert(origin.clone(), BootClock.now());
        self.copies.keep(origin, batches);
    }

    fn on_lease(&mut self, event: Event) {
        self.reporter = None;
        self.elected = None;
        let Event::Acquired(epoch) = event else { return };
        if let Some(fence) = self.lease.fence() {
            self.elected = Some(epoch);
            let platform = self.context.platform.clone();
            monoio::spawn(elect(platform, self.context.usage.clone(), epoch, fence));
        }
    }

    /// Steps all state machines.
    fn tick(&mut self) {
        self.counter.borrow_mut().set_window(window());
        self.check_silent();
        self.flush();
        self.step(Owner::Counter, Input::Tick);
        self.step(Owner::Copies, Input::Tick);
        if let Some((epoch, reporter)) = &mut self.reporter {
            reporter.set_closable(window_before(CLOSE_DELAY));
            reporter.set_closable(self.last.map_or(0, |last| last + 1));
            let owner = Owner::Reporter(*epoch);
            self.step(owner, Input::Tick);
        }
        if self.lease.is_idle()
            && let Some(reply) = self.releasing.take()
        {
            let _ = reply.send(());
        }
    }

    /// Checks copies whose node sends no more. Most such nodes have flushed
    /// their counts, which the table tells at the cost of one read.
    fn check_silent(&mut self) {
        let now = BootClock.now();
        let is_leaving = self.flushing.is_some();
        let copies = &mut self.copies;
        self.heard.retain(|origin, heard| {
            let is_silent = is_leaving || now.since(*heard) > COPY_SILENCE;
            if is_silent {
                copies.on_death(origin);
            }
            !is_silent
        });
    }

    /// Hurries the counter while the node leaves.
    fn flush(&mut self) {
        let Some(reply) = self.flushing.take() else { return };
        let mut counter = self.counter.borrow_mut();
        if counter.is_flushed() && self.copies.is_idle() {
            self.last = Some(counter.open_window());
            let _ = reply.send(counter.open_window());
        } else {
            counter.hurry(BootClock.now());
            self.flushing = Some(reply);
        }
    }

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
            self.act(owner, action);
        }
        let unflushed = self.counter.borrow().unflushed();
        self.context.usage.metrics.unflushed.set(i64::try_from(unflushed).unwrap_or(i64::MAX));
    }

    fn dump(&self) -> serde_json::Value {
        let counter = self.counter.borrow();
        let copies = self.copies.kept().map(|(origin, batches)| {
            let counts = batches.iter().flat_map(|batch| batch.counts.iter());
            let tokens: u64 = counts.map(|(_, _, figures)| figures.tokens).sum();
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
