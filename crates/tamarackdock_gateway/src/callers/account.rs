use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use prometheus::IntCounterVec;
use slog::Logger;
use tamarackdock_types::clock::{BootClock, Clock};

use super::{
    Ledger, Limits, Phase,
    ledger::{Closing, Exhausted, Id, Reason},
};
use crate::http::Budget;

/// Most log lines about closed connections between two calls of [`Callers::report`]. Clients could
/// fill the log with them.
const MAX_LOGGED: usize = 10;

/// The connections of the callers' listener.
pub(crate) struct Callers {
    ledger: RefCell<Ledger>,
    signals: RefCell<BTreeMap<Id, Rc<Signal>>>,
    /// Tasks that wait for closed connections.
    waiting: RefCell<Vec<Waker>>,
    /// Longest time in which a client accepts no byte of a response.
    unread: Duration,
    log: Logger,
    closed: IntCounterVec,
    /// Connections that were closed by decisions since the last report.
    recent: Cell<usize>,
}

/// Tells the task of a connection that it is to be closed.
#[derive(Debug, Default)]
struct Signal {
    closing: Cell<Option<Closing>>,
    waker: RefCell<Option<Waker>>,
}

/// The memory of one connection, which is released when it is dropped.
pub(crate) struct Account {
    callers: Rc<Callers>,
    id: Id,
    signal: Rc<Signal>,
    is_sending: Cell<bool>,
}

impl Callers {
    pub(crate) fn new(
        limits: Limits,
        requests: Budget,
        unread: Duration,
        log: Logger,
        closed: IntCounterVec,
    ) -> Self {
        Self {
            ledger: RefCell::new(Ledger::new(limits, requests)),
            signals: RefCell::default(),
            waiting: RefCell::default(),
            unread,
            log,
            closed,
            recent: Cell::new(0),
        }
    }

    /// Admits a connection, for which another one may be closed. Returns `None` if it can't be
    /// admitted.
    pub(crate) fn open(self: &Rc<Self>) -> Option<Account> {
        let opened = self.ledger.borrow_mut().open(BootClock.now());
        let Some((id, closing)) = opened else {
            self.record(Reason::NotAccepted, None);
            return None;
        };
        self.close_all(closing.as_slice());
        let signal = Rc::new(Signal::default());
        self.signals.borrow_mut().insert(id, signal.clone());
        Some(Account { callers: self.clone(), id, signal, is_sending: Cell::new(false) })
    }

    /// Returns the number of connections, and the bytes of requests and of responses.
    pub(crate) fn usage(&self) -> (usize, usize, usize) {
        let ledger = self.ledger.borrow();
        let (requests, responses) = ledger.bytes();
        (ledger.connections(), requests, responses)
    }

    /// Waits until the tasks of closed connections have released their memory. Many tasks that are
    /// ready at the same time would otherwise each receive a message before any of these runs.
    pub(crate) async fn released(&self) {
        self.wait_while(Ledger::is_releasing).await;
    }

    /// Waits until the tasks of closed connections have released their descriptors.
    pub(crate) async fn closed(&self) {
        self.wait_while(Ledger::is_closing_many).await;
    }

