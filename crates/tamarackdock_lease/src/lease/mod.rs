mod restart;
mod results;
mod write;

use std::net::SocketAddr;

use tamarackdock_types::{HostName, clock::Instant};

use crate::{
    Action, HeldLease, Input, OperationIds, Timing,
    observed_row::ObservedRow,
    pending::{Change, Pending},
};

/// The state machine of one lease in one process.
#[derive(Debug)]
pub struct Lease {
    name: String,
    holder: HostName,
    /// Address that this process has bound exclusively.
    address: Option<SocketAddr>,
    timing: Timing,
    operation_ids: OperationIds,
    wanted: bool,
    held: Option<HeldLease>,
    observed: Option<ObservedRow>,
    /// Whether the last read failed. The row may have been renewed in the meantime.
    last_read_failed: bool,
    pending: Option<Pending>,
    last_request: u64,
    in_flight: bool,
    /// Time of the next request.
    next: Instant,
}

impl Lease {
    /// Creates a candidate for the lease `name`. It does nothing before [`Input::Acquire`].
    ///
    /// `address` is an address that this process has bound exclusively: no other process of the
    /// host can run on it, not even while the first one is paused. It is recorded with each
    /// acquisition, so that a restarted process recognizes the lease of its previous run, which
    /// has terminated, and takes it without waiting for it to expire. Orders of the previous epoch
    /// are still waited for.
    ///
    /// Without an address, or if the recorded one differs, as that of a replaced host that has the
    /// old name, a restarted process waits like any other candidate even if the row names its host,
    /// since its previous run may be paused rather than dead.
    #[must_use]
    pub fn new(
        name: &str,
        holder: HostName,
        address: Option<SocketAddr>,
        timing: Timing,
        operation_ids: OperationIds,
    ) -> Self {
        Self {
            name: name.into(),
            holder,
            address,
            timing,
            operation_ids,
            wanted: false,
            held: None,
            observed: None,
            last_read_failed: false,
            pending: None,
            last_request: 0,
            in_flight: false,
            next: Instant::default(),
        }
    }

    /// Returns the lease if this process may act as its holder.
    #[must_use]
    pub fn held(&self) -> Option<&HeldLease> {
        self.held.as_ref().filter(|_| self.may_act())
    }

    /// Returns the held lease mutably, to record an order with [`HeldLease::record`].
    pub fn held_mut(&mut self) -> Option<&mut HeldLease> {
        let may_act = self.may_act();
        self.held.as_mut().filter(|_| may_act)
    }

    /// Returns whether the lease is neither wanted nor held and no write is pending, so that
    /// the process can stop.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.wanted && self.held.is_none() && self.pending.is_none()
    }

    /// Handles an input. `now` must be read before the actions are carried out.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Tick => {}
            Input::Acquire => self.set_wanted(now, true),
            Input::Release => self.set_wanted(now, false),
            Input::Read { request, .. } | Input::Committed { request, .. }
                if !self.in_flight || request != self.last_request => {}
            Input::Read { result, .. } => self.on_read(now, result, &mut actions),
            Input::Committed { result, .. } => self.on_committed(now, &result, &mut actions),
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Returns whether the lease may be used. A release that was sent can take effect at any
    /// time, even if the lease is wanted again.
    fn may_act(&self) -> bool {
        let releasing = |pending: &Pending| pending.change == Change::Release;
        self.wanted && !self.pending.as_ref().is_some_and(releasing)
    }

    fn set_wanted(&mut self, now: Instant, wanted: bool) {
        self.wanted = wanted;
        self.next = now;
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match () {
            () if self.in_flight || self.is_idle() => {}
            () if now < self.next => actions.push(Action::Wake(self.next)),
            () if self.pending.is_some() => self.send_pending(now, actions),
            () if self.held.is_some() && self.wanted => self.renew(now, actions),
            () if self.held.is_some() => self.release(now, actions),
            () => self.acquire(now, actions),
        }
    }

    fn read(&mut self, actions: &mut Vec<Action>) {
        let keys = self.keys();
        actions.push(Action::Read { request: self.start_request(), keys });
    }

    fn start_request(&mut self) -> u64 {
        self.last_request += 1;
        self.in_flight = true;
        self.last_request
    }

    fn lease_key(&self) -> String {
        format!("lease/{}", self.name)
    }

    fn holder_key(&self) -> String {
        format!("holder/{}", self.name)
    }

    fn fence_key(&self) -> String {
        format!("epoch/{}", self.name)
    }
}
