//! The heads of all batch jobs, as read from the store's feed, and the jobs that this
//! node runs.

use std::{
    cell::{Cell, Ref, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use tamarackdock_platform::table::{Batch, Change, FeedResponse};
use tamarackdock_types::clock::{BootClock, Clock};

use super::{
    end,
    estimate::MovePlan,
    job::Job,
    lease::Lease,
    lifetime,
    rows::{self, JobHead},
    takeover,
};
use crate::{
    balance::NodeRank,
    deployment::{Deployment, Name},
    members::NodeRun,
    node::Node,
    notify::Notify,
    peer::{self, PeerRequest},
    periodic,
    telemetry::excerpt,
};

/// Time that the store may hold a read of the feed open until there is a change. Polls on a silent
/// connection are noticed by their timeout only, within 3 s.
const FEED_WAIT: Duration = Duration::from_secs(1);
/// Number of newest jobs whose work is averaged as the demand for a model.
const DEMAND_JOBS: usize = 3;

/// A head with the revision of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct VersionedHead {
    pub(crate) head: JobHead,
    pub(crate) revision: u64,
}

/// Marks a job as one that this node is starting, until the guard is dropped.
#[derive(Debug)]
pub(crate) struct StartGuard {
    starting: Rc<RefCell<BTreeSet<Name>>>,
    job: Name,
}

impl Drop for StartGuard {
    fn drop(&mut self) {
        self.starting.borrow_mut().remove(&self.job);
    }
}

/// All jobs that this node knows of.
#[derive(Debug, Default)]
pub(crate) struct JobIndex {
    heads: RefCell<BTreeMap<Name, VersionedHead>>,
    /// Revision up to which the feed of heads has been read.
    revision: Cell<u64>,
    /// Jobs that this node runs, and for some time those that it has run.
    own_jobs: RefCell<BTreeMap<Name, Rc<RefCell<Job>>>>,
    /// Jobs that this node is starting.
    starting: Rc<RefCell<BTreeSet<Name>>>,
    /// Which runs should move.
    pub(crate) moves: RefCell<MovePlan>,
    /// What this node knows of its ownership of jobs.
    pub(crate) lease: RefCell<Lease>,
    /// Notified when a head changes or an item may start.
    pub(crate) changed: Notify,
}

impl JobIndex {
    /// Returns the head of a job. A job that is being removed counts as removed.
    pub(crate) fn head(&self, job: &str) -> Option<VersionedHead> {
        self.entry(job).filter(|entry| !entry.head.removing)
    }

    /// Returns the head of a job, also while the job is being removed.
    pub(crate) fn entry(&self, job: &str) -> Option<VersionedHead> {
        self.heads.borrow().get(job).cloned()
    }

    pub(crate) fn heads(&self) -> Ref<'_, BTreeMap<Name, VersionedHead>> {
        self.heads.borrow()
    }

    /// Records a head unless it is out of date, and returns whether it was recorded. A head that
    /// is not known although the feed has been read beyond it has been removed since.
    pub(crate) fn update_head(&self, job: &Name, entry: VersionedHead) -> bool {
        let mut heads = self.heads.borrow_mut();
        let known = heads.get(job).map_or(self.revision.get(), |known| known.revision);
        let is_newer = known < entry.revision;
        if is_newer {
            heads.insert(job.clone(), entry);
        }
        is_newer
    }

    /// Removes a head unless it is newer than `revision`, and returns whether it was removed.
    pub(crate) fn remove_head(&self, job: &str, revision: u64) -> bool {
        let mut heads = self.heads.borrow_mut();
        let is_older = heads.get(job).is_some_and(|known| known.revision <= revision);
        if is_older {
            heads.remove(job);
        }
        is_older
    }

    /// Sets the revision up to which the feed has been read.
    pub(crate) fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// Returns the known heads of a part that its snapshot would contain if they still existed.
    pub(crate) fn missing(&self, part: &str, snapshot: &Batch) -> Vec<Name> {
        let found: BTreeSet<&str> = snapshot.changes.iter().map(|row| row.key.as_str()).collect();
        let heads = self.heads.borrow();
        let is_missing = |id: &Name, entry: &VersionedHead| {
            rows::part(id) == part && entry.revision <= snapshot.revision && !found.contains(&**id)
        };
        let missing = heads.iter().filter(|(id, entry)| is_missing(id, entry));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// Returns a job that this node runs or ran a short time ago.
    pub(crate) fn own_job(&self, job: &str) -> Option<Rc<RefCell<Job>>> {
        self.own_jobs.borrow().get(job).cloned()
    }

    /// Marks a job as one that this node is starting, so that it isn't started again.
    pub(crate) fn mark_starting(&self, job: &Name) -> StartGuard {
        self.starting.borrow_mut().insert(job.clone());
        StartGuard { starting: self.starting.clone(), job: job.clone() }
    }

    /// Returns whether this node runs jobs or is starting one.
    pub(crate) fn is_busy(&self) -> bool {
        let open = |job: &Rc<RefCell<Job>>| !job.borrow().closed;
        !self.starting.borrow().is_empty() || self.own_jobs.borrow().values().any(open)
    }

    pub(crate) fn is_starting(&self, job: &str) -> bool {
        self.starting.borrow().contains(job)
    }

    /// Returns the jobs that this node runs, earlier steps first.
    pub(crate) fn open_jobs(&self) -> Vec<Rc<RefCell<Job>>> {
        let own = self.own_jobs.borrow();
        let mut open: Vec<_> = own.values().filter(|job| !job.borrow().closed).cloned().collect();
        open.sort_by_key(|job| job.borrow().head.step);
        open
    }

    pub(crate) fn insert(&self, job: Rc<RefCell<Job>>) {
        let id = job.borrow().id.clone();
        self.own_jobs.borrow_mut().insert(id, job);
        self.changed.notify_all();
    }

    /// Removes a closed job, unless this node has taken it over again in the meantime.
    pub(crate) fn remove(&self, job: &Rc<RefCell<Job>>) {
        let id = job.borrow().id.clone();
        let mut own = self.own_jobs.borrow_mut();
        if own.get(&id).is_some_and(|known| Rc::ptr_eq(known, job)) {
            own.remove(&id);
        }
    }

    /// Returns the rank of a node among those that own jobs.
    pub(crate) fn owner_rank(&self, own: &NodeRun) -> NodeRank {
        let heads = self.heads.borrow();
        let open = heads.values().filter(|entry| !entry.head.ended);
        let mut owners: Vec<_> = open.filter_map(|entry| entry.head.owner.as_ref()).collect();
        owners.sort_unstable();
        owners.dedup();
        let rank = owners.iter().filter(|owner| **owner < own).count();
        NodeRank { rank, nodes: owners.len().max(1) }
    }

    /// Returns the hosts that own jobs.
    pub(crate) fn owner_hosts(&self) -> BTreeSet<Name> {
        let heads = self.heads.borrow();
        let open = heads.values().filter(|entry| !entry.head.ended);
        open.filter_map(|entry| Some(entry.head.owner.as_ref()?.host.clone())).collect()
    }

    /// Returns the number of items in the newest jobs of the models, one job per model.
    pub(crate) fn item_count(&self, models: &[Name]) -> u64 {
        let heads = self.heads.borrow();
        let newest = |model: &Name| {
            let own = heads.values().filter(|entry| entry.head.model.as_ref() == Some(model));
            own.max_by_key(|entry| entry.head.step).map_or(0, |entry| entry.head.items as u64)
        };
        models.iter().map(newest).sum()
    }

    /// Returns by model the oldest version that each open step accepts, where it is known.
    pub(crate) fn open_steps(&self) -> BTreeMap<Name, Vec<u64>> {
        let heads = self.heads.borrow();
        let mut steps: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
        for VersionedHead { head, .. } in heads.values() {
            if let (false, Some(model), Some(oldest)) = (head.ended, &head.model, head.min_version)
            {
                steps.entry(model.clone()).or_default().push(oldest);
            }
        }
        steps
    }

    /// Returns by model the highest rank among its open jobs.
    pub(crate) fn ranks(&self, deployment: &Deployment) -> BTreeMap<Name, u32> {
        let heads = self.heads.borrow();
        let mut ranks: BTreeMap<Name, u32> = BTreeMap::new();
        for VersionedHead { head, .. } in heads.values().filter(|entry| !entry.head.ended) {
            let route = lifetime::route(head, deployment);
            if let (Some(model), Some(route)) = (&head.model, route) {
                let rank = deployment.rank(&route, head.account.as_ref());
                let known = ranks.entry(model.clone()).or_insert(rank);
                *known = rank.min(*known);
            }
        }
        ranks
    }

    /// Returns the models of the jobs that are open at a store time, and whose items are not out of
    /// time. A trainer that has left its job is no reason to keep a target for its model.
    pub(crate) fn open_models(&self, store_ms: Option<i64>) -> BTreeSet<Name> {
        let heads = self.heads.borrow();
        let is_open = |head: &JobHead| {
            let lifetime = head.terms.as_ref().map(|terms| terms.item_lifetime);
            !head.ended && lifetime.is_none_or(|lifetime| head.age(store_ms) <= lifetime)
        };
        let open = heads.values().map(|entry| &entry.head).filter(|head| is_open(head));
        open.filter_map(|head| head.model.clone()).collect()
    }

    /// Returns by model the mean work of its newest jobs, in estimated output tokens.
    pub(crate) fn demand(&self) -> BTreeMap<Name, u64> {
        let heads = self.heads.borrow();
        let mut newest: BTreeMap<Name, Vec<(u64, u64)>> = BTreeMap::new();
        for VersionedHead { head, .. } in heads.values() {
            if let Some(model) = &head.model {
                newest.entry(model.clone()).or_default().push((head.step, head.work));
            }
        }
        let mean = |mut steps: Vec<(u64, u64)>| {
            steps.sort_unstable_by(|left, right| right.cmp(left));
            steps.truncate(DEMAND_JOBS);
            steps.iter().map(|(_, work)| work).sum::<u64>() / steps.len().max(1) as u64
        };
        newest.into_iter().map(|(model, steps)| (model, mean(steps))).collect()
    }
}

/// Follows the heads of all jobs until the process ends.
pub(crate) async fn follow_heads(node: Rc<Node>) {
    let mut revision = None;
    let mut failures = 0;
    loop {
        let sent = BootClock.now();
        let needs_answer = node.jobs.lease.borrow().needs_heads();
        let wait = if needs_answer { Duration::ZERO } else { FEED_WAIT };
        let result = if let Some(after) = revision {
            node.store.changes(rows::HEADS_TABLE, after, wait).await
        } else {
            let parts = read_all(&node).await;
            let revision = replace_heads(&node, &parts);
            Ok(FeedResponse::Changes(Batch { changes: Vec::new(), revision }))
        };
        match result {
            Ok(FeedResponse::HistoryLost) => {
                slog::warn!(node.log, "jobs: history lost, reading again"; "after" => revision);
                revision = None;
            }
            Ok(FeedResponse::Changes(batch)) => {
                batch.changes.iter().for_each(|change| apply_change(&node, change));
                node.jobs.set_revision(batch.revision);
                node.jobs.lease.borrow_mut().record_heads(sent);
                revision = Some(batch.revision);
                failures = 0;
                monoio::time::sleep(node.members.interval(periodic::JOBS)).await;
            }
            Err(error) => {
                node.store_failed("jobs", &error);
                failures += 1;
                monoio::time::sleep(node.members.retry_pause(failures)).await;
            }
        }
    }
}

/// Reads the heads of all parts. A part that can't be read is read again on its own: otherwise
/// all nodes that start together would read the others twice.
async fn read_all(node: &Node) -> Vec<(String, Batch)> {
    let mut parts = Vec::new();
    for part in rows::parts() {
        let batch = read_part(node, &part).await;
        parts.push((part, batch));
    }
    parts
}

/// Replaces the known heads by those of the snapshots, and returns the lowest revision of these:
/// from there on, the feed repeats what changed during the reads. The feed does not tell which
/// heads were removed before.
fn replace_heads(node: &Rc<Node>, parts: &[(String, Batch)]) -> u64 {
    node.jobs.set_revision(0);
    for (part, batch) in parts {
        for job in node.jobs.missing(part, batch) {
            drop_head(node, &job, batch.revision);
        }
        batch.changes.iter().for_each(|change| apply_change(node, change));
    }
    parts.iter().map(|(_, batch)| batch.revision).min().unwrap_or_default()
}

async fn read_part(node: &Node, part: &str) -> Batch {
    let mut failures = 0;
    loop {
        match node.store.snapshot(rows::HEADS_TABLE, part.to_owned()).await {
            Ok(batch) => return batch,
            Err(error) => node.store_failed("jobs", &error),
        }
        failures += 1;
        monoio::time::sleep(node.members.retry_pause(failures)).await;
    }
}

fn apply_change(node: &Rc<Node>, change: &Change) {
    let job: Name = change.key.as_str().into();
    match change.value.as_deref().map(serde_json::from_str::<JobHead>) {
        None => drop_head(node, &job, change.revision),
        Some(Ok(head)) => {
            record_head(node, &job, VersionedHead { head, revision: change.revision });
        }
        Some(Err(error)) => {
            slog::error!(node.log, "jobs: malformed head ignored"; "job" => &*job,
                "error" => excerpt(&error));
        }
    }
    node.jobs.changed.notify_all();
}

/// Forgets a job that does not exist at `revision`, unless it has been written since.
pub(crate) fn drop_head(node: &Rc<Node>, job: &Name, revision: u64) {
    if node.jobs.remove_head(job, revision) {
        slog::info!(node.log, "jobs: head dropped"; "job" => &**job, "revision" => revision);
    }
    end::stop_removed(node, job, revision);
}

/// Records a head from the feed or from another node. Starts the job if it is new and
/// this node is its first owner, and stops it if it has ended or has another owner.
pub(crate) fn record_head(node: &Rc<Node>, job: &Name, entry: VersionedHead) {
    let VersionedHead { head, revision } = &entry;
    let is_new = node.jobs.entry(job).is_none();
    match node.jobs.update_head(job, entry.clone()) {
        true => slog::info!(node.log, "jobs: new revision of a head"; "job" => &**job,
            "revision" => revision, "owner" => head.owner.as_ref().map(|run| run.host.to_string()),
            "epoch" => head.epoch, "ended" => head.ended, "removing" => head.removing),
        false if is_new => {
            slog::info!(node.log, "jobs: head of a removed job ignored"; "job" => &**job,
                "revision" => revision);
            return;
        }
        false => {}
    }
    let is_owner = head.owner.as_ref() == Some(&node.members.own);
    let is_running = node.jobs.is_starting(job) || node.jobs.own_job(job).is_some();
    if is_new && is_owner && !is_running && head.epoch == 1 && !head.ended {
        let guard = node.jobs.mark_starting(job);
        monoio::spawn(takeover::receive(node.clone(), job.clone(), entry, guard));
    }
    end::check_ownership(node, job);
}

/// Sends the head of a job to its owner, so that it need not wait for the feed. If the
/// message is lost, the owner reads the head from the feed.
pub(crate) fn notify_owner(node: &Rc<Node>, job: &Name, entry: &VersionedHead) {
    let owner = entry.head.owner.as_ref().filter(|owner| **owner != node.members.own);
    let Some(address) = owner.and_then(|owner| node.members.address(owner)) else { return };
    let request = PeerRequest::Head {
        job: job.clone(),
        revision: entry.revision,
        head: Box::new(entry.head.clone()),
    };
    let (log, job) = (node.log.clone(), job.clone());
    monoio::spawn(async move {
        if let Err(error) = peer::ask(address, &request, Duration::ZERO).await {
            slog::info!(log, "job: owner not notified"; "job" => &*job, "error" => %error);
        }
    });
}
