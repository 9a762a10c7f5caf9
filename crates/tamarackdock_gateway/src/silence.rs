//! Runs that wait for their first event, and the end of those on targets that became silent. The
//! decisions are those of [`tamarackdock_route::pace`]. Without `scheduling.adaptive`, runs wait
//! for [`LONGEST_TIMEOUT`].

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use futures_util::future::{Either, select};
use tamarackdock_route::pace::{
    Contact, FirstEvents, LONGEST_STALL, LONGEST_TIMEOUT, Patience, Verdict, Wait, stall_timeout,
};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    call::timeout_at, deployment::Name, node::Node, notify::Notify, pace, target::Registration,
};

/// Time that the connection's own timeouts leave to the decisions here.
const SLACK: Duration = Duration::from_millis(250);

/// What this node knows of the times to first events, and of the last signs of targets.
#[derive(Debug, Default)]
pub(crate) struct Silence {
    services: RefCell<BTreeMap<Name, FirstEvents>>,
    contacts: RefCell<BTreeMap<Name, Contact>>,
    /// Notified when a target became silent.
    changed: Notify,
}

impl Silence {
    /// Records a refusal of a target, which may mean that it loads weights.
    pub(crate) fn record_refusal(&self, target: &Name, now: Instant) {
        self.contacts.borrow_mut().entry(target.clone()).or_default().record_refusal(now);
    }

    /// Records an event of a run on a target.
    pub(crate) fn record_event(&self, target: &Name, now: Instant) {
        let mut contacts = self.contacts.borrow_mut();
        match contacts.get_mut(target) {
            Some(contact) => contact.record_event(now),
            None => contacts.entry(target.clone()).or_default().record_event(now),
        }
    }

    /// Removes the state of targets that are gone.
    pub(crate) fn sweep(&self, in_use: impl Fn(&str) -> bool) {
        self.contacts.borrow_mut().retain(|target, _| in_use(target));
    }

    fn contact(&self, target: &str) -> Contact {
        self.contacts.borrow().get(target).copied().unwrap_or_default()
    }

    fn timeout(&self, service: &str) -> Duration {
        self.services.borrow().get(service).map_or(LONGEST_TIMEOUT, FirstEvents::timeout)
    }

    /// Returns the usual time to the first event on a service, if it is known.
    pub(crate) fn usual(&self, service: &str) -> Option<Duration> {
        self.services.borrow().get(service).and_then(FirstEvents::usual)
    }

    pub(crate) fn observe(&self, service: &Name, time: Duration) {
        self.services.borrow_mut().entry(service.clone()).or_default().observe(time);
    }
}

/// Returns why a target may respond late, if this node knows a reason. A node that does not hold
/// the duties knows of loads from versions and refusals only.
fn late_reason(node: &Node, target: &Registration, now: Instant) -> Option<&'static str> {
    let own = node.target_loads.borrow().get(&target.id).running;
    let running = own.saturating_add(node.observations.others(target, now));
    match () {
        () if node.limits.borrow().is_limited(target) => Some("limited"),
        () if node.load_orders.borrow().is_loading(&target.id) => Some("loading"),
        () if is_load_due(target, &node.view.published.borrow()) => Some("load_due"),
        () if node.silence.contact(&target.id).may_be_loading(now) => Some("refused"),
        () if running > target.slots => Some("queue"),
        // The paths decide for themselves when another node does not respond.
        () if node.paths.are_lost() => Some("forwarded"),
        () => None,
    }
}

/// Returns whether a target is about to load weights: the next step can use none that it has. By
/// [`crate::duty::plan`], such targets load first.
pub(crate) fn is_load_due(target: &Registration, published: &BTreeMap<Name, u64>) -> bool {
    let lag = |(model, newest): (&Name, &u64)| {
        newest.saturating_sub(target.versions.get(model).copied().unwrap_or_default())
    };
    !target.versions.is_empty() && published.iter().map(lag).min().is_some_and(|least| least >= 2)
}

/// Returns the silence between two events after which a run ends. A target that has the newest
/// weights of the run's model is not ordered to load, and so does not pause its runs.
pub(crate) fn next_event_timeout(
    node: &Node,
    target: &Registration,
    model: Option<&Name>,
    now: Instant,
) -> Duration {
    if !node.settings().scheduling.adaptive {
        return LONGEST_STALL;
    }
    let is_behind = |model: &Name| {
        let newest = node.view.published.borrow().get(model).copied().unwrap_or(1);
        target.versions.get(model).copied().unwrap_or_default() < newest
    };
    let may_pause = model.is_some_and(is_behind) || late_reason(node, target, now).is_some();
    stall_timeout(node.target_loads.borrow().event_interval(&target.id), may_pause)
}

