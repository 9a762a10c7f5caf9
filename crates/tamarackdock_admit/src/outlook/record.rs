use std::time::Duration;

use tamarackdock_types::clock::Instant;

use super::{Evidence, estimate::MAX_EVIDENCE_AGE};

/// Part of the time for which a target has failed that it is expected to go on failing. Calls are
/// refused for it once the failure has lasted for twice the time that they have left: with the
/// whole time, more of the calls that a frozen target answers late are refused.
const EXPECTED_REST: f64 = 0.5;
/// Longest time between two refusals of the same burst: a caller's retry comes within it.
const MAX_REFUSAL_GAP: Duration = Duration::from_millis(250);
/// Time without a response after which a target counts as silent, in usual service times.
const SILENT_SERVICE_TIMES: u32 = 8;
/// The same at least: more than the pauses of a busy host or target.
const MIN_SILENCE: Duration = Duration::from_millis(200);
/// The same while the service time is not known.
const DEFAULT_SILENCE: Duration = Duration::from_millis(500);

/// Failures of a target without an answer in between.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Failure {
    /// Kind of the newest failure.
    pub(super) evidence: Evidence,
    /// Time of the first one.
    pub(super) since: Instant,
    /// Time of the newest one.
    pub(super) at: Instant,
    /// Shortest time from then on until the target is expected to have room.
    pub(super) retry_after: Duration,
}

impl Failure {
    /// Returns the time from `now` on after which the target is expected to have room.
    pub(super) fn room_in(&self, now: Instant) -> Duration {
        let rest = self.at.since(self.since).mul_f64(EXPECTED_REST).max(self.retry_after);
        (self.at + rest).since(now)
    }
}

/// What a host has observed of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Record {
    /// Calls that wait for a response.
    waiting: u32,
    /// Start of the first call since the last response of any kind. Calls that were sent before
    /// that response may just take long.
    silent_since: Option<Instant>,
    last_started: Instant,
    /// When a call was last no longer waited for.
    last_ended: Instant,
    answered: Option<Instant>,
    failure: Option<Failure>,
    /// First and newest refusal of a burst. Unlike [`Self::failure`], it outlasts answers: a
    /// target in overload answers some calls and refuses others.
    burst: Option<(Instant, Instant)>,
}

impl Record {
    pub(super) fn started(&mut self, now: Instant) {
        // Calls that were sent long before may just take long, and tell nothing of this one.
        if now.since(self.last_started) > MAX_EVIDENCE_AGE {
            self.silent_since = None;
        }
        self.last_started = now;
        self.waiting += 1;
        self.silent_since.get_or_insert(now);
    }

    pub(super) fn ended(&mut self, now: Instant) {
        self.waiting = self.waiting.saturating_sub(1);
        self.last_ended = now;
        // Callers that leave early say nothing about the target.
        let was_short = self.silent_since.is_none_or(|since| now.since(since) < MIN_SILENCE);
        if self.waiting == 0 && was_short {
            self.silent_since = None;
        }
    }

    pub(super) fn answered(&mut self, now: Instant) {
        self.answered = Some(now);
        self.failure = None;
        self.heard();
    }

    pub(super) fn refused(&mut self, retry_after: Option<Duration>, now: Instant) {
        self.heard();
        let before = self.burst.filter(|(_, at)| now.since(*at) <= MAX_REFUSAL_GAP);
        self.burst = Some((before.map_or(now, |(since, _)| since), now));
        self.fail(Evidence::Refused, retry_after.unwrap_or_default(), now);
    }

    pub(super) fn broke(&mut self, now: Instant) {
        self.fail(Evidence::Broken, Duration::ZERO, now);
    }

    pub(super) fn forget_failures(&mut self) {
        self.failure = None;
        self.silent_since = None;
    }

    pub(super) fn is_waited_for(&self) -> bool {
        self.waiting > 0
    }

    /// Returns the time of the last answer.
    pub(super) fn answered_at(&self) -> Option<Instant> {
        self.answered
    }

    /// Returns for how long a burst of refusals has lasted, or zero if there is none.
    pub(super) fn burst(&self, now: Instant) -> Duration {
        let current = self.burst.filter(|(_, at)| now.since(*at) <= MAX_REFUSAL_GAP);
        current.map_or(Duration::ZERO, |(since, _)| now.since(since))
    }

    /// Returns the failure that recent evidence shows, if any.
    pub(super) fn failure(&self, usual: Option<Duration>, now: Instant) -> Option<Failure> {
        let recent = |failure: &Failure| now.since(failure.at) <= MAX_EVIDENCE_AGE;
        let silence = self.silence(usual, now).filter(recent);
        silence.or_else(|| self.failure.filter(recent))
    }

    fn silence(&self, usual: Option<Duration>, now: Instant) -> Option<Failure> {
        let since = self.silent_since?;
        let until = if self.waiting > 0 { now } else { self.last_ended };
        let silence = until.since(since);
        let threshold =
            usual.map_or(DEFAULT_SILENCE, |usual| (usual * SILENT_SERVICE_TIMES).max(MIN_SILENCE));
        // Only calls that were sent a short time ago say that the target is silent still.
        let at = self.last_started;
        let retry_after = until.since(at) + silence.mul_f64(EXPECTED_REST);
        (silence >= threshold).then_some(Failure {
            evidence: Evidence::Silent,
            since: at,
            at,
            retry_after,
        })
    }

    /// Records a response of any kind.
    fn heard(&mut self) {
        self.silent_since = None;
    }

    fn fail(&mut self, evidence: Evidence, retry_after: Duration, now: Instant) {
        let before = self.failure.filter(|before| now.since(before.at) <= MAX_EVIDENCE_AGE);
        let since = before.map_or(now, |before| before.since);
        self.failure = Some(Failure { evidence, since, at: now, retry_after });
    }
}
