use std::time::Duration;

use tamarackdock_types::clock::Instant;

use super::turn::Turn;

/// Window of a target of which nothing is known: a single probe.
const PROBE_WINDOW: u32 = 1;
/// Multiple of the usual time up to which a first event widens the window.
const SLOW_FACTOR: u32 = 3;
/// Pause after a failed probe. A target that loads weights refuses all requests for 0.9 s to 2 s,
/// and its return is to be seen within a fraction of that.
const PROBE_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause before the next probe of a target that flaps.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Time after a break from which an event of an earlier run shows that the target goes on. Events
/// that it sent before may still arrive within a few milliseconds.
const LINGER: Duration = Duration::from_millis(100);
/// Time from the recovery of a target to its next failure below which the target flaps. Loads of
/// weights, which refuse requests as well, are further apart.
const FLAP_TIME: Duration = Duration::from_secs(5);

/// Requests in progress on a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Running {
    /// Requests of this host.
    pub own: u32,
    /// Requests of the other hosts, as far as they have reported them.
    pub others: u32,
}

/// Why a target ramps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its start was first observed, or its entry appeared again.
    Appeared,
    /// It refused a request, or could not be connected to.
    Refused,
    /// The connection of a request broke, or no response came in time.
    Broken,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Steady,
    Ramping {
        /// Requests that may be in progress, in addition to `base`.
        window: u32,
        /// Requests of this host that were in progress when the target last failed and still are.
        /// They hold a slot already, so that they must not keep a probe from being sent.
        base: u32,
        /// Earliest time of the next request.
        not_before: Instant,
        /// When the window was last reset. Responses to earlier requests don't count.
        since: Instant,
    },
}

/// What was known of a target before a break, which an event of another run restores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Before {
    phase: Phase,
    relapses: u32,
    recovered: Option<Instant>,
}

/// How many requests one host sends to a target that has started or recovered.
///
/// The intended load is many items that wait for a target which has just come back, of which the
/// first responses tell whether it can bear them. A window of requests in progress begins at one,
/// doubles with each response in time, is halved by a slow one and reset by a failure. Once it
/// reaches the slots of the target, nothing is held back. A target that flaps gets one more request
/// with each pause instead, since each of its failures takes all of them with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pace {
    phase: Phase,
    /// Failures in a row that followed a recovery within [`FLAP_TIME`].
    relapses: u32,
    /// When the target last responded after a failure.
    recovered: Option<Instant>,
    /// State before the last failure, if that was a break while other requests were in progress.
    before: Option<Before>,
}

impl Pace {
    /// Returns the window, or `None` if the target is steady.
    #[must_use]
    pub fn window(&self) -> Option<u32> {
        match self.phase {
            Phase::Steady => None,
            Phase::Ramping { window, .. } => Some(window),
        }
    }

    /// Returns how many requests this host may start now, or `None` if the target is steady.
    /// Requests of other hosts count against the window. One probe is allowed regardless of them,
    /// since what they report may be out of date.
    #[must_use]
    pub fn allowed(&self, running: Running, now: Instant) -> Option<u32> {
        match self.phase {
            Phase::Steady => None,
            Phase::Ramping { not_before, .. } if now < not_before => Some(0),
            Phase::Ramping { window, base, .. } => {
                let limit = base.saturating_add(window.max(running.others.saturating_add(1)));
                Some(limit.saturating_sub(running.own.saturating_add(running.others)))
            }
        }
    }

    /// Records that the target appeared or failed while this host had `running` requests in
    /// progress on it. `turn` is that of this host among those that want to probe it.
    pub fn reset(&mut self, cause: Cause, running: u32, turn: Turn, now: Instant) {
        let Self { phase, relapses, recovered, before } = *self;
        self.before = match cause {
            // When a target goes down, its requests break one after another.
            Cause::Broken if running > 0 => before.or(Some(Before { phase, relapses, recovered })),
            _ => None,
        };
        // A target that still runs others, or breaks the last of several, has not flapped yet.
        if cause != Cause::Appeared && running == 0 {
            self.count_relapse(now);
        }
        let pause = if cause == Cause::Appeared { Duration::ZERO } else { self.pause() };
        self.phase = Phase::Ramping {
            window: PROBE_WINDOW,
            base: running,
            not_before: now + pause + turn.delay(),
            since: now,
        };
    }

    /// Returns the pause before the next probe.
    fn pause(&self) -> Duration {
        let doubled = PROBE_PAUSE * 2_u32.pow(self.relapses.min(8));
        doubled.min(LONGEST_PAUSE)
    }

    /// Counts failures that follow a recovery. Those of probes in between change nothing: a target
    /// that loads weights refuses them all and has not flapped.
    fn count_relapse(&mut self, now: Instant) {
        match self.recovered.take() {
            Some(at) if now.since(at) < FLAP_TIME => self.relapses += 1,
            Some(_) => self.relapses = 0,
            None => {}
        }
    }

    /// Records that a request that was sent at `sent` got its first event. `usual` is the usual
    /// time to it on the service, if that is known.
    pub fn respond(&mut self, sent: Instant, usual: Option<Duration>, slots: u32, now: Instant) {
        let Phase::Ramping { mut window, mut base, mut not_before, since } = self.phase else {
            return;
        };
        if sent < since {
            return;
        }
        let recovered = *self.recovered.get_or_insert(now);
        self.before = None;
        if now.since(recovered) >= FLAP_TIME {
            self.relapses = 0;
        }
        let is_flapping = self.relapses > 0;
        let is_slow = usual.is_some_and(|usual| now.since(sent) > usual * SLOW_FACTOR);
        match window {
            // The request keeps its slot for seconds, and the next probe does not wait for its end.
            _ if is_flapping || (is_slow && window == PROBE_WINDOW) => {
                base += 1;
                not_before = now + self.pause();
            }
            _ if is_slow => window /= 2,
            _ => window = window.saturating_mul(2),
        }
        self.phase = if base.saturating_add(window) >= slots {
            Phase::Steady
        } else {
            Phase::Ramping { window, base, not_before, since }
        };
    }

    /// Records an event of a request that was sent at `sent`. If it was in progress when the
    /// connection of another one broke, only that one failed, and the target is as before.
    pub fn go_on(&mut self, sent: Instant, now: Instant) {
        let Phase::Ramping { since, .. } = self.phase else { return };
        if sent < since
            && now.since(since) >= LINGER
            && let Some(before) = self.before.take()
        {
            (self.phase, self.relapses, self.recovered) =
                (before.phase, before.relapses, before.recovered);
        }
    }

    /// Records that a request that was sent at `sent` was completed. A target that flaps completes
    /// none since its last failure.
    pub fn complete(&mut self, sent: Instant) {
        match self.phase {
            Phase::Ramping { since, .. } if sent < since => {}
            Phase::Steady | Phase::Ramping { .. } => self.relapses = 0,
        }
    }

    /// Records that a request ended and that this host still has `running` in progress.
    pub fn end(&mut self, running: u32) {
        if let Phase::Ramping { base, .. } = &mut self.phase {
            *base = running.min(*base);
        }
    }
}
