use std::{collections::BTreeMap, time::Duration};

use tamarackdock_types::{TargetName, clock::Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a report after which an engine counts as gone.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Poll {
    due: Instant,
    in_flight: bool,
    last_report: Instant,
}

/// Schedules the load polls of the engines. Each engine has at most one poll in
/// flight, so that its reports keep their order.
#[derive(Debug, Default)]
pub(super) struct Polls(BTreeMap<TargetName, Poll>);

impl Polls {
    /// Begins a poll of an engine if it is due, and returns whether it is.
    pub(super) fn begin(&mut self, now: Instant, target: &TargetName) -> bool {
        let new = || Poll { due: now, in_flight: false, last_report: now };
        let poll = self.0.entry(target.clone()).or_insert_with(new);
        let is_due = !poll.in_flight && now >= poll.due;
        if is_due {
            poll.in_flight = true;
            poll.due = now + POLL_INTERVAL;
        }
        is_due
    }

    /// Ends a poll and returns whether the engine counts as gone.
    pub(super) fn end(&mut self, now: Instant, target: &TargetName, has_report: bool) -> bool {
        let Some(poll) = self.0.get_mut(target) else { return false };
        poll.in_flight = false;
        if has_report {
            poll.last_report = now;
        }
        now.since(poll.last_report) > REPORT_TIMEOUT
    }

    /// Drops the engines that `keep` rejects, and returns them.
    pub(super) fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) -> Vec<TargetName> {
        let removed: Vec<_> = self.0.keys().filter(|target| !keep(target)).cloned().collect();
        self.0.retain(|target, _| keep(target));
        removed
    }
}
