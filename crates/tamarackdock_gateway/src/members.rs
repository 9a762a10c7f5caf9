//! Membership: the nodes of the deployment, by the rows that each node renews in
//! the store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_with::{DurationMilliSeconds, serde_as};
use slog::Logger;
use tamarackdock_platform::table::{Batch, Change, FeedResponse, Write};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    batch::lease,
    call::timeout_at,
    clock,
    deployment::Name,
    limit::{Notice, permits},
    node::Node,
    periodic::{self, PeriodicCall, Rates},
    telemetry::excerpt,
};

/// Table of the members' rows.
pub(crate) const TABLE: &str = "member";
/// Part of the table that holds the rows, separate from what operators write.
pub(crate) const PART: &str = "m";
/// Longest time between reads over which the ages of rows are kept, where reads are not planned to be
/// rarer. After a longer one they start from zero, as the other nodes may not have reached the store
/// either.
const MAX_READ_GAP: Duration = Duration::from_secs(2);
/// Longest delay of a read that is planned for later than [`MAX_READ_GAP`].
const MAX_READ_DELAY: Duration = Duration::from_secs(1);
/// Time for which a node that seems to be gone counts for the intervals of periodic calls.
const COUNTED_FOR: Duration = Duration::from_secs(10);

/// Fewest hosts that all batch jobs of a deployment are left to.
const MIN_OWNERS: usize = 3;

/// Time between checks whether the store's time is known, before the first renewal.
const CLOCK_CHECK: Duration = Duration::from_millis(10);

/// One run of a node's process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct NodeRun {
    pub(crate) host: Name,
    /// Random number drawn at the start of the process.
    pub(crate) number: u64,
}

/// A node's row, which tells the other nodes about it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Row {
    /// Random number drawn at the start of the process.
    pub(crate) number: u64,
    /// Address that the node listens on for peers.
    pub(crate) peers: SocketAddr,
    pub(crate) data_centre: Name,
    /// Unix time of the host minus the store's time, in milliseconds.
    pub(crate) wall_offset_ms: i64,
    /// Whether a planned stop of the process has begun.
    pub(crate) leaving: bool,
    /// Whether the node has lost its paths to all targets.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) paths_lost: bool,
    /// Time until the next renewal. Nodes that run batch jobs renew often, so that
    /// others soon notice when they fail. In large deployments idle nodes renew
    /// rarely.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "renewal_ms", default = "shortest_renewal")]
    pub(crate) renewal: Duration,
    /// Limits of the targets for which the node grants permits. A node that has just started
    /// learns them here before it sends anything.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) limits: Vec<Notice>,
    /// Processor cores of the process in thousandths, if jobs go to the hosts that have most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) millicores: Option<u32>,
}

fn shortest_renewal() -> Duration {
    periodic::RENEWALS.shortest
}

#[derive(Debug, Clone)]
struct Member {
    row: Row,
    revision: u64,
    /// When this node first read this revision of the row, or first read it again after a
    /// gap.
    changed: Instant,
    /// Whether this node has read two revisions that the same run wrote.
    has_renewed: bool,
}

/// The members' rows as last read.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    nodes: BTreeMap<Name, Member>,
    last_read: Option<Instant>,
    /// Time from the last read to the next one.
    read_interval: Duration,
}

impl MemberTable {
    /// Replaces the table by all rows, as read at `now`.
    pub(crate) fn update(&mut self, batch: &Batch, now: Instant, log: &Logger) {
        let hosts: BTreeSet<&str> =
            batch.changes.iter().map(|change| change.key.as_str()).collect();
        self.nodes.retain(|host, _| hosts.contains(&**host));
        self.apply(batch, now, log);
    }

