//! The paths of this node to the targets, and what it observes of them. The decisions are those of
//! [`tamarackdock_path`].

mod check;
mod link;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use futures_util::{
    future::{Either, pending, select},
    pin_mut,
};
use monoio::time::sleep;
use tamarackdock_path::{Doubt, Forwarders, Paths, Route, SILENCE};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

pub(crate) use self::{
    check::doubt,
    link::{Choice, Link, Permission, Request, connect, observe_refusal, send, send_directly},
};
use crate::{counter::Counter, deployment::Name, node::Node, notify::Notify};

/// What this node knows of its paths, and of the nodes that forward its requests.
#[derive(Debug, Default)]
pub(crate) struct PathState {
    paths: RefCell<Paths>,
    pub(crate) forwarders: RefCell<Forwarders>,
    /// Whether a task tries the paths at intervals.
    probing: Cell<bool>,
    /// Requests over this node's own paths that wait for the head of their response.
    waiting: Counter,
    /// Notified when the paths are lost or come back, and at the end of each check.
    changed: Notify,
}

impl PathState {
    /// Returns whether the paths to all targets are lost.
    pub(crate) fn are_lost(&self) -> bool {
        self.paths.borrow().are_lost()
    }

    /// Returns the route of a request to a target.
    fn route(&self, target: &Name) -> Route {
        self.paths.borrow_mut().route(target, BootClock.now())
    }

    /// Returns whether requests over this node's own paths wait, and nothing has come from any
    /// target since a time.
    pub(crate) fn are_silent_since(&self, since: Instant) -> bool {
        self.waiting.count() > 0 && !self.paths.borrow().has_contact_since(since)
    }

    /// Returns whether an open connection may carry a request that can't be sent again.
    fn are_proven(&self) -> bool {
        self.paths.borrow().are_proven(BootClock.now())
    }

    /// Records that a byte has come over this node's own paths.
    fn heard(&self) {
        self.paths.borrow_mut().heard(BootClock.now());
    }

    /// Records that a target has responded over this node's own path.
    pub(crate) fn responded(&self, target: &Name) {
        self.paths.borrow_mut().responded(target, BootClock.now());
    }

    fn opened(&self, target: &Name) {
        self.paths.borrow_mut().opened(target, BootClock.now());
    }

    /// Waits until the paths are lost.
    async fn lost(&self) {
        loop {
            let seen = self.changed.count();
            if self.are_lost() {
                return;
            }
            self.changed.changed_since(seen).await;
        }
    }
}

/// How a wait for a target has ended.
enum Wait<T> {
    Done(T),
    /// The time is up.
    TimedOut,
    /// The paths were lost while nothing came.
    Lost,
}

/// Waits for bytes of a target on a direct connection. If nothing comes for [`SILENCE`], the paths
/// are checked. If `gives_up`, the wait then ends when they are lost.
async fn wait<T>(
    node: &Rc<Node>,
    due: Instant,
    gives_up: bool,
    future: impl Future<Output = T>,
) -> Wait<T> {
    pin_mut!(future);
    let mut is_silent = false;
    loop {
        let pause = sleep(SILENCE.min(due.since(BootClock.now())));
        let ends_when_lost = is_silent && gives_up;
        let lost = async { if ends_when_lost { node.paths.lost().await } else { pending().await } };
        pin_mut!(pause, lost);
        match select(&mut future, select(pause, lost)).await {
            Either::Left((value, _)) => return Wait::Done(value),
            Either::Right((Either::Right(_), _)) => return Wait::Lost,
            Either::Right(_) if BootClock.now() >= due => return Wait::TimedOut,
            Either::Right(_) => {}
        }
        is_silent = true;
        doubt(node, Doubt::Silent);
    }
}
