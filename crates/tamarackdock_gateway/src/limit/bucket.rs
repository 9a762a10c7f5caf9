//! The permits that a limiter has granted for one target: a generic cell rate algorithm, which
//! needs one point in time as its state, for each kind of request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tamarackdock_types::clock::Instant;

/// Time over which permits that nobody asked for are kept.
const BURST: Duration = Duration::from_millis(300);
/// Time after the last request for permits until which their kind keeps its part of the limit.
const DEMAND_TTL: Duration = Duration::from_millis(1500);

/// Permits that were granted for one target.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Grant {
    /// Number of requests that may be sent.
    pub(crate) count: u32,
    /// Time to wait before the last of them is sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) delay: Duration,
    /// Time after which the next permit can be granted.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) retry_after: Duration,
}

/// What requests are for. Each kind that is asked for gets an equal part of a limit, since
/// callers that repeat refused calls would leave nothing to a step that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Demand {
    /// Calls of callers.
    Calls,
    /// Items of batch jobs and their scoring calls.
    Batch,
}

/// The permits that a limiter has granted for one target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Bucket {
    calls: Share,
    batch: Share,
}

impl Bucket {
    /// Grants up to `wanted` permits of which none has to wait longer than `longest_wait`.
    /// `spacing` is the time between two requests.
    pub(crate) fn grant(
        &mut self,
        demand: Demand,
        spacing: Duration,
        wanted: u32,
        longest_wait: Duration,
        now: Instant,
    ) -> Grant {
        let (own, other) = match demand {
            Demand::Calls => (&mut self.calls, &self.batch),
            Demand::Batch => (&mut self.batch, &self.calls),
        };
        if wanted > 0 {
            own.asked = Some(now);
        }
        let is_shared = other.asked.is_some_and(|asked| now.since(asked) < DEMAND_TTL);
        own.grant(if is_shared { spacing * 2 } else { spacing }, wanted, longest_wait, now)
    }
}

/// The permits for requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    /// Time on the limiter's clock at which the granted requests have taken place, if they are
    /// sent at the target's pace.
    used_until: Duration,
    /// When permits were last asked for.
    asked: Option<Instant>,
}

impl Share {
    fn grant(
        &mut self,
        spacing: Duration,
        wanted: u32,
        longest_wait: Duration,
        now: Instant,
    ) -> Grant {
        let now = Duration::from_millis(now.as_millis());
        let mut used_until = self.used_until.max(now);
        let mut grant = Grant::default();
        while grant.count < wanted && used_until.saturating_sub(BURST) <= now + longest_wait {
            grant.count += 1;
            grant.delay = used_until.saturating_sub(BURST).saturating_sub(now);
            used_until += spacing;
        }
        grant.retry_after = used_until.saturating_sub(BURST).saturating_sub(now);
        self.used_until = used_until;
        grant
    }
}