    /// Applies the rows that have changed since the last read, as read at `now`.
    pub(crate) fn apply(&mut self, batch: &Batch, now: Instant, log: &Logger) {
        if self.last_read.is_none_or(|read| now.since(read) > self.max_read_gap()) {
            self.nodes.values_mut().for_each(|member| member.changed = now);
        }
        self.last_read = Some(now);
        for change in &batch.changes {
            let known = self.nodes.get(change.key.as_str());
            if known.is_some_and(|member| member.revision == change.revision) {
                continue;
            }
            let row = change.value.as_ref();
            let row: Option<Row> = row.and_then(|_| decode_row(change, "members", log));
            match row {
                Some(row) => {
                    let revision = change.revision;
                    let has_renewed = known.is_some_and(|known| known.row.number == row.number);
                    let member = Member { row, revision, changed: now, has_renewed };
                    self.nodes.insert(change.key.as_str().into(), member);
                }
                None => {
                    self.nodes.remove(change.key.as_str());
                }
            }
        }
    }

    /// Sets the time from the last read to the next one.
    pub(crate) fn plan_read(&mut self, interval: Duration) {
        self.read_interval = interval;
    }

    /// Returns the longest time between reads over which the ages of rows are kept. If it were not
    /// longer than the interval of the reads, each one would count as the first after a gap, and no
    /// node would ever be gone. See `docs/incidents/rows-of-replaced-hosts.md`.
    fn max_read_gap(&self) -> Duration {
        MAX_READ_GAP.max(self.read_interval + MAX_READ_DELAY)
    }

    fn is_live(&self, member: &Member) -> bool {
        let gone_after = lease::gone_after(member.row.renewal);
        self.last_read.is_some_and(|read| read.since(member.changed) < gone_after)
    }

    /// Returns the peer address of a run that is live.
    pub(crate) fn address(&self, run: &NodeRun) -> Option<SocketAddr> {
        self.member(run).filter(|member| self.is_live(member)).map(|member| member.row.peers)
    }

    /// Returns the peer address in the last row of a host, whichever of its runs wrote it.
    pub(crate) fn last_address(&self, host: &Name) -> Option<SocketAddr> {
        self.nodes.get(host).map(|member| member.row.peers)
    }

    /// Returns whether a run may have started after its host's row was last read, so that it has no
    /// row yet. `named` is the revision of a row that names the run.
    pub(crate) fn may_be_new(&self, run: &NodeRun, named: u64) -> bool {
        let member = self.nodes.get(&run.host);
        member.is_none_or(|member| member.row.number != run.number && member.revision < named)
    }

    fn member(&self, run: &NodeRun) -> Option<&Member> {
        self.nodes.get(&run.host).filter(|member| member.row.number == run.number)
    }

    /// Returns the live runs that are not leaving.
    pub(crate) fn live(&self) -> Vec<NodeRun> {
        self.live_where(|_| true)
    }

    /// Returns the live runs that are not leaving and have paths to the targets, in the data
    /// centres for which the condition holds.
    pub(crate) fn live_with_paths(&self, is_in: impl Fn(&Name) -> bool) -> Vec<NodeRun> {
        self.live_where(|row| is_in(&row.data_centre) && !row.paths_lost)
    }

    /// Returns the live runs that should own batch jobs. Where hosts announce their cores, these
    /// are the ones with at least half as many as the largest one: the owner of a step reads its
    /// submission and all its events, which takes a host with a tenth of a core a tenth of a second
    /// more before the first item starts.
    pub(crate) fn owners(&self) -> Vec<NodeRun> {
        let live = self.live();
        let cores = |run: &NodeRun| self.member(run).and_then(|member| member.row.millicores);
        let Some(most) = live.iter().filter_map(cores).max() else { return live };
        let large: Vec<_> =
            live.iter().filter(|run| cores(run).is_some_and(|cores| cores >= most / 2)).collect();
        match large.len() {
            0..MIN_OWNERS => live,
            _ => large.into_iter().cloned().collect(),
        }
    }

    /// Returns those of some runs that are known to renew their rows. Others may have written one row
    /// and ended, and still count as live by the time that they announced in it. Where many hosts
    /// were replaced, these can be far more than the ones that run.
    pub(crate) fn established(&self, runs: &[NodeRun]) -> Vec<NodeRun> {
        let is_established =
            |run: &&NodeRun| self.member(run).is_some_and(|member| member.has_renewed);
        runs.iter().filter(is_established).cloned().collect()
    }

