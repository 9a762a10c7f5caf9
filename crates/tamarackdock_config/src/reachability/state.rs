use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tamarackdock_types::{DataCentreName, HostName, clock::Instant};

use super::{Answer, Ask, Verdict, report::Report};
use crate::version::Number;

/// After this time without proof from the store the node asks its peers. It is
/// the poll interval of the head plus the time for a response.
pub const ASK_AFTER: Duration = Duration::from_millis(2200);
/// Time between two rounds of questions.
pub const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// A proof is used for this time. A withdrawn key works for up to 3 s; the rest
/// is for closing its streams.
pub const CUT_OFF_AFTER: Duration = Duration::from_millis(2800);
/// A peer without proof for this time reports that the store is down.
pub const STORE_DOWN_AFTER: Duration = Duration::from_secs(2);
/// Peers asked in each data centre, which bounds the traffic at 420 nodes. All
/// peers are asked where a data centre has no more than these.
pub const ASKED_PER_DATA_CENTRE: usize = 4;

/// Time for membership to find all hosts behind a link that works again.
pub const SETTLE_FOR: Duration = Duration::from_secs(2);

/// Proofs of one node that its keys are not withdrawn.
///
/// All proofs are dated by the *sending* of the request on the node's own clock,
/// since the response may be late.
#[derive(Debug)]
pub struct Reachability {
    data_centre: DataCentreName,
    hosts: BTreeMap<HostName, DataCentreName>,
    live: BTreeSet<HostName>,
    active: Number,
    confirmed: Option<Instant>,
    pending: Option<(Instant, Number)>,
    unsettled: BTreeMap<String, Instant>,
    reports: BTreeMap<HostName, Report>,
    down: Option<Instant>,
    not_before: Instant,
    next_ask: Instant,
}

impl Reachability {
    /// Makes the state of a node that has no proof yet.
    #[must_use]
    pub const fn new(data_centre: DataCentreName) -> Self {
        Self {
            data_centre,
            hosts: BTreeMap::new(),
            live: BTreeSet::new(),
            active: Number(0),
            confirmed: None,
            pending: None,
            unsettled: BTreeMap::new(),
            reports: BTreeMap::new(),
            down: None,
            not_before: Instant::from_millis(0),
            next_ask: Instant::from_millis(0),
        }
    }

