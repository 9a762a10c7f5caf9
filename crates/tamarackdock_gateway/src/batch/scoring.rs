//! Decides when the scoring calls of items are sent, and what their outcomes mean.
//!
//! The load that this is made for is the end of a trainer's step: many items become complete
//! within a second, and their scoring calls go to the targets that also serve the look-ups of
//! an app. Look-ups are urgent, so that scoring calls leave [`RESERVED_SLOTS`] of each target
//! to them. A step ends with its last group, so that the calls of groups that need the fewest
//! further results go first.

use std::{collections::BTreeSet, time::Duration};

use derive_more::{Display, Error};

use super::{
    Item,
    backoff::{Backoff, REFUSED_PAUSE},
    rows,
};
use crate::{call::fingerprint, deployment::Deployment};

/// Slots of each target that scoring calls leave to other calls.
pub(crate) const RESERVED_SLOTS: u32 = 1;
/// Refusals in a row after which a call goes after others and its pause grows. It may fit no target.
const MANY_REFUSALS: u32 = 8;
/// Longest pause after calls in a row without a usable answer.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Largest number of doublings, beyond which the pause is the longest one.
const MAX_DOUBLINGS: u32 = 6;

/// How a scoring call ended, after all attempts that it was given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A target answered with success. Holds the signature of the answer.
    Scored(String),
    /// Targets answered this many times that they failed to process the call.
    Failed(u32),
    /// Targets refused the call, which has not run. Holds the pause that a target asked for.
    NotRun(Option<Duration>),
    /// The call was not sent: there is no route or path, or the limits of targets left no room.
    /// Holds the time until there may be. That says nothing about the call.
    NotSent(Option<Duration>),
    /// The connection broke or timed out, or the answer could not be used.
    Unknown,
}

/// What happens to an item after its scoring call has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Next {
    /// The item is completed with this score.
    Scored(String),
    /// The item is aborted.
    Abort,
    /// The call is sent again after a pause.
    Retry(Duration),
}

/// The attempts of an item's scoring call so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Scoring {
    /// Number of answers that reported a failure. Only these can abort the item.
    failures: u32,
    /// Calls in a row without a score that may have run.
    breaks: Backoff,
    /// Calls in a row that targets refused.
    refusals: u32,
}

impl Scoring {
    /// Records the end of a call and returns what follows from it. `max_failures` is the
    /// number of failed answers at which the item is aborted.
    pub(crate) fn end(&mut self, outcome: Outcome, max_failures: u32) -> Next {
        self.refusals = match outcome {
            Outcome::NotRun(_) => self.refusals.saturating_add(1),
            Outcome::NotSent(_) => self.refusals,
            Outcome::Scored(_) | Outcome::Failed(_) | Outcome::Unknown => 0,
        };
        match outcome {
            Outcome::Scored(score) => Next::Scored(score),
            Outcome::Failed(count) => {
                self.failures += count;
                if self.failures >= max_failures.max(1) {
                    return Next::Abort;
                }
                Next::Retry(self.breaks.next(MAX_BACKOFF))
            }
            Outcome::NotRun(after) => {
                let doublings = self.refusals.saturating_sub(MANY_REFUSALS).min(MAX_DOUBLINGS);
                let shortest = (REFUSED_PAUSE * 2_u32.pow(doublings)).min(MAX_BACKOFF);
                Next::Retry(after.unwrap_or_default().clamp(shortest, MAX_BACKOFF))
            }
            Outcome::NotSent(after) => {
                Next::Retry(after.unwrap_or_default().clamp(REFUSED_PAUSE, MAX_BACKOFF))
            }
            Outcome::Unknown => Next::Retry(self.breaks.next(MAX_BACKOFF)),
        }
    }
}

impl Scoring {
    /// Returns whether the call was refused so often that it may fit no target.
    pub(crate) fn is_unfit(&self) -> bool {
        self.refusals >= MANY_REFUSALS
    }
}

/// An item that waits for its scoring call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WaitingCall {
    /// Index of its job among the running ones, earlier steps first.
    pub(crate) job: usize,
    /// Index of the item in the job.
    pub(crate) item: usize,
    /// Whether the trainer waits for the item's group in any case.
    pub(crate) carried: bool,
    /// Number of items of its group that have no result yet.
    pub(crate) unfinished_in_group: usize,
    /// Whether targets have refused the call so often that it may fit none of them.
    pub(crate) is_unfit: bool,
}

/// Returns the calls that are sent now, in order, if there is room for `room` of them.
pub(crate) fn admit(mut waiting: Vec<WaitingCall>, room: usize) -> Vec<WaitingCall> {
    waiting.sort_by_key(|call| {
        (call.is_unfit, call.job, !call.carried, call.unfinished_in_group, call.item)
    });
    waiting.truncate(room);
    waiting
}

/// The reason why the scoring calls of a submitted job can't be made.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum Invalid {
    /// The id of a call can't be sent.
    #[display("item `{item}`: the id of a scoring call has 1 to 64 letters, digits, `-` or `_`")]
    Id { item: String },
    /// Two calls have the same id, by which their answers are told apart.
    #[display("item `{item}`: another scoring call of the job has the id `{id}`; use unique ids")]
    Repeated { item: String, id: String },
    /// No route leads to the targets of a call.
    #[display("item `{item}`: no route for the scoring call to `{host}{path}`")]
    NoRoute { item: String, host: String, path: String },
}

/// Checks the scoring calls of a job before it is accepted, item by item.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    /// Fingerprints of the ids so far. The ids themselves could take more memory than a node has.
    ids: BTreeSet<u64>,
}

impl Checks {
    pub(crate) fn check(&mut self, item: &Item, deployment: &Deployment) -> Result<(), Invalid> {
        let Some(call) = &item.scoring else { return Ok(()) };
        let name = || item.id.to_string();
        match () {
            () if !rows::is_valid_id(&call.id) => Err(Invalid::Id { item: name() }),
            () if !self.ids.insert(fingerprint(call.id.as_bytes())) => {
                Err(Invalid::Repeated { item: name(), id: call.id.to_string() })
            }
            () if deployment.route(&call.host, &call.path).is_none() => {
                let (host, path) = (call.host.clone(), call.path.clone());
                Err(Invalid::NoRoute { item: name(), host, path })
            }
            () => Ok(()),
        }
    }
}