    fn live_where(&self, condition: impl Fn(&Row) -> bool) -> Vec<NodeRun> {
        let live = self.nodes.iter().filter(|(_, member)| {
            condition(&member.row) && self.is_live(member) && !member.row.leaving
        });
        live.map(|(host, member)| NodeRun { host: host.clone(), number: member.row.number })
            .collect()
    }

    /// Returns for how long a node has not renewed its row, up to the last renewal of the host `own`.
    /// What follows says nothing: the store may be too busy to accept renewals. `None` without a row
    /// of `own`.
    fn silence(&self, member: &Member, own: &str) -> Option<Duration> {
        Some(self.nodes.get(own)?.changed.since(member.changed))
    }

    /// Returns the number of nodes that share the store's rates, as the host `own` sees it. Nodes
    /// that seem to be gone still count for some time, and for as long as renewals of `own` fail too.
    pub(crate) fn count(&self, own: &str) -> usize {
        let counts = |member: &&Member| {
            let counted_for = lease::gone_after(member.row.renewal) + COUNTED_FOR;
            self.silence(member, own).is_none_or(|silence| silence < counted_for)
        };
        self.nodes.values().filter(counts).count()
    }

    /// Returns the hosts that have not renewed their rows for longer than `keep`, with the revisions
    /// of these.
    pub(crate) fn silent_for(&self, keep: Duration, own: &str) -> Vec<(Name, u64)> {
        let is_silent =
            |member: &Member| self.silence(member, own).is_some_and(|silence| silence > keep);
        let silent = self.nodes.iter().filter(|(_, member)| is_silent(member));
        silent.map(|(host, member)| (host.clone(), member.revision)).collect()
    }

    /// Returns the median difference between the Unix time of the live hosts and the
    /// store's time, in milliseconds. A minority of wrong clocks does not affect it.
    pub(crate) fn wall_offset(&self) -> Option<i64> {
        let live = self.nodes.values().filter(|member| self.is_live(member));
        let mut offsets: Vec<i64> = live.map(|member| member.row.wall_offset_ms).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}

/// The membership as this node knows it.
pub(crate) struct Members {
    /// The run of this process.
    pub(crate) own: NodeRun,
    /// Peer addresses of some nodes, used until the rows are first read.
    seeds: Vec<SocketAddr>,
    rates: Rates,
    table: RefCell<MemberTable>,
}

impl Members {
    pub(crate) fn new(own: NodeRun, seeds: Vec<SocketAddr>, rates: Rates) -> Self {
        Self { own, seeds, rates, table: RefCell::default() }
    }

    /// Returns the live runs that are not leaving.
    pub(crate) fn live(&self) -> Vec<NodeRun> {
        self.table.borrow().live()
    }

    /// Returns the live runs that are not leaving and have paths to the targets, in the data
    /// centres for which the condition holds.
    pub(crate) fn live_with_paths(&self, is_in: impl Fn(&Name) -> bool) -> Vec<NodeRun> {
        self.table.borrow().live_with_paths(is_in)
    }

    /// Returns the live runs that should own batch jobs.
    pub(crate) fn owners(&self) -> Vec<NodeRun> {
        self.table.borrow().owners()
    }

    /// Returns those of some runs that are known to renew their rows.
    pub(crate) fn established(&self, runs: &[NodeRun]) -> Vec<NodeRun> {
        self.table.borrow().established(runs)
    }

    /// Returns the number of nodes that share the store's rates.
    pub(crate) fn count(&self) -> usize {
        self.table.borrow().count(&self.own.host)
    }

    /// Returns the hosts whose rows are no longer needed, see [`MemberTable::silent_for`].
    pub(crate) fn silent_for(&self, keep: Duration) -> Vec<(Name, u64)> {
        self.table.borrow().silent_for(keep, &self.own.host)
    }

    /// Returns the time between two periodic calls of this node to the store.
    pub(crate) fn interval(&self, call: PeriodicCall) -> Duration {
        call.interval(self.count(), self.rates)
    }

