use std::time::Duration;

use derive_more::Display;
use tamarackdock_types::clock::Instant;

use super::{Name, record::Record};

/// Age after which evidence against a target no longer counts.
pub(super) const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(1);

/// A target that can run a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the target.
    pub id: Name,
    /// Requests of this host in progress there.
    pub running: u32,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

/// What tells whether a target has room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Evidence {
    /// Nothing recent is known against it.
    #[display("none")]
    None,
    /// All its slots run requests of this host.
    #[display("busy")]
    Busy,
    /// It has refused a call.
    #[display("refused")]
    Refused,
    /// A connection to it could not be opened, or broke.
    #[display("broken")]
    Broken,
    /// It has not responded to calls for long.
    #[display("silent")]
    Silent,
}

/// When a target is expected to have room for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// What the estimate is based on.
    pub evidence: Evidence,
    /// Age of the evidence; zero if there is none.
    pub age: Duration,
    /// Time after which room is expected.
    pub room_in: Duration,
    /// Time for which it has refused calls, also if it answered others meanwhile.
    pub burst: Duration,
    /// Usual service time; zero if it is not known.
    pub usual: Duration,
    /// Requests of this host in progress.
    pub running: u32,
    /// Number of requests that the target runs at once.
    pub slots: u32,
}

impl Estimate {
    /// Estimates from what is recorded of a target, if anything, and the usual service time.
    pub(super) fn new(
        candidate: &Candidate,
        record: Option<&Record>,
        usual: Option<Duration>,
        now: Instant,
    ) -> Self {
        let Candidate { running, slots, .. } = *candidate;
        let unknown = Self {
            evidence: Evidence::None,
            age: Duration::ZERO,
            room_in: Duration::ZERO,
            burst: record.map_or(Duration::ZERO, |record| record.burst(now)),
            usual: usual.unwrap_or_default(),
            running,
            slots,
        };
        // The time until a slot is free, by the requests of this host alone.
        let queue = match usual {
            Some(usual) if running >= slots => {
                usual.mul_f64(f64::from(running - slots + 1) / f64::from(slots.max(1)))
            }
            _ => Duration::ZERO,
        };
        if let Some(failure) = record.and_then(|record| record.failure(usual, now)) {
            return Self {
                evidence: failure.evidence,
                age: now.since(failure.at),
                room_in: failure.room_in(now).max(queue),
                ..unknown
            };
        }
        let answered = record.and_then(Record::answered_at);
        let age = answered.map_or(Duration::MAX, |at| now.since(at));
        // How fast a queue shrinks is known only of a target that still answers.
        if queue.is_zero() || age > MAX_EVIDENCE_AGE {
            return unknown;
        }
        Self { evidence: Evidence::Busy, age, room_in: queue, ..unknown }
    }

    /// Returns the time after which a refused call is best sent again. A burst is expected to last
    /// as long as it has: retries that come sooner meet it again.
    pub(super) fn retry_in(&self) -> Duration {
        self.room_in.max(self.burst)
    }

    /// Returns the place of the target in the order of attempts: lower ones come first.
    pub(super) fn order(&self) -> u8 {
        match self.evidence {
            Evidence::Silent => 2,
            Evidence::Refused | Evidence::Broken if !self.room_in.is_zero() => 1,
            Evidence::None | Evidence::Busy | Evidence::Refused | Evidence::Broken => 0,
        }
    }

    /// Returns whether the target is expected to answer within a time, or nothing tells that it
    /// does not.
    #[must_use]
    pub fn answers_within(&self, left: Duration) -> bool {
        self.evidence == Evidence::None || self.room_in + self.usual <= left
    }
}
