use std::{collections::BTreeMap, time::Duration};

use tamarackdock_types::{TargetName, clock::Instant};

const INTERVAL: Duration = Duration::from_millis(500);
/// Time without a report after which an engine counts as gone.
const SILENCE: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Poll {
    next: Instant,
    in_flight: bool,
    heard: Instant,
}

/// When the engines are asked for load reports. Each engine is asked by one
/// request at a time, so that its reports keep their order.
#[derive(Debug, Default)]
pub(super) struct Polls(BTreeMap<TargetName, Poll>);

impl Polls {
    /// Returns whether an engine is to be asked now, and notes that it is.
    pub(super) fn begin(&mut self, now: Instant, target: &TargetName) -> bool {
        let new = || Poll { next: now, in_flight: false, heard: now };
        let poll = self.0.entry(target.clone()).or_insert_with(new);
        let is_due = !poll.in_flight && now >= poll.next;
        if is_due {
            poll.in_flight = true;
            poll.next = now + INTERVAL;
        }
        is_due
    }

    /// Ends a request and returns whether the engine counts as gone.
    pub(super) fn end(&mut self, now: Instant, target: &TargetName, is_heard: bool) -> bool {
        let Some(poll) = self.0.get_mut(target) else { return false };
        poll.in_flight = false;
        if is_heard {
            poll.heard = now;
        }
        now.since(poll.heard) > SILENCE
    }

    /// Drops engines that are no longer configured, and returns them.
    pub(super) fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) -> Vec<TargetName> {
        let gone: Vec<_> = self.0.keys().filter(|target| !keep(target)).cloned().collect();
        self.0.retain(|target, _| keep(target));
        gone
    }
}