    /// Returns the same for a call whose rows are spread over some parts of their table.
    pub(crate) fn interval_in_parts(&self, call: PeriodicCall, parts: usize) -> Duration {
        call.interval(self.count().div_ceil(parts.max(1)), self.rates)
    }

    /// Returns the pause before a feed is polled again after `failures` failed polls
    /// in a row.
    pub(crate) fn retry_pause(&self, failures: u32) -> Duration {
        periodic::RETRIES.retry_pause(failures, self.count(), self.rates, rand::random())
    }

    /// Returns the pause before a renewal after `failures` failed ones in a row.
    fn renewal_pause(&self, failures: u32) -> Duration {
        periodic::RENEWALS.retry_pause(failures, self.count(), self.rates, rand::random())
    }

    /// Returns the peer address of a run that is live.
    pub(crate) fn address(&self, run: &NodeRun) -> Option<SocketAddr> {
        self.table.borrow().address(run)
    }

    /// Returns the peer address in the last row of a host, whichever of its runs wrote it.
    pub(crate) fn last_address(&self, host: &Name) -> Option<SocketAddr> {
        self.table.borrow().last_address(host)
    }

    /// Returns whether a run that a row of this revision names may have no row yet.
    pub(crate) fn may_be_new(&self, run: &NodeRun, named: u64) -> bool {
        self.table.borrow().may_be_new(run, named)
    }

    /// Returns the peer addresses of the other live nodes, or the seeds before the
    /// rows are first read.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        if table.last_read.is_none() {
            return self.seeds.clone();
        }
        let others = table.nodes.iter().filter(|(host, _)| **host != self.own.host);
        others
            .filter(|(_, member)| table.is_live(member))
            .map(|(_, member)| member.row.peers)
            .collect()
    }

    /// Returns whether the rows were read recently enough to tell who is live.
    pub(crate) fn is_up_to_date(&self, now: Instant) -> bool {
        let table = self.table.borrow();
        table.last_read.is_some_and(|read| now.since(read) < table.max_read_gap())
    }

    /// Returns the median difference between Unix time and the store's time, in
    /// milliseconds.
    pub(crate) fn wall_offset(&self) -> Option<i64> {
        self.table.borrow().wall_offset()
    }
}

/// Returns the key of a host's row.
pub(crate) fn row_key(host: &str) -> String {
    format!("{TABLE}@{PART}/{host}")
}

/// Decodes a row that nodes write for each other. A row that can't be decoded is
/// logged under `rows`, the name of its kind, and ignored.
pub(crate) fn decode_row<T: DeserializeOwned>(
    change: &Change,
    rows: &str,
    log: &Logger,
) -> Option<T> {
    match serde_json::from_str(change.value.as_deref().unwrap_or_default()) {
        Ok(row) => Some(row),
        Err(error) => {
            slog::warn!(log, "{}: row ignored", rows;
                "key" => &change.key, "error" => excerpt(&error));
            None
        }
    }
}

/// Returns the Unix time of this host minus the store's time, in milliseconds. While this node
/// does not know the store's time, it repeats the median of the others: a wrong value would
/// move their common time.
fn own_wall_offset(node: &Node) -> Option<i64> {
    let store = node.store_clock.millis(BootClock.now());
    store.map(|store| clock::unix_millis() - store).or_else(|| node.members.wall_offset())
}

/// Renews the row of this node, which announces the time until the next renewal. Nothing can be
/// announced before the store's time is known.
pub(crate) async fn renew(
    node: &Node,
    renewal: Duration,
    limits: Vec<Notice>,
) -> Result<(), tamarackdock_platform::Error> {
    let wall_offset_ms = own_wall_offset(node).ok_or(tamarackdock_platform::Error::Unreachable)?;
    let settings = node.settings();
    let row = Row {
        number: node.members.own.number,
        peers: settings.listen.peers,
        data_centre: node.data_centre.clone(),
        wall_offset_ms,
        leaving: node.is_leaving(),
        paths_lost: node.paths.are_lost(),
        renewal,
        millicores: settings.scheduling.adaptive.then(|| settings.limits.millicores()),
        limits,
    };
    let key = row_key(&node.members.own.host);
    let value = serde_json::to_string(&row).ok();
    let writes = vec![Write { key, value }];
    lease::renew(node, renewal, writes).await
}

