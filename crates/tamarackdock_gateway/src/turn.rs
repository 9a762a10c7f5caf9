//! Lets other tasks run beside one that has much to do.
//!
//! A task that finds its input ready goes on without a wait, and nothing else runs on the thread: no
//! other caller is answered, and no timer ends the task. See `docs/incidents/small-chunks.md`.

use std::time::Duration;

use monoio::time::sleep;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

/// Time after which a task that has not waited lets others run.
const LONGEST: Duration = Duration::from_millis(3);
/// Pause in which others run: the shortest one of a timer. The runtime runs a task that wakes itself
/// before all others, and fires no timers while a task is ready.
const PAUSE: Duration = Duration::from_millis(1);

/// The time since a task last waited.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    began: Option<Instant>,
}

impl Turn {
    /// Records that the task has waited, so that others have run.
    pub(crate) fn end(&mut self) {
        self.began = None;
    }

    /// Returns whether the task should let others run now.
    fn is_over(&mut self, now: Instant) -> bool {
        let began = *self.began.get_or_insert(now);
        now.since(began) >= LONGEST
    }

    /// Lets others run if the task has not waited for long. To be called between steps that are
    /// short.
    pub(crate) async fn pause_if_over(&mut self) {
        if self.is_over(BootClock.now()) {
            // Boxed, since most tasks never pause, and each of them would hold a timer.
            Box::pin(sleep(PAUSE)).await;
            self.end();
        }
    }
}
