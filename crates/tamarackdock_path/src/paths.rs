use std::{collections::BTreeSet, rc::Rc, time::Duration};

use tamarackdock_types::clock::Instant;

/// Time without a byte from a target after which a request to it counts as silent. Events come
/// every few tens of milliseconds, and a call to a plain service takes about as long.
pub const SILENCE: Duration = Duration::from_millis(300);
/// Time between two attempts to open a connection while the paths are lost.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest time from a check that found the paths open to the next one.
const CHECK_PAUSE: Duration = Duration::from_millis(200);
/// Most times that this pause is doubled, while targets are silent although their paths are open,
/// as when they load weights.
const MAX_DOUBLINGS: u32 = 4;
/// Age of the last contact with a target up to which an open connection is good enough for a
/// request that can't be sent again.
const PROOF_AGE: Duration = Duration::from_secs(1);
/// Time after the return of the paths during which only one connection at a time is opened to a
/// target that was not reached since.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// How a request gets to its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Over the host's own path.
    Direct,
    /// Through another host.
    Forwarded,
}

/// An observation that can mean that the host's paths are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// A connection that was begun at this time has not opened.
    Unopened {
        /// When the connection was begun.
        began: Instant,
    },
    /// An open connection broke.
    Broken {
        /// When it broke.
        at: Instant,
    },
    /// No byte has come from a target for [`SILENCE`], although one is due.
    Silent,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Open,
    Lost,
    /// A connection has opened after a loss.
    Returning {
        since: Instant,
        /// Targets that were reached since.
        reached: BTreeSet<Rc<str>>,
        /// Targets to which a first request is on its way.
        tried: BTreeSet<Rc<str>>,
    },
}

/// A host's own paths to the targets, by what it observes of its connections to them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Paths {
    state: State,
    /// Beginning of the check in progress.
    checking: Option<Instant>,
    /// Beginning of the last check that found the paths open.
    open_from: Option<Instant>,
    /// End of that check.
    found_open: Option<Instant>,
    /// Checks in a row that found the paths open although targets were silent.
    in_vain: u32,
    last_opened: Option<Instant>,
    last_heard: Option<Instant>,
}

impl Default for Paths {
    fn default() -> Self {
        Self {
            state: State::Open,
            checking: None,
            open_from: None,
            found_open: None,
            in_vain: 0,
            last_opened: None,
            last_heard: None,
        }
    }
}

impl Paths {
    /// Returns whether the paths to all targets are lost.
    #[must_use]
    pub fn are_lost(&self) -> bool {
        self.state == State::Lost
    }

    /// Returns the route of a request to a target. After a loss, the first request to each
    /// target goes over the host's own path, and others are forwarded until it has opened a
    /// connection: all hosts that lost their paths get them back at the same time.
    pub fn route(&mut self, target: &Rc<str>, now: Instant) -> Route {
        match &mut self.state {
            State::Returning { since, .. } if now.since(*since) >= RETURN_TIME => {
                self.state = State::Open;
                Route::Direct
            }
            State::Open => Route::Direct,
            State::Returning { reached, tried, .. } => {
                let may_go = reached.contains(target) || tried.insert(target.clone());
                if may_go { Route::Direct } else { Route::Forwarded }
            }
            State::Lost => Route::Forwarded,
        }
    }

    /// Records that a connection to a target has opened. Returns whether that ends a loss of the
    /// paths.
    pub fn opened(&mut self, target: &Rc<str>, now: Instant) -> bool {
        self.last_opened = Some(now);
        match &mut self.state {
            State::Open => false,
            State::Returning { reached, .. } => {
                reached.insert(target.clone());
                false
            }
            State::Lost => {
                let reached = BTreeSet::from([target.clone()]);
                self.state = State::Returning { since: now, reached, tried: BTreeSet::new() };
                true
            }
        }
    }

    /// Records that a target has responded over the host's own path. That does not end a loss of
    /// the paths: connections that were open before can live on while new ones are refused.
    pub fn responded(&mut self, target: &Rc<str>, now: Instant) {
        self.heard(now);
        if let State::Returning { reached, .. } = &mut self.state {
            reached.insert(target.clone());
        }
    }

    /// Records that a byte has come from a target over the host's own path.
    pub fn heard(&mut self, now: Instant) {
        self.last_heard = Some(now);
        self.in_vain = 0;
    }

    /// Returns whether a byte has come from any target, or a connection to one has opened, since
    /// a time.
    #[must_use]
    pub fn has_contact_since(&self, since: Instant) -> bool {
        self.last_contact().is_some_and(|at| at >= since)
    }

    /// Returns whether an open connection may carry a request that can't be sent again. Without a
    /// recent contact the connection may hang, and only a new one tells before the request is
    /// sent.
    #[must_use]
    pub fn are_proven(&self, now: Instant) -> bool {
        self.last_contact().is_some_and(|at| now.since(at) < PROOF_AGE)
    }

    fn last_contact(&self) -> Option<Instant> {
        self.last_heard.max(self.last_opened)
    }

    /// Returns whether a check of the paths must begin because of a doubt. A check opens
    /// connections to some targets, and its result goes to [`Self::checked`].
    ///
    /// New connections can be refused while open ones live on, so that bytes are no evidence
    /// against a connection that does not open.
    pub fn begin_check(&mut self, doubt: Doubt, now: Instant) -> bool {
        let is_refuted = match doubt {
            Doubt::Unopened { began } => self.last_opened.is_some_and(|opened| opened >= began),
            // A check that began before says nothing of it.
            Doubt::Broken { at } => self.open_from.is_some_and(|began| began >= at),
            Doubt::Silent => self.last_contact().is_some_and(|at| now.since(at) < SILENCE),
        };
        let pause = match doubt {
            Doubt::Silent => CHECK_PAUSE * 2_u32.pow(self.in_vain.min(MAX_DOUBLINGS)),
            Doubt::Unopened { .. } => CHECK_PAUSE,
            // What it says of the target is recorded for all hosts, so that it needs a check.
            Doubt::Broken { .. } => Duration::ZERO,
        };
        let is_recent = self.found_open.is_some_and(|at| now.since(at) < pause);
        if is_refuted || is_recent || self.are_checked() || self.are_lost() {
            return false;
        }
        self.checking = Some(now);
        true
    }

    /// Returns whether a check is in progress.
    #[must_use]
    pub fn are_checked(&self) -> bool {
        self.checking.is_some()
    }

    /// Records the end of a check, and whether any connection has opened. Returns whether the
    /// paths are now known to be lost.
    pub fn checked(&mut self, opened: bool, now: Instant) -> bool {
        let began = self.checking.take();
        if opened {
            self.open_from = began;
            self.found_open = Some(now);
            self.in_vain += 1;
        } else {
            self.state = State::Lost;
            self.in_vain = 0;
        }
        !opened
    }
}
