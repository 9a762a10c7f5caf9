use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tamarackdock_types::{DataCentreName, HostName, clock::Instant};

use super::{Answer, KeyStatus, Query, report::Report};
use crate::version::VersionNumber;

/// Time without proof from the store after which the node queries its peers. It is
/// the poll interval of the head plus the time for a response.
pub const QUERY_AFTER: Duration = Duration::from_millis(2200);
/// Time between two rounds of queries.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a proof is valid. A withdrawn key may work for up to 3 s; the remaining time
/// is for closing its streams.
pub const CUT_OFF_AFTER: Duration = Duration::from_millis(2800);
/// Time without proof after which a peer counts as reporting that the store is down.
pub const STORE_DOWN_AFTER: Duration = Duration::from_secs(2);
/// Largest number of peers that are queried in each data centre, which bounds the traffic at
/// 420 nodes. In a data centre with no more peers than that, all are queried.
pub const QUERIED_PER_DATA_CENTRE: usize = 4;

/// Time in which membership finds all hosts behind a link that has recovered.
pub const SETTLE_FOR: Duration = Duration::from_secs(2);

/// The proofs of one node that the keys of its active version are not withdrawn.
///
/// All proofs are dated by the *sending* of the request on the node's own clock,
/// since the response may be late.
#[derive(Debug)]
pub struct Reachability {
    data_centre: DataCentreName,
    hosts: BTreeMap<HostName, DataCentreName>,
    live: BTreeSet<HostName>,
    active: VersionNumber,
    /// Time at which the active version was last confirmed to be the newest one.
    confirmed: Option<Instant>,
    /// A head that is not active yet, with the sending time of its read.
    pending: Option<(Instant, VersionNumber)>,
    /// Operations whose commit may still take effect, with the time until which it may.
    unsettled: BTreeMap<String, Instant>,
    reports: BTreeMap<HostName, Report>,
    /// Time at which the store was last proven down for all nodes.
    down: Option<Instant>,
    /// Answers to queries sent before this time are not used as reports.
    not_before: Instant,
    next_query: Instant,
}

impl Reachability {
    /// Creates the state of a node that has no proof yet.
    #[must_use]
    pub const fn new(data_centre: DataCentreName) -> Self {
        Self {
            data_centre,
            hosts: BTreeMap::new(),
            live: BTreeSet::new(),
            active: VersionNumber(0),
            confirmed: None,
            pending: None,
            unsettled: BTreeMap::new(),
            reports: BTreeMap::new(),
            down: None,
            not_before: Instant::from_millis(0),
            next_query: Instant::from_millis(0),
        }
    }

