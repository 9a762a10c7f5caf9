//! Expectation of when the targets of a plain service can answer a call.
//!
//! The load that this is made for is a service with a few targets, each with a few slots and a
//! short queue, that refuse calls when they are full: calls of 25 ms with an objective of 150 ms
//! and a deadline of about a second, whose callers retry a refused call once, after its
//! `Retry-After`. In a burst or while most targets are gone, calls that can't be answered in time
//! use up queues and retries. A refusal that comes at once and says when there is room lets the
//! retry be answered.
//!
//! The estimates err towards sending: a refusal needs recent evidence against every target. See
//! `docs/design/call-outlook.md`.

mod decision;
mod estimate;
mod record;
mod service_time;

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tamarackdock_types::clock::Instant;

pub use self::{
    decision::{Decision, Refusal},
    estimate::{Candidate, Estimate, Evidence},
};
use self::{record::Record, service_time::ServiceTime};

/// Most targets that are considered. A call to a service with more of them is always sent.
const MAX_CANDIDATES: usize = 16;
/// A shared immutable name of a target or service.
pub type Name = Rc<str>;

/// What one host has observed of the targets of plain services. It is lost with the process.
#[derive(Debug, Clone, Default)]
pub struct Outlook {
    records: BTreeMap<Name, Record>,
    service_times: BTreeMap<Name, ServiceTime>,
}

impl Outlook {
    /// Records that a call was sent to a target. [`Self::ended`] must follow.
    pub fn started(&mut self, target: &Name, now: Instant) {
        self.records.entry(target.clone()).or_default().started(now);
    }

    /// Records that a call to a target is no longer waited for, whatever its outcome.
    pub fn ended(&mut self, target: &str, now: Instant) {
        if let Some(record) = self.records.get_mut(target) {
            record.ended(now);
        }
    }

    /// Records the answer to a call, and the time that it took unless that says nothing about
    /// the usual work.
    pub fn answered(
        &mut self,
        service: &Name,
        target: &Name,
        took: Option<Duration>,
        now: Instant,
    ) {
        self.records.entry(target.clone()).or_default().answered(now);
        if let Some(took) = took {
            let new = || ServiceTime::new(took, now);
            self.service_times.entry(service.clone()).or_insert_with(new).add(took, now);
        }
    }

    /// Records that a target refused a call, and its `Retry-After`.
    pub fn refused(&mut self, target: &Name, retry_after: Option<Duration>, now: Instant) {
        self.records.entry(target.clone()).or_default().refused(retry_after, now);
    }

    /// Records that a target could not be connected to, or that a connection broke.
    pub fn broke(&mut self, target: &Name, now: Instant) {
        self.records.entry(target.clone()).or_default().broke(now);
    }

    /// Forgets all failures, since the host has lost its own paths to the targets and they say
    /// nothing about these.
    pub fn forget_failures(&mut self) {
        self.records.values_mut().for_each(Record::forget_failures);
    }

    /// Removes targets that are neither in use nor waited for.
    pub fn sweep(&mut self, in_use: impl Fn(&str) -> bool) {
        self.records.retain(|target, record| record.is_waited_for() || in_use(target));
    }

    /// Returns when a target of a service is expected to have room, and by which evidence.
    #[must_use]
    pub fn estimate(&self, service: &str, candidate: &Candidate, now: Instant) -> Estimate {
        let usual = self.service_times.get(service).map(ServiceTime::usual);
        Estimate::new(candidate, self.records.get(&candidate.id), usual, now)
    }

    /// Returns the target that an attempt is sent to. `candidates` are those that the call was not
    /// sent to before, in the order in which they would be tried. Those that fail come later, as
    /// the attempt could end only when they recover, and silent ones last, as they hold it. Among
    /// several of these the order stays, so that calls go to all and the evidence is refreshed.
    #[must_use]
    pub fn choose(
        &self,
        service: &str,
        candidates: impl IntoIterator<Item = Candidate>,
        now: Instant,
    ) -> Option<Candidate> {
        let mut best: Option<(u8, Candidate)> = None;
        for candidate in candidates.into_iter().take(MAX_CANDIDATES) {
            let order = self.estimate(service, &candidate, now).order();
            if order == 0 {
                return Some(candidate);
            }
            if best.as_ref().is_none_or(|(lowest, _)| order < *lowest) {
                best = Some((order, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Decides whether a call that was not sent yet is sent. `candidates` are all targets that
    /// can run it, and `left` is the time until it is given up.
    #[must_use]
    pub fn decide(
        &self,
        service: &str,
        candidates: impl IntoIterator<Item = Candidate>,
        left: Duration,
        now: Instant,
    ) -> Decision {
        let mut estimates: Vec<(Name, Estimate)> = Vec::new();
        for candidate in candidates {
            let estimate = self.estimate(service, &candidate, now);
            if estimate.answers_within(left) || estimates.len() >= MAX_CANDIDATES {
                return Decision::Send;
            }
            estimates.push((candidate.id, estimate));
        }
        // Without a call in flight, nothing would tell that a target has recovered.
        if let Some((target, _)) = estimates.iter().find(|(_, estimate)| estimate.running == 0) {
            return Decision::Probe { target: target.clone() };
        }
        // Without targets, the caller's handling of that case says more.
        Refusal::new(estimates, left).map_or(Decision::Send, Decision::Refuse)
    }

    /// Decides whether a call that targets have refused, and that is not in progress anywhere, is
    /// sent to another one. `candidates` are those that it was not sent to. A silent target that
    /// has a call in flight would only hold it, while the caller's retry can be answered.
    #[must_use]
    pub fn goes_on(
        &self,
        service: &str,
        candidates: impl IntoIterator<Item = Candidate>,
        now: Instant,
    ) -> bool {
        self.choose(service, candidates, now).is_some_and(|next| {
            let evidence = self.estimate(service, &next, now).evidence;
            evidence != Evidence::Silent || next.running == 0
        })
    }

    /// Returns the refusal of a call whose targets have refused it, or `None` without targets.
    /// `candidates` and `left` are as for [`Self::decide`].
    #[must_use]
    pub fn refusal(
        &self,
        service: &str,
        candidates: impl IntoIterator<Item = Candidate>,
        left: Duration,
        now: Instant,
    ) -> Option<Refusal> {
        let estimate = |candidate: Candidate| {
            let estimate = self.estimate(service, &candidate, now);
            (candidate.id, estimate)
        };
        let estimates: Vec<_> = candidates.into_iter().take(MAX_CANDIDATES).map(estimate).collect();
        Refusal::new(estimates, left)
    }
}