    /// Sets the other hosts with their data centres, as in the platform's list.
    /// Hosts that can't be reached stay in it: they may reach the store.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = (HostName, DataCentreName)>) {
        self.hosts = hosts.into_iter().collect();
        self.reports.retain(|name, _| self.hosts.contains_key(name));
    }

    /// Sets the hosts that membership does not hold for dead.
    ///
    /// A change alters which reports are needed, so earlier ones no longer count:
    /// a host that left may have withdrawn a key that the others had not heard of.
    /// When a host returns, others behind the same link may follow, so reports
    /// count only after [`SETTLE_FOR`]. Once all listed hosts are live, as when a
    /// new host has joined, none can follow and reports count at once.
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

    /// Records that the store named `head` as newest version in response to a
    /// read sent at `sent`, or accepted it in the response to a commit sent then.
    /// A commit that was only found by reading back is no such proof, since later
    /// versions may exist.
    pub fn head(&mut self, sent: Instant, head: Number) {
        if head <= self.active {
            self.confirmed = self.confirmed.max(Some(sent));
        } else if self.pending.is_none_or(|(before, _)| before < sent) {
            self.pending = Some((sent, head));
        }
    }

    /// Records the version that became active.
    pub fn activated(&mut self, active: Number) {
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

    /// Records until when a commit of this node may take effect unnoticed, or
    /// `None` once the result of the operation is known.
    pub fn unsettled(&mut self, operation: &str, until: Option<Instant>) {
        match until {
            Some(until) => drop(self.unsettled.insert(operation.into(), until)),
            None => drop(self.unsettled.remove(operation)),
        }
    }

    /// Returns the questions to send now; `random` chooses the peers.
    pub fn tick(&mut self, now: Instant, random: u64) -> Vec<Ask> {
        self.unsettled.retain(|_, until| now < *until);
        let proven = self.confirmed.max(self.down);
        let due = proven.is_none_or(|at| now >= at + ASK_AFTER) && now >= self.next_ask;
        if !due {
            return Vec::new();
        }
        self.next_ask = now + ASK_INTERVAL;
        let centres: BTreeSet<_> = self.hosts.values().collect();
        let chosen = centres.into_iter().flat_map(|centre| self.choose(centre, random));
        chosen.map(|to| Ask { to: to.clone(), sent: now }).collect()
    }

    fn choose(&self, centre: &DataCentreName, random: u64) -> impl Iterator<Item = &HostName> {
        let in_centre: Vec<_> =
            self.hosts.iter().filter(|(_, other)| *other == centre).map(|(name, _)| name).collect();
        let len = in_centre.len();
        let start = random % u64::try_from(len).unwrap_or(1).max(1);
        let start = usize::try_from(start).unwrap_or_default();
        (0..len.min(ASKED_PER_DATA_CENTRE)).map(move |step| in_centre[(start + step) % len])
    }

    /// Answers a question of a peer.
    #[must_use]
    pub fn asked(&self, now: Instant, sent: Instant) -> Answer {
        let confirmed = self.confirmed.map(|at| now.since(at));
        Answer { sent, active: self.active, confirmed, unsettled: self.may_commit(now) }
    }

    /// Takes the answer of a peer. The peer's version was the newest one when it
    /// was confirmed, which is not earlier than `sent` less its age.
    pub fn answered(&mut self, from: &HostName, answer: Answer) {
        if !self.hosts.contains_key(from) {
            return;
        }
        if let Some(at) = answer.confirmed.and_then(|age| before(answer.sent, age)) {
            self.head(at, answer.active);
        }
        let newer = self.reports.get(from).is_none_or(|report| report.sent <= answer.sent);
        if newer && answer.sent >= self.not_before {
            self.reports.insert(from.clone(), answer.into());
            self.down = self.down.max(self.store_down());
        }
    }

    /// Tells whether the node may go on with its keys.
    #[must_use]
    pub fn verdict(&self, now: Instant) -> Verdict {
        let usable = |at: Instant| now < at + CUT_OFF_AFTER;
        match (self.confirmed, self.down) {
            (Some(at), _) if usable(at) => Verdict::Confirmed,
            (_, Some(at)) if usable(at) && !self.may_commit(now) => Verdict::StoreDown,
            _ => Verdict::CutOff,
        }
    }

    /// Tells whether a commit of this node may take effect unnoticed.
    #[must_use]
    pub fn may_commit(&self, now: Instant) -> bool {
        self.unsettled.values().any(|until| now < *until)
    }

    /// Returns the time at which the store was certainly down for all nodes: the
    /// oldest of the reports that are needed. Needed are those of all live peers,
    /// up to [`ASKED_PER_DATA_CENTRE`] in each data centre, and every other data
    /// centre needs a live peer.
    fn store_down(&self) -> Option<Instant> {
        let others: BTreeSet<_> =
            self.hosts.values().filter(|centre| **centre != self.data_centre).collect();
        if others.is_empty() {
            return None;
        }
        let centres: BTreeSet<_> = self.hosts.values().collect();
        let needed = centres.into_iter().map(|centre| self.needed(centre));
        let needed = needed.collect::<Option<Vec<_>>>()?;
        let oldest = needed.into_iter().flatten().min()?;
        let contradicted = |report: &Report| !self.agrees(report) && report.sent >= oldest;
        (!self.reports.values().any(contradicted)).then_some(oldest)
    }

    /// Returns the times of the needed reports of a data centre, or `None` if
    /// one is missing.
    fn needed(&self, centre: &DataCentreName) -> Option<Vec<Instant>> {
        let members = || self.hosts.iter().filter(|(_, other)| *other == centre);
        let live = members().filter(|(name, _)| self.live.contains(*name)).count();
        if live == 0 && *centre != self.data_centre {
            return None;
        }
        let needed = live.min(ASKED_PER_DATA_CENTRE);
        let reports = members().filter_map(|(name, _)| self.reports.get(name));
        let agreeing = reports.filter(|report| self.agrees(report));
        let mut sent: Vec<_> = agreeing.map(|report| report.sent).collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.truncate(needed);
        (sent.len() == needed).then_some(sent)
    }

    /// Tells whether a peer found the store down and has no newer version.
    fn agrees(&self, report: &Report) -> bool {
        report.down && report.active <= self.active
    }
}

fn before(at: Instant, age: Duration) -> Option<Instant> {
    let age = u64::try_from(age.as_millis()).ok()?;
    at.as_millis().checked_sub(age).map(Instant::from_millis)
}