    async fn wait_while(&self, waits: impl Fn(&Ledger) -> bool) {
        poll_fn(|context| {
            if !waits(&self.ledger.borrow()) {
                return Poll::Ready(());
            }
            self.waiting.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Wakes the tasks that wait for closed connections.
    fn wake(&self) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        waiting.into_iter().for_each(Waker::wake);
    }

    /// Logs how many connections were closed by decisions since the last report, if these are more
    /// than have log lines of their own.
    pub(crate) fn report(&self) {
        let recent = self.recent.take();
        if recent > MAX_LOGGED {
            let (connections, requests, responses) = self.usage();
            slog::warn!(self.log, "callers: many connections closed by limits"; "count" => recent,
                "connections" => connections, "request_bytes" => requests,
                "response_bytes" => responses);
        }
    }

    fn close_all(&self, closed: &[Closing]) {
        for closing in closed {
            self.close(closing);
        }
    }

    fn close(&self, closing: &Closing) {
        self.record(closing.reason, Some(closing));
        if let Some(signal) = self.signals.borrow().get(&closing.id) {
            signal.closing.set(Some(*closing));
            if let Some(waker) = signal.waker.take() {
                waker.wake();
            }
        }
    }

    fn record(&self, reason: Reason, closing: Option<&Closing>) {
        self.closed.with_label_values(&[&reason.to_string()]).inc();
        self.recent.set(self.recent.get() + 1);
        if self.recent.get() <= MAX_LOGGED {
            let (connections, requests, responses) = self.usage();
            slog::info!(self.log, "callers: connection closed by limits"; "reason" => %reason,
                "connection" => closing.map(|closing| closing.id),
                "phase" => closing.map(|closing| format!("{:?}", closing.phase)),
                "waited_ms" => closing.map(|closing| closing.waited.as_millis()),
                "connections" => connections, "request_bytes" => requests,
                "response_bytes" => responses);
        }
    }
}

impl Account {
    /// Records the bytes that the connection holds of a request. See [`Ledger::receive`].
    pub(crate) fn receive(&self, phase: Phase, bytes: usize) -> Result<(), Exhausted> {
        let mut closed = Vec::new();
        let now = BootClock.now();
        let result =
            self.callers.ledger.borrow_mut().receive(self.id, phase, bytes, now, &mut closed);
        self.callers.close_all(&closed);
        result
    }

    /// Returns whether more bytes may be received behind a request that is handled.
    pub(crate) fn may_read_ahead(&self, bytes: usize) -> bool {
        self.callers.ledger.borrow().may_read_ahead(bytes)
    }

    /// Records further bytes that were received behind a request that is handled.
    pub(crate) fn add(&self, bytes: usize) {
        self.callers.ledger.borrow_mut().add(self.id, bytes);
    }

    /// Records that the client has not accepted all of a response. See [`Ledger::send`].
    pub(crate) fn send(&self, bytes: usize) {
        self.is_sending.set(true);
        let mut closed = Vec::new();
        self.callers.ledger.borrow_mut().send(self.id, bytes, BootClock.now(), &mut closed);
        self.callers.close_all(&closed);
    }

    /// Records that the client has accepted all that was sent.
    pub(crate) fn sent(&self) {
        if self.is_sending.take() {
            self.callers.ledger.borrow_mut().sent(self.id);
        }
    }

    /// Records that no request is in progress, and the bytes of later ones.
    pub(crate) fn idle(&self, bytes: usize) {
        self.callers.ledger.borrow_mut().idle(self.id, bytes, BootClock.now());
    }

    /// Returns the longest time in which a client accepts no byte of a response.
    pub(crate) fn unread_time(&self) -> Duration {
        self.callers.unread
    }

    /// Records that the client has accepted no byte for [`Self::unread_time`].
    pub(crate) fn expire(&self) {
        let closing = self.callers.ledger.borrow_mut().expire(self.id, BootClock.now());
        self.callers.close_all(closing.as_slice());
    }

    /// Records that the connection, which is to be closed, has released its memory.
    pub(crate) fn release(&self) {
        self.callers.ledger.borrow_mut().release(self.id);
        self.callers.wake();
    }

    /// Returns whether the connection is to be closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.signal.closing.get().is_some()
    }

    /// Waits until the connection is to be closed, and returns what it did when that was decided.
    pub(crate) async fn closed(&self) -> Phase {
        poll_fn(|context| {
            if let Some(closing) = self.signal.closing.get() {
                return Poll::Ready(closing.phase);
            }
            let mut waker = self.signal.waker.borrow_mut();
            match &mut *waker {
                Some(waker) => waker.clone_from(context.waker()),
                None => *waker = Some(context.waker().clone()),
            }
            Poll::Pending
        })
        .await
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.callers.signals.borrow_mut().remove(&self.id);
        self.callers.ledger.borrow_mut().close(self.id);
        self.callers.wake();
    }
}
