//! The nodes of the deployment, by rows that each of them renews in the store.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_with::{DurationMilliSeconds, serde_as};
use slog::Logger;
use tamarackdock_platform::table::{Batch, Change, Write};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    clock,
    deployment::Name,
    node::Node,
    pace::{self, Pace, Rates},
};

/// Table of the rows.
pub(crate) const TABLE: &str = "member";
/// Part of the rows, apart from those that operators write.
pub(crate) const PART: &str = "m";
/// Time between looks whether this node's row is to be renewed.
const RENEWAL_TICK: Duration = Duration::from_millis(50);
/// Renewals of a row that are missing when its node counts as gone.
const MISSED_RENEWALS: u32 = 3;
/// Time from a renewal until it is read: the shortest interval of reads.
const READ_TIME: Duration = pace::MEMBERS.shortest;
/// Pause between reads after which the ages of rows start anew, as the other
/// nodes may not have reached the store either.
const BLIND_AFTER: Duration = Duration::from_secs(2);

/// A run of a node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Run {
    /// Host.
    pub(crate) host: Name,
    /// Random number of the process.
    pub(crate) number: u64,
}

/// What a node tells the others.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Row {
    /// Random number of the process.
    pub(crate) number: u64,
    /// Address for peers.
    pub(crate) peers: SocketAddr,
    /// Data centre.
    pub(crate) data_centre: Name,
    /// Unix time of the host less the store's time, in milliseconds.
    pub(crate) wall_offset_ms: i64,
    /// Whether the process is about to stop.
    pub(crate) leaving: bool,
    /// Time until the next renewal. Nodes that run batch jobs renew often, so that
    /// others notice their end soon; the others seldom where there are many.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "renewal_ms", default = "shortest_renewal")]
    pub(crate) renewal: Duration,
}

fn shortest_renewal() -> Duration {
    pace::RENEWALS.shortest
}

#[derive(Debug, Clone)]
struct Seen {
    row: Row,
    revision: u64,
    changed: Instant,
}

/// The nodes as last read.
#[derive(Debug, Default)]
pub(crate) struct Known {
    nodes: BTreeMap<Name, Seen>,
    read: Option<Instant>,
}

impl Known {
    /// Takes in all rows, as read at `now`.
    pub(crate) fn update(&mut self, batch: &Batch, now: Instant, log: &Logger) {
        let blind = self.read.is_none_or(|read| now.since(read) > BLIND_AFTER);
        self.read = Some(now);
        let mut nodes = BTreeMap::new();
        for change in &batch.changes {
            let Some(row) = decode::<Row>(change, "members", log) else { continue };
            let name: Name = change.key.as_str().into();
            let earlier = self.nodes.get(&name).filter(|seen| seen.revision == change.revision);
            let changed = earlier.filter(|_| !blind).map_or(now, |seen| seen.changed);
            nodes.insert(name, Seen { row, revision: change.revision, changed });
        }
        self.nodes = nodes;
    }

    fn is_fresh(&self, seen: &Seen) -> bool {
        let gone_after = seen.row.renewal * MISSED_RENEWALS + READ_TIME;
        self.read.is_some_and(|read| read.since(seen.changed) < gone_after)
    }

    /// Returns the peer address of a run that is alive.
    pub(crate) fn address(&self, run: &Run) -> Option<SocketAddr> {
        let seen = self.nodes.get(&run.host)?;
        (seen.row.number == run.number && self.is_fresh(seen)).then_some(seen.row.peers)
    }

    /// Returns the runs that are alive and stay.
    pub(crate) fn live(&self) -> Vec<Run> {
        let live = self.nodes.iter().filter(|(_, seen)| self.is_fresh(seen) && !seen.row.leaving);
        live.map(|(host, seen)| Run { host: host.clone(), number: seen.row.number }).collect()
    }

    /// Returns the number of nodes with a row, also of those that seem to be gone:
    /// their rows may be old because the store is too busy to take new ones.
    pub(crate) fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the median difference between the Unix time of hosts and the
    /// store's time, which a minority of wrong clocks does not move.
    pub(crate) fn wall_offset(&self) -> Option<i64> {
        let fresh = self.nodes.values().filter(|seen| self.is_fresh(seen));
        let mut offsets: Vec<i64> = fresh.map(|seen| seen.row.wall_offset_ms).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}

/// The nodes of the deployment as this one knows them.
pub(crate) struct Members {
    /// This run.
    pub(crate) own: Run,
    /// Addresses of some nodes, for the time before any row was read.
    seeds: Vec<SocketAddr>,
    rates: Rates,
    known: RefCell<Known>,
}

impl Members {
    pub(crate) fn new(own: Run, seeds: Vec<SocketAddr>, rates: Rates) -> Self {
        Self { own, seeds, rates, known: RefCell::default() }
    }

