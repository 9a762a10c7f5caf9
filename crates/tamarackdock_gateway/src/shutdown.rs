//! How far a planned stop has come, for the tasks that wait for it.

use std::{cell::Cell, time::Duration};

use monoio::time::sleep;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{grace::Grace, notify::Notify};

/// Time in which the first request of a new connection arrives: "Clients allow a new connection one
/// second to be established."
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    grace: Cell<Option<Grace>>,
    closing: Cell<bool>,
    ending: Cell<bool>,
    changed: Notify,
}

impl Shutdown {
    /// Returns the time that the stop has, or `None` before it begins.
    pub(crate) fn grace(&self) -> Option<Grace> {
        self.grace.get()
    }

    /// Begins the stop: health checks fail from now on, and connections close after their next
    /// response.
    pub(crate) fn begin(&self, grace: Grace) {
        self.grace.set(Some(grace));
        self.changed.notify_all();
    }

    /// Returns whether connections that wait for a request are closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Closes connections that wait for a request, now and later.
    pub(crate) fn close(&self) {
        self.closing.set(true);
        self.changed.notify_all();
    }

    /// Ends all requests whose answer has not begun, now and later.
    pub(crate) fn end(&self) {
        self.ending.set(true);
        self.changed.notify_all();
    }

    /// Waits until a connection that waits for a request is to be closed. One that has had none yet
    /// since it was `accepted` is given time for its first request, which the close would reset.
    pub(crate) async fn closes(&self, accepted: Option<Instant>) {
        self.wait_for(&self.closing).await;
        if let Some(accepted) = accepted {
            sleep((accepted + FIRST_REQUEST_TIME).since(BootClock.now())).await;
        }
    }

    /// Waits until requests whose answer has not begun are to be ended.
    pub(crate) async fn ends(&self) {
        self.wait_for(&self.ending).await;
    }

    async fn wait_for(&self, flag: &Cell<bool>) {
        loop {
            let seen = self.changed.count();
            if flag.get() {
                return;
            }
            self.changed.changed_since(seen).await;
        }
    }
}
