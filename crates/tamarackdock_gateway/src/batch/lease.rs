//! Proof that a node still owns the batch jobs that it runs. See `docs/platform-system.md`,
//! section "Batch jobs".

use std::time::Duration;

use tamarackdock_platform::{Error, table::Write};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{node::Node, periodic};

/// Number of missed renewals after which a node counts as gone.
const MISSED_RENEWALS: u32 = 3;
/// Allowance for the time from a renewal until another node reads it: the shortest
/// interval of reads. In large deployments reads are rarer.
const READ_DELAY: Duration = periodic::MEMBERS.shortest;

/// Returns the time without a renewal after which a node counts as gone, if it announced the
/// next one for `renewal` later.
pub(crate) fn gone_after(renewal: Duration) -> Duration {
    renewal * MISSED_RENEWALS + READ_DELAY
}

/// What this node knows of its ownership. No other node takes its jobs over while each renewal of
/// its row takes effect before the one before has run out. A take-over before that stands in the
/// heads, so that they have to be read once after the first renewal of such a series.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Lease {
    /// When the first renewal of the series was answered.
    began: Option<Instant>,
    /// Earliest time at which another node may count this one as gone.
    ends: Option<Instant>,
    /// Sending time of the newest poll of the heads that was answered.
    heads_read: Option<Instant>,
}

impl Lease {
    /// Records that a renewal is being sent. It may take effect although its answer is lost, and
    /// may announce the next one for an earlier time than the renewal before.
    pub(crate) fn send(&mut self, renewal: Duration, sent: Instant) {
        self.ends = self.ends.map(|ends| ends.min(sent + gone_after(renewal)));
    }

    /// Records that the store accepted a renewal. Returns whether it begins a new series.
    pub(crate) fn renew(&mut self, renewal: Duration, sent: Instant, answered: Instant) -> bool {
        let is_new = self.ends.is_none_or(|ends| answered >= ends);
        if is_new {
            self.began = Some(answered);
        }
        self.ends = Some(sent + gone_after(renewal));
        is_new
    }

    /// Records that a poll of the heads, sent at `sent`, was answered.
    pub(crate) fn record_heads(&mut self, sent: Instant) {
        self.heads_read = self.heads_read.max(Some(sent));
    }

    /// Returns whether no other node can have taken over a job that this node knows to own.
    pub(crate) fn holds(&self, now: Instant) -> bool {
        !self.needs_heads() && self.ends.is_some_and(|ends| now < ends)
    }

    /// Returns whether the heads have not been polled since the renewals began.
    pub(crate) fn needs_heads(&self) -> bool {
        self.began.is_some_and(|began| self.heads_read.is_none_or(|read| read <= began))
    }

    /// Returns the age of what is known of the heads.
    pub(crate) fn heads_age(&self, now: Instant) -> Option<Duration> {
        self.heads_read.map(|read| now.since(read))
    }

    /// Returns how long ago the lease ran out.
    pub(crate) fn expired_for(&self, now: Instant) -> Option<Duration> {
        self.ends.map(|ends| now.since(ends))
    }
}

/// Writes this node's row, which announces the next renewal for `renewal` later.
pub(crate) async fn renew(node: &Node, renewal: Duration, writes: Vec<Write>) -> Result<(), Error> {
    let sent = BootClock.now();
    let before = *node.jobs.lease.borrow();
    node.jobs.lease.borrow_mut().send(renewal, sent);
    node.commit(Vec::new(), writes).await?;
    let answered = BootClock.now();
    if node.jobs.lease.borrow_mut().renew(renewal, sent, answered) {
        slog::info!(node.log, "jobs: lease began";
            "expired_ms" => before.expired_for(answered).map(|time| time.as_millis()),
            "heads_age_ms" => before.heads_age(answered).map(|age| age.as_millis()));
    }
    Ok(())
}