    /// Sets the other hosts with their data centres, from the platform's list.
    /// Unreachable hosts remain part of it, since they may reach the store.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = (HostName, DataCentreName)>) {
        self.hosts = hosts.into_iter().collect();
        self.reports.retain(|name, _| self.hosts.contains_key(name));
    }

    /// Sets the hosts that membership does not consider dead.
    ///
    /// A change alters which reports are needed, so earlier ones no longer count:
    /// a host that left may have withdrawn a key without the others' knowledge.
    /// When a host returns, others behind the same link may follow, so reports
    /// count only after [`SETTLE_FOR`]. Once all listed hosts are live, for example after a
    /// new host has joined, none can follow and reports count immediately.
    pub fn set_live(&mut self, now: Instant, live: impl IntoIterator<Item = HostName>) {
        let live: BTreeSet<_> = live.into_iter().collect();
        if live == self.live {
            return;
        }
        self.reports.clear();
        let appeared = !live.is_subset(&self.live);
        let complete = self.hosts.keys().all(|name| live.contains(name));
        if complete {
            self.not_before = now;
        } else if appeared {
            self.not_before = now + SETTLE_FOR;
        }
        self.live = live;
    }

    /// Records that the store named `head` as the newest version in response to a
    /// read sent at `sent`, or accepted it in response to a commit sent then.
    /// A commit that was only found by reading it back is no such proof, since later
    /// versions may exist.
    pub fn on_head(&mut self, sent: Instant, head: VersionNumber) {
        if head <= self.active {
            self.confirmed = self.confirmed.max(Some(sent));
        } else if self.pending.is_none_or(|(before, _)| before < sent) {
            self.pending = Some((sent, head));
        }
    }

    /// Records that a version has become active.
    pub fn on_activated(&mut self, active: VersionNumber) {
        self.active = self.active.max(active);
        self.down = self.down.max(self.store_down());
        match self.pending {
            Some((sent, head)) if head <= self.active => {
                self.pending = None;
                self.confirmed = self.confirmed.max(Some(sent));
            }
            _ => {}
        }
    }

    /// Records the time until which a commit of this node may take effect without the node's
    /// knowledge, or `None` once the result of the operation is known.
    pub fn set_unsettled(&mut self, operation: &str, until: Option<Instant>) {
        match until {
            Some(until) => drop(self.unsettled.insert(operation.into(), until)),
            None => drop(self.unsettled.remove(operation)),
        }
    }

    /// Returns the queries to send now. `random` chooses the peers.
    pub fn tick(&mut self, now: Instant, random: u64) -> Vec<Query> {
        self.unsettled.retain(|_, until| now < *until);
        let proven = self.confirmed.max(self.down);
        let due = proven.is_none_or(|at| now >= at + QUERY_AFTER) && now >= self.next_query;
        if !due {
            return Vec::new();
        }
        self.next_query = now + QUERY_INTERVAL;
        let data_centres: BTreeSet<_> = self.hosts.values().collect();
        let chosen =
            data_centres.into_iter().flat_map(|data_centre| self.choose_peers(data_centre, random));
        chosen.map(|to| Query { to: to.clone(), sent: now }).collect()
    }

    fn choose_peers(
        &self,
        data_centre: &DataCentreName,
        random: u64,
    ) -> impl Iterator<Item = &HostName> {
        let in_data_centre: Vec<_> = self
            .hosts
            .iter()
            .filter(|(_, other)| *other == data_centre)
            .map(|(name, _)| name)
            .collect();
        let len = in_data_centre.len();
        let start = random % u64::try_from(len).unwrap_or(1).max(1);
        let start = usize::try_from(start).unwrap_or_default();
        (0..len.min(QUERIED_PER_DATA_CENTRE)).map(move |step| in_data_centre[(start + step) % len])
    }

    /// Returns the answer to a peer's query that was sent at `sent`.
    #[must_use]
    pub fn answer_query(&self, now: Instant, sent: Instant) -> Answer {
        let confirmed = self.confirmed.map(|at| now.since(at));
        Answer { sent, active: self.active, confirmed, unsettled: self.has_unsettled_commit(now) }
    }

    /// Records the answer of a peer. The peer's version was the newest one when it
    /// was confirmed, which is not earlier than `sent` minus its age.
    pub fn on_answer(&mut self, from: &HostName, answer: Answer) {
        if !self.hosts.contains_key(from) {
            return;
        }
        if let Some(at) = answer.confirmed.and_then(|age| before(answer.sent, age)) {
            self.on_head(at, answer.active);
        }
        let newer = self.reports.get(from).is_none_or(|report| report.sent <= answer.sent);
        if newer && answer.sent >= self.not_before {
            self.reports.insert(from.clone(), answer.into());
            self.down = self.down.max(self.store_down());
        }
    }

    /// Returns whether the node may go on serving the keys of its active version.
    #[must_use]
    pub fn key_status(&self, now: Instant) -> KeyStatus {
        let usable = |at: Instant| now < at + CUT_OFF_AFTER;
        match (self.confirmed, self.down) {
            (Some(at), _) if usable(at) => KeyStatus::Confirmed,
            (_, Some(at)) if usable(at) && !self.has_unsettled_commit(now) => KeyStatus::StoreDown,
            _ => KeyStatus::CutOff,
        }
    }

    /// Returns whether a commit of this node may take effect without the node's knowledge.
    #[must_use]
    pub fn has_unsettled_commit(&self, now: Instant) -> bool {
        self.unsettled.values().any(|until| now < *until)
    }

    /// Returns the time at which the store was certainly down for all nodes: the sending time
    /// of the oldest needed report. Reports of all live peers are needed, up to
    /// [`QUERIED_PER_DATA_CENTRE`] in each data centre, and every other data centre needs a
    /// live peer.
    fn store_down(&self) -> Option<Instant> {
        let others: BTreeSet<_> =
            self.hosts.values().filter(|data_centre| **data_centre != self.data_centre).collect();
        if others.is_empty() {
            return None;
        }
        let data_centres: BTreeSet<_> = self.hosts.values().collect();
        let needed = data_centres.into_iter().map(|data_centre| self.needed_reports(data_centre));
        let needed = needed.collect::<Option<Vec<_>>>()?;
        let oldest = needed.into_iter().flatten().min()?;
        let contradicted = |report: &Report| !self.agrees(report) && report.sent >= oldest;
        (!self.reports.values().any(contradicted)).then_some(oldest)
    }

    /// Returns the sending times of the needed reports of a data centre, or `None` if
    /// one is missing.
    fn needed_reports(&self, data_centre: &DataCentreName) -> Option<Vec<Instant>> {
        let members = || self.hosts.iter().filter(|(_, other)| *other == data_centre);
        let live = members().filter(|(name, _)| self.live.contains(*name)).count();
        if live == 0 && *data_centre != self.data_centre {
            return None;
        }
        let needed = live.min(QUERIED_PER_DATA_CENTRE);
        let reports = members().filter_map(|(name, _)| self.reports.get(name));
        let agreeing = reports.filter(|report| self.agrees(report));
        let mut sent: Vec<_> = agreeing.map(|report| report.sent).collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.truncate(needed);
        (sent.len() == needed).then_some(sent)
    }

    /// Returns whether a peer found the store down and has no newer version.
    fn agrees(&self, report: &Report) -> bool {
        report.down && report.active <= self.active
    }
}

/// Returns the time `age` before `at`, or `None` if there is no such time.
fn before(at: Instant, age: Duration) -> Option<Instant> {
    let age = u64::try_from(age.as_millis()).ok()?;
    at.as_millis().checked_sub(age).map(Instant::from_millis)
}