/// The target of a run was silent.
#[derive(Debug)]
pub(crate) struct Silent;

/// The wait of a run for its first event.
pub(crate) struct FirstEvent<'a> {
    node: &'a Rc<Node>,
    target: &'a Registration,
    sent: Instant,
    /// `None` if the settings do not enable learned timeouts.
    wait: Option<RefCell<Wait>>,
    /// Whether the time to the first event says something about the service.
    is_usual: Cell<bool>,
}

impl<'a> FirstEvent<'a> {
    /// Creates the wait of a run that is sent now.
    pub(crate) fn new(node: &'a Rc<Node>, target: &'a Registration, now: Instant) -> Self {
        let is_adaptive = node.settings().scheduling.adaptive;
        let wait = is_adaptive.then(|| RefCell::new(Wait::new(now)));
        Self { node, target, sent: now, wait, is_usual: Cell::new(true) }
    }

    /// Returns when the run was sent.
    pub(crate) fn sent(&self) -> Instant {
        self.sent
    }

    /// Returns the timeout that the connection keeps to.
    pub(crate) fn longest(&self) -> Duration {
        if self.wait.is_some() { LONGEST_TIMEOUT + SLACK } else { LONGEST_TIMEOUT }
    }

    /// Records that the response has begun.
    pub(crate) fn record_head(&self, now: Instant) {
        if let Some(wait) = &self.wait {
            wait.borrow_mut().record_head(now);
        }
    }

    /// Records the first event.
    pub(crate) fn record_event(&self, now: Instant) {
        let Some(wait) = &self.wait else { return };
        let wait = wait.borrow();
        pace::record_response(self.node, self.target, self.sent, now);
        if self.is_usual.get() {
            self.node.silence.observe(&self.target.service, wait.elapsed(now));
        }
    }

    /// Waits for a part of the response, until the target counts as silent. The future is dropped
    /// then, which closes the connection.
    pub(crate) async fn during<T>(&self, future: impl Future<Output = T>) -> Result<T, Silent> {
        let Some(wait) = &self.wait else { return Ok(future.await) };
        let silent = self.silent(wait);
        futures_util::pin_mut!(future, silent);
        match select(future, silent).await {
            Either::Left((value, _)) => Ok(value),
            Either::Right(_) => Err(Silent),
        }
    }

    /// Returns when the run is to end.
    async fn silent(&self, wait: &RefCell<Wait>) {
        let silence = &self.node.silence;
        loop {
            let now = BootClock.now();
            let seen = silence.changed.count();
            let reason = late_reason(self.node, self.target, now);
            self.is_usual.set(self.is_usual.get() && reason.is_none());
            let patience = match reason {
                Some(_) => Patience::Longest,
                None => Patience::Learned(silence.timeout(&self.target.service)),
            };
            let contact = silence.contact(&self.target.id);
            let verdict = wait.borrow_mut().check(patience, &contact, now);
            match verdict {
                Verdict::Wait(due) => {
                    timeout_at(due, silence.changed.changed_since(seen)).await;
                }
                Verdict::Silent | Verdict::Overdue => {
                    self.record_end(verdict, patience, reason, wait.borrow().elapsed(now), now);
                    return;
                }
            }
        }
    }

    /// Records, logs and counts that the run ends.
    fn record_end(
        &self,
        verdict: Verdict,
        patience: Patience,
        reason: Option<&str>,
        waited: Duration,
        now: Instant,
    ) {
        let silence = &self.node.silence;
        let target = &self.target.id;
        self.node.metrics.silent_runs.inc();
        let quiet_for = silence.contact(target).quiet_for(now);
        let is_first = verdict == Verdict::Silent
            && silence.contacts.borrow_mut().entry(target.clone()).or_default().record_silence(now);
        if is_first && self.is_usual.get() {
            silence.observe(&self.target.service, waited);
        }
        if is_first || verdict == Verdict::Overdue {
            slog::info!(self.node.log, "item: no first event"; "target" => &**target,
                "verdict" => ?verdict, "patience" => ?patience, "late_reason" => reason,
                "waited_ms" => waited.as_millis(),
                "quiet_ms" => quiet_for.map(|time| time.as_millis()));
        }
        if is_first {
            silence.changed.notify_all();
        }
    }
}