/// Renews this node's row whenever it is due. Never returns.
pub(crate) async fn run_renew(node: Rc<Node>) {
    while own_wall_offset(&node).is_none() {
        monoio::time::sleep(CLOCK_CHECK).await;
    }
    let mut announced = Duration::ZERO;
    let mut renewed = BootClock.now();
    let mut failures = 0;
    let mut published = (Vec::new(), false);
    loop {
        let now = BootClock.now();
        let busy = node.jobs.is_busy();
        let news = (permits::own_notices(&node), node.paths.are_lost());
        let often = (busy || news != published) && failures == 0;
        let due = announced.min(if often { shortest_renewal() } else { Duration::MAX });
        if now.since(renewed) < due {
            // A job that starts, a limit that changes and paths that are lost or come back bring
            // the renewal forward.
            let seen = node.jobs.changed.count();
            timeout_at(renewed + due, node.jobs.changed.changed_since(seen)).await;
            continue;
        }
        (renewed, announced) = (now, shortest_renewal());
        if !busy {
            announced = node.members.interval(periodic::RENEWALS);
        }
        failures = match renew(&node, announced, news.0.clone()).await {
            Ok(()) => {
                published = news;
                0
            }
            Err(error) => {
                node.store_failed("renew", &error);
                failures + 1
            }
        };
        if failures > 0 {
            announced = node.members.renewal_pause(failures);
        }
    }
}

/// Reads the rows that nodes have renewed, at intervals. Reading all rows each time would cost
/// the square of the number of nodes. Never returns.
pub(crate) async fn run_read(node: Rc<Node>) {
    let mut revision = None;
    loop {
        let read = match revision {
            Some(after) => node.store.changes(TABLE, after, Duration::ZERO).await,
            None => node.store.snapshot(TABLE, PART.into()).await.map(FeedResponse::Changes),
        };
        match read {
            Ok(FeedResponse::Changes(batch)) => {
                record(&node, &batch, revision.is_none());
                revision = Some(batch.revision);
            }
            Ok(FeedResponse::HistoryLost) => {
                slog::warn!(node.log, "members: history lost, reading again"; "after" => revision);
                revision = None;
                continue;
            }
            Err(error) => node.store_failed("members", &error),
        }
        let interval = node.members.interval(periodic::MEMBERS);
        node.members.table.borrow_mut().plan_read(interval);
        monoio::time::sleep(interval).await;
    }
}

/// Takes note of the limits in rows that have changed.
fn record_limits(node: &Node, batch: &Batch) {
    let table = node.members.table.borrow();
    let members = batch.changes.iter().filter_map(|change| table.nodes.get(change.key.as_str()));
    for Notice { target, started, observation } in members.flat_map(|member| &member.row.limits) {
        if node.limits.borrow_mut().record(target, *started, *observation) {
            slog::info!(node.log, "targets: limit heard of"; "target" => &**target,
                "spacing_ms" => observation.spacing.map(|spacing| spacing.as_millis()));
        }
    }
}

/// Records rows as read just now, and logs which nodes have come or gone.
fn record(node: &Rc<Node>, batch: &Batch, is_snapshot: bool) {
    let now = BootClock.now();
    let before = node.members.live();
    {
        let mut table = node.members.table.borrow_mut();
        if is_snapshot {
            table.update(batch, now, &node.log);
        } else {
            table.apply(batch, now, &node.log);
        }
    }
    record_limits(node, batch);
    let after = node.members.live();
    if before == after {
        return;
    }
    permits::report_to_new_limiters(node, &before, &after);
    let hosts = |runs: &[NodeRun], others: &[NodeRun]| {
        let missing = runs.iter().filter(|run| !others.contains(run));
        missing.map(|run| run.host.to_string()).collect::<Vec<_>>().join(",")
    };
    slog::info!(node.log, "members: live nodes changed"; "come" => hosts(&after, &before),
        "gone" => hosts(&before, &after), "live" => after.len());
}
