use std::time::Duration;

use tamarackdock_types::clock::Instant;

use super::first_event::LONGEST_TIMEOUT;

/// Time after a refusal for which a target may be loading weights. Loads take 0.9 s to 2 s.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Lateness of a check that shows that this process was paused, so that responses may have arrived
/// unread.
const LATE: Duration = Duration::from_millis(150);

/// For how long a run waits for its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// The timeout learned for the service.
    Learned(Duration),
    /// [`LONGEST_TIMEOUT`], since the target has a known reason to respond late.
    Longest,
}

impl Patience {
    fn timeout(self) -> Duration {
        match self {
            Self::Learned(timeout) => timeout,
            Self::Longest => LONGEST_TIMEOUT,
        }
    }
}

/// The last signs of one target, on any of this host's connections to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contact {
    /// Last event of any run.
    heard: Option<Instant>,
    /// Last refusal, unless a run was accepted since.
    refused: Option<Instant>,
    /// When a run last ended by silence, unless an event came since.
    silent: Option<Instant>,
}

impl Contact {
    /// Records an event of any run.
    pub fn record_event(&mut self, now: Instant) {
        self.heard = Some(now);
        self.silent = None;
        self.refused = None;
    }

    /// Records that the target refused a request.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refused = Some(now);
    }

    /// Records that a run ended because the target was silent. Returns whether it was the first
    /// one since the last event.
    pub fn record_silence(&mut self, now: Instant) -> bool {
        self.silent.replace(now).is_none()
    }

    /// Returns whether the target refused a request so recently that it may load weights.
    #[must_use]
    pub fn may_be_loading(&self, now: Instant) -> bool {
        self.refused.is_some_and(|at| now.since(at) < LOAD_TIME)
    }

    /// Returns the time since the last event of any run.
    #[must_use]
    pub fn quiet_for(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|at| now.since(at))
    }
}

/// What a run that waits for its first event does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It waits, and is checked again at this time at the latest.
    Wait(Instant),
    /// It ends, and so do the others that wait on the target.
    Silent,
    /// It ends alone: the target goes on with other runs.
    Overdue,
}

/// A run that waits for its first event.
///
/// A target is silent only if no event came from it on any connection for the timeout, as one that
/// has only become slow still brings events of other runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    sent: Instant,
    /// When the run was sent, or its response began.
    since: Instant,
    /// Time of the next check, which is late if the process was paused.
    next_check: Option<Instant>,
    /// Whether the wait has begun again after a pause of the process.
    was_excused: bool,
}

impl Wait {
    /// Creates the wait of a run that is sent now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { sent: now, since: now, next_check: None, was_excused: false }
    }

    /// Records that the response has begun, without an event.
    pub fn record_head(&mut self, now: Instant) {
        self.since = now;
        self.next_check = None;
    }

    /// Returns the time since the run was sent.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.since(self.sent)
    }

    /// Returns what the run does now.
    pub fn check(&mut self, patience: Patience, contact: &Contact, now: Instant) -> Verdict {
        let late = self.next_check.is_some_and(|at| now.since(at) > LATE);
        if late && !self.was_excused {
            self.was_excused = true;
            self.since = now;
        }
        if contact.silent.is_some_and(|at| at >= self.sent) {
            return Verdict::Silent;
        }
        let timeout = patience.timeout();
        let quiet_from = contact.heard.map_or(self.since, |heard| heard.max(self.since));
        let end = self.since + LONGEST_TIMEOUT;
        let due = (quiet_from + timeout).min(end);
        if now < due {
            self.next_check = Some(due);
            return Verdict::Wait(due);
        }
        if quiet_from + timeout <= now { Verdict::Silent } else { Verdict::Overdue }
    }
}