    /// Returns the live nodes that stay.
    pub(crate) fn live(&self) -> Vec<Run> {
        self.known.borrow().live()
    }

    /// Returns the time between calls to the store at a pace.
    pub(crate) fn interval(&self, pace: Pace) -> Duration {
        pace.interval(self.known.borrow().count(), self.rates)
    }

    /// Returns the pause after a feed that failed, the given number of times in a row.
    pub(crate) fn retry_pause(&self, failures: u32) -> Duration {
        let nodes = self.known.borrow().count();
        pace::RETRIES.retry_pause(failures, nodes, self.rates, rand::random())
    }

    /// Returns the pause after a renewal that failed, the given number of times in a row.
    fn renewal_pause(&self, failures: u32) -> Duration {
        let nodes = self.known.borrow().count();
        pace::RENEWALS.retry_pause(failures, nodes, self.rates, rand::random())
    }

    /// Returns the peer address of a run that is alive.
    pub(crate) fn address(&self, run: &Run) -> Option<SocketAddr> {
        self.known.borrow().address(run)
    }

    /// Returns the peer addresses of the other nodes as last read.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        if known.read.is_none() {
            return self.seeds.clone();
        }
        let others = known.nodes.iter().filter(|(host, _)| **host != self.own.host);
        others.filter(|(_, seen)| known.is_fresh(seen)).map(|(_, seen)| seen.row.peers).collect()
    }

    /// Returns whether the rows were read a short time ago.
    pub(crate) fn is_informed(&self, now: Instant) -> bool {
        self.known.borrow().read.is_some_and(|read| now.since(read) < BLIND_AFTER)
    }

    /// Returns the median difference between Unix time and the store's time.
    pub(crate) fn wall_offset(&self) -> Option<i64> {
        self.known.borrow().wall_offset()
    }
}

/// Decodes a row that nodes write for each other. One that can't be read is logged
/// with the name of its rows and left out.
pub(crate) fn decode<T: DeserializeOwned>(change: &Change, rows: &str, log: &Logger) -> Option<T> {
    match serde_json::from_str(change.value.as_deref().unwrap_or_default()) {
        Ok(row) => Some(row),
        Err(error) => {
            slog::warn!(log, "{}: row left out", rows; "key" => &change.key, "error" => %error);
            None
        }
    }
}

/// Renews the row of this node, and announces the next renewal.
pub(crate) async fn renew(
    node: &Node,
    renewal: Duration,
) -> Result<(), tamarackdock_platform::Error> {
    let now = BootClock.now();
    let store = node.store_clock.millis(now).unwrap_or_default();
    let row = Row {
        number: node.members.own.number,
        peers: node.settings().listen.peers,
        data_centre: node.data_centre.clone(),
        wall_offset_ms: clock::wall_millis() - store,
        leaving: node.is_leaving(),
        renewal,
    };
    let key = format!("{TABLE}@{PART}/{}", node.members.own.host);
    let value = serde_json::to_string(&row).ok();
    let writes = vec![Write { key, value }];
    node.commit(Vec::new(), writes).await.map(drop)
}

/// Renews this node's row for ever.
pub(crate) async fn run_renew(node: Rc<Node>) {
    let mut announced = Duration::ZERO;
    let mut renewed = BootClock.now();
    let mut failures = 0;
    loop {
        let now = BootClock.now();
        let busy = node.jobs.is_busy();
        let soon = busy && failures == 0;
        let due = announced.min(if soon { shortest_renewal() } else { Duration::MAX });
        if now.since(renewed) < due {
            monoio::time::sleep(RENEWAL_TICK).await;
            continue;
        }
        (renewed, announced) = (now, shortest_renewal());
        if !busy {
            announced = node.members.interval(pace::RENEWALS);
        }
        failures = match renew(&node, announced).await {
            Ok(()) => 0,
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

/// Reads the rows of all nodes for ever.
pub(crate) async fn run_read(node: Rc<Node>) {
    loop {
        match node.store.snapshot(TABLE, PART.into()).await {
            Ok(batch) => {
                let now = BootClock.now();
                let before = node.members.live();
                node.members.known.borrow_mut().update(&batch, now, &node.log);
                let after = node.members.live();
                if before != after {
                    let hosts: Vec<&str> = after.iter().map(|run| &*run.host).collect();
                    slog::info!(node.log, "members: changed"; "live" => hosts.join(","));
                }
            }
            Err(error) => node.store_failed("members", &error),
        }
        monoio::time::sleep(node.members.interval(pace::MEMBERS)).await;
    }
}
