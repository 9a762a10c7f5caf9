//! Whether a node that is about to stop still takes a request.
//!
//! The load that this answers: during a planned stop, callers go on to send requests until the
//! process is gone, over connections that are open and over new ones that a balancer sends to a
//! node that says that it is not ready. A request that can't be served to its end is refused while
//! it has certainly not run, so that its caller goes elsewhere with all of its time.
//! See "Planned stops" in `docs/platform-system.md`.

use std::time::Duration;

use tamarackdock_types::clock::Instant;

use crate::stop::waiting_time;

/// Time for which a stream that another node can continue may begin. "Not counted: … the engine
/// was still at work in the last sixth of `graceS` on a request that was sent no later than 3 s
/// after the SIGTERM" (LOST).
const STREAM_TIME: Duration = Duration::from_secs(3);
/// Time for writing the last answers. It is taken from the "last sixth of `graceS`" (LOST).
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// "An engine … at work in the last sixth of `graceS`" may be cut (LOST), and not before.
const SIXTHS: u32 = 6;
/// Time that calls about batch jobs take: a read "may be kept waiting" for a second, and the store
/// answers far sooner than in what is left.
const BATCH_TIME: Duration = Duration::from_millis(1_500);

/// The time from a SIGTERM to the kill of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Grace {
    began: Instant,
    kill_after: Duration,
}

/// What is known of the time that a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Work {
    /// When its caller or its route gives it up, if that is known.
    pub(crate) gives_up_at: Option<Instant>,
    pub(crate) repeat: Repeat,
}

/// What the caller can do when the request gets no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// It may run at most once, so that it is lost.
    Never,
    /// It may be sent again. Nearly all such requests end within the `usual` time.
    Whole { usual: Duration },
    /// Another node continues it after the last event.
    Continued,
}

impl Work {
    /// A call about a batch job, also its submission: "The batch job is accepted only once, and the
    /// repeated submission is answered with 202 again."
    pub(crate) const BATCH: Self =
        Self { gives_up_at: None, repeat: Repeat::Whole { usual: BATCH_TIME } };
}

impl Grace {
    /// Creates the grace of a process that gets a SIGTERM at `began`.
    pub(crate) fn new(began: Instant, kill_after: Duration) -> Self {
        Self { began, kill_after }
    }

    /// Returns when a stop no longer waits for answers that are being written.
    pub(crate) fn waits_until(&self) -> Instant {
        self.began + waiting_time(self.kill_after)
    }

    /// Returns when requests whose answer has not begun are answered by the node itself.
    pub(crate) fn answers_at(&self) -> Instant {
        let last_sixth = self.kill_after / SIXTHS * (SIXTHS - 1);
        let waiting = waiting_time(self.kill_after);
        self.began + waiting.saturating_sub(ANSWER_TIME).max(last_sixth).min(waiting)
    }

    /// Returns whether a request that has arrived is served: if it certainly ends in time, or if
    /// it probably does and its caller loses nothing otherwise.
    pub(crate) fn admits(&self, work: &Work, now: Instant) -> bool {
        let end = self.answers_at();
        match (work.gives_up_at, work.repeat) {
            (Some(gives_up_at), _) if gives_up_at <= end => true,
            (_, Repeat::Never) => false,
            (_, Repeat::Whole { usual }) => now + usual <= end,
            (_, Repeat::Continued) => now.since(self.began) <= STREAM_TIME && now < end,
        }
    }
}
