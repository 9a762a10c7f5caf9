//! Choice of the node that owns a batch job, take-over of jobs whose owner is gone, and
//! reuse of the text that earlier owners and jobs have saved.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use monoio::time::{sleep, timeout};
use tamarackdock_platform::{Error, table::Row};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    Item, end,
    index::{StartGuard, VersionedHead},
    job::Job,
    lease,
    load::{self, Known, Listed},
    part::Part,
    progress::{self, Progress},
    rows::{self, JobHead},
    submit,
};
use crate::{
    balance::NodeRank,
    call::fingerprint,
    deployment::Name,
    members::NodeRun,
    node::Node,
    observed,
    peer::{self, PeerError, PeerRequest, PeerResponse},
    periodic,
};

/// Interval of the checks for orphaned jobs.
const INTERVAL: Duration = Duration::from_millis(150);
/// Time that each candidate waits for the one ranked before it.
const RANK_PAUSE: Duration = Duration::from_millis(700);
/// Time for which an owner's answer that it runs a job is believed.
const CONFIRMED_FOR: Duration = Duration::from_millis(1500);
/// The same for each node of the deployment, since all of them may ask one owner.
const CONFIRMED_FOR_PER_NODE: Duration = Duration::from_millis(10);
/// Most candidates that should own jobs which the other hosts wait for before a take-over.
const MAX_OWNERS_BEFORE: usize = 4;
/// Most candidates that are asked whether they can run a new job.
const MAX_ASKED: usize = 2;
/// Number of earlier jobs of a trainer whose text a new job may continue.
const MAX_CARRIED_JOBS: usize = 2;
/// Longest time for which the start of a job waits for the text of one earlier job.
const CARRY_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns the hash by which candidates for a key are ordered (rendezvous hashing). It
/// is the same for all runs of a host.
fn candidate_hash(key: &str, run: &NodeRun) -> u64 {
    fingerprint(format!("{key}/{}", run.host).as_bytes())
}

/// Returns the rank of a run among the candidates for a job. Candidates are ordered by
/// their hashes with the job's id, so that all nodes derive the same order.
pub(crate) fn rank(job: &str, own: &NodeRun, live: &[NodeRun]) -> usize {
    let mine = candidate_hash(job, own);
    live.iter().filter(|run| run.host != own.host && candidate_hash(job, run) < mine).count()
}

/// Returns for how long a run leaves an orphaned job to the candidates ranked before it.
/// If the job names this run as its owner, it looks orphaned to no other node and no other
/// candidate would take it over, so that this run does so at once.
pub(crate) fn takeover_delay(
    job: &str,
    owner: Option<&NodeRun>,
    own: &NodeRun,
    live: &[NodeRun],
    owners: &[NodeRun],
) -> Duration {
    let rank = || u32::try_from(takeover_rank(job, own, live, owners)).unwrap_or(u32::MAX);
    match owner {
        Some(owner) if owner == own => Duration::ZERO,
        Some(_) | None => RANK_PAUSE * rank(),
    }
}

/// Returns the rank of a run among the candidates for a take-over: first those that should own
/// jobs, then the other live ones, which wait for some of the first at most, as these may all be
/// cut off from the store.
pub(crate) fn takeover_rank(
    job: &str,
    own: &NodeRun,
    live: &[NodeRun],
    owners: &[NodeRun],
) -> usize {
    if owners.contains(own) {
        return rank(job, own, owners);
    }
    let others: Vec<_> = live.iter().filter(|run| !owners.contains(run)).cloned().collect();
    owners.len().min(MAX_OWNERS_BEFORE) + rank(job, own, &others)
}

/// Returns the rank of a run among all live ones in the candidate order of a key, and
/// their number.
pub(crate) fn caller_rank(key: &str, own: &NodeRun, live: &[NodeRun]) -> NodeRank {
    NodeRank { rank: rank(key, own, live), nodes: live.len().max(1) }
}

/// Returns the first candidates for a key. The jobs of a trainer share a key, so that one
/// node runs them all, takes all of them into account when it places their items, and
/// keeps its connections to targets from step to step.
pub(crate) fn candidates(key: &str, live: &[NodeRun]) -> Vec<NodeRun> {
    first_candidates(key, live, MAX_ASKED)
}

/// Returns the first `count` candidates for a key.
pub(crate) fn first_candidates(key: &str, live: &[NodeRun], count: usize) -> Vec<NodeRun> {
    let mut live: Vec<_> = live.iter().collect();
    live.sort_by_cached_key(|run| candidate_hash(key, run));
    live.into_iter().take(count).cloned().collect()
}

/// Returns the node that is to run a new job: the first candidate that answers. They are
/// asked because among many nodes the members' rows show late that one is gone. If no
/// candidate answers or the other nodes are not known yet, this node runs the job. While it
/// is about to stop, it leaves the job without an owner for the others.
pub(crate) async fn choose_owner(node: &Node, key: &str) -> Option<NodeRun> {
    for run in candidates(key, &node.members.owners()) {
        if run == node.members.own {
            return Some(run);
        }
        let Some(address) = node.members.address(&run) else { continue };
        match peer::ask(address, &PeerRequest::Alive, Duration::ZERO).await {
            // A node of an earlier release does not know this request and refuses it.
            Ok(PeerResponse::Alive(true)) | Err(PeerError::Malformed) => return Some(run),
            answer => slog::info!(node.log, "job: candidate skipped";
                "host" => &*run.host, "error" => answer.err().map(|error| error.to_string())),
        }
    }
    (!node.is_leaving()).then(|| node.members.own.clone())
}

/// Takes over orphaned jobs until the process ends: those without an owner, those whose
/// owner is gone, and those that this node owns but does not run.
pub(crate) async fn run(node: Rc<Node>) {
    let mut orphans: BTreeMap<Name, Instant> = BTreeMap::new();
    let mut confirmed: BTreeMap<Name, Instant> = BTreeMap::new();
    loop {
        sleep(INTERVAL).await;
        let now = BootClock.now();
        if node.is_leaving() || !node.members.is_up_to_date(now) {
            continue;
        }
        let found = find_orphans(&node);
        orphans.retain(|id, _| found.iter().any(|(job, _)| job == id));
        let (live, owners) = (node.members.live(), first_owners(&node));
        let nodes = u32::try_from(node.members.count()).unwrap_or(u32::MAX);
        let believed = CONFIRMED_FOR.max(CONFIRMED_FOR_PER_NODE * nodes);
        confirmed.retain(|_, at| now.since(*at) < believed);
        for (id, entry) in found {
            if confirmed.contains_key(&id) {
                continue;
            }
            let since = *orphans.entry(id.clone()).or_insert(now);
            let owner = entry.head.owner.as_ref();
            let delay = takeover_delay(&id, owner, &node.members.own, &live, &owners);
            if now.since(since) < delay + announcement_time(&node, owner, entry.revision) {
                continue;
            }
            orphans.remove(&id);
            if is_run_by_owner(&node, &id, owner).await {
                confirmed.insert(id, BootClock.now());
            } else if !load::has_room(&node, &entry.head) {
                // Another node may have memory for it.
                slog::debug!(node.log, "job: not taken over for lack of memory"; "job" => &*id,
                    "used" => node.job_memory.used());
            } else {
                take_over(&node, &id, entry).await;
            }
        }
    }
}

/// Returns the hosts that take jobs over before the others: those that should own jobs and are known
/// to renew their rows, if there are any.
fn first_owners(node: &Node) -> Vec<NodeRun> {
    let owners = node.members.owners();
    let established = node.members.established(&owners);
    if established.is_empty() { owners } else { established }
}

/// Returns the time that the owner of a job is given for its first row. A node that has just
/// started can own a job before others read that it lives.
fn announcement_time(node: &Node, owner: Option<&NodeRun>, revision: u64) -> Duration {
    let others = owner.filter(|owner| **owner != node.members.own);
    match others {
        Some(owner) if node.members.may_be_new(owner, revision) => {
            lease::gone_after(periodic::RENEWALS.shortest)
        }
        Some(_) | None => Duration::ZERO,
    }
}

/// Returns whether the owner of a job that looks orphaned says that it runs it. Its row can be
/// old only because the store was slow to take renewals, and then a take-over would start the
/// running items again.
async fn is_run_by_owner(node: &Node, job: &Name, owner: Option<&NodeRun>) -> bool {
    let Some(owner) = owner.filter(|owner| **owner != node.members.own) else { return false };
    // A renewal of an earlier run can take effect late, so that the row may name another run.
    let Some(address) = node.members.last_address(&owner.host) else { return false };
    let request = PeerRequest::Runs { job: job.clone() };
    let answer = peer::ask(address, &request, Duration::ZERO).await;
    let is_run = matches!(answer, Ok(PeerResponse::Runs(true)));
    slog::info!(node.log, "job: owner asked before a take-over"; "job" => &**job,
        "host" => &*owner.host, "runs" => is_run,
        "error" => answer.err().map(|error| error.to_string()));
    is_run
}

/// Returns whether this node runs a job, or starts it, and reaches the store: otherwise another
/// node should run it.
pub(crate) fn runs(node: &Node, job: &str) -> bool {
    let is_open = node.jobs.own_job(job).is_some_and(|job| !job.borrow().closed);
    let can_list = node.members.is_up_to_date(BootClock.now()) && !node.is_leaving();
    can_list && (is_open || node.jobs.is_starting(job))
}

fn find_orphans(node: &Node) -> Vec<(Name, VersionedHead)> {
    let heads = node.jobs.heads();
    let orphan = |id: &Name, head: &JobHead| match &head.owner {
        _ if head.ended || node.jobs.is_starting(id) => false,
        None => true,
        // This node has closed the job without being able to record that in the store, it
        // has become the owner by a commit whose answer was lost, or it could not read the
        // submission of a job that it received.
        Some(run) if *run == node.members.own => {
            node.jobs.own_job(id).is_none_or(|job| job.borrow().closed)
        }
        Some(run) => node.members.address(run).is_none(),
    };
    let found = heads.iter().filter(|(id, entry)| orphan(id, &entry.head));
    found.map(|(id, entry)| (id.clone(), entry.clone())).collect()
}

/// Starts a job that another node has accepted with this node as its owner.
pub(crate) async fn receive(node: Rc<Node>, id: Name, entry: VersionedHead, guard: StartGuard) {
    let (head, revision) = (entry.head, entry.revision);
    match load::load(&node, &id, &head, &Known::default()).await {
        Ok(Some(part)) => {
            slog::info!(node.log, "job: received"; "job" => &*id, "revision" => revision);
            let entry = VersionedHead { head, revision };
            let job = submit::create(&node, id, entry, part);
            submit::run(&node, &job, guard);
        }
        // Another node owns the job, or it was ended while it waited for memory.
        Ok(None) => {}
        // `find_orphans` soon returns this job, since this node owns it but does not run it.
        Err(error) => node.store_failed("receive", &error),
    }
}

/// Becomes the owner of a job, restores its results and texts, and starts it.
async fn take_over(node: &Rc<Node>, id: &Name, entry: VersionedHead) {
    let before = entry.head.owner.as_ref().map(|run| run.host.to_string());
    let head = JobHead {
        owner: Some(node.members.own.clone()),
        epoch: entry.head.epoch + 1,
        ..entry.head
    };
    let guard = node.jobs.mark_starting(id);
    let taken = async {
        let revision = end::write_head(node, id, &head, entry.revision).await?;
        node.jobs.update_head(id, VersionedHead { head: head.clone(), revision });
        observed::query(node);
        let listed = load::read_listed(node, id).await?;
        let known = Known { finished: listed.finished.clone(), ..Known::default() };
        let part = load::try_load(node, id, &head, &known).await?;
        let entry = VersionedHead { head: head.clone(), revision };
        let count = listed.first + listed.results.len();
        let (node, id) = (node.clone(), id.clone());
        let is_waiting = part.is_none();
        match part {
            Some(part) => restore(&node, &id, entry, listed, part, guard).await?,
            None => drop(monoio::spawn(restore_later(node, id, entry, listed, guard))),
        }
        Ok::<(usize, bool), Error>((count, is_waiting))
    };
    match taken.await {
        Ok((listed, is_waiting)) => slog::info!(node.log, "job: taken over"; "job" => &**id,
            "from" => before, "epoch" => head.epoch, "listed" => listed,
            "waits_for_memory" => is_waiting),
        Err(error) => {
            slog::warn!(node.log, "job: not taken over"; "job" => &**id,
                "from" => before, "error" => %error);
            // The known head may be out of date.
            if let Err(error) = end::read_head(node, id).await {
                node.store_failed("head", &error);
            }
        }
    }
}

/// Starts a job that this node has taken over, with its results and saved texts.
async fn restore(
    node: &Rc<Node>,
    id: &Name,
    entry: VersionedHead,
    listed: Listed,
    part: Part,
    guard: StartGuard,
) -> Result<(), Error> {
    let texts = read_progress(node, id, &item_ids(&part.submission.items)).await?;
    let job = submit::create(node, id.clone(), entry, part);
    {
        let mut job = job.borrow_mut();
        for (item, text) in texts {
            job.restore(&item, text, false);
        }
        job.mark_listed(&listed.finished);
        let results = listed.results.into_iter().map(Rc::new).collect();
        job.continue_listing(listed.first, results);
    }
    submit::run(node, &job, guard);
    Ok(())
}

/// Does the same once there is memory for the job, so that others are taken over meanwhile.
async fn restore_later(
    node: Rc<Node>,
    id: Name,
    entry: VersionedHead,
    listed: Listed,
    guard: StartGuard,
) {
    let known = Known { finished: listed.finished.clone(), ..Known::default() };
    let restored = match load::load(&node, &id, &entry.head, &known).await {
        Ok(Some(part)) => restore(&node, &id, entry, listed, part, guard).await,
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    // `find_orphans` soon returns this job, since this node owns it but does not run it.
    if let Err(error) = restored {
        node.store_failed("restore", &error);
    }
}

/// Returns the ids of items.
fn item_ids<'a>(items: impl IntoIterator<Item = &'a Item>) -> BTreeSet<Name> {
    items.into_iter().map(|item| item.id.clone()).collect()
}

/// Reads the saved text of some of a job's items from the store, by id. A job that ran in parts has
/// left the text of many others.
async fn read_progress(
    node: &Node,
    id: &str,
    items: &BTreeSet<Name>,
) -> Result<BTreeMap<String, Progress>, Error> {
    let prefix = rows::progress_key(id, "");
    let is_of_item = |row: &Row| {
        let rest = row.key.strip_prefix(&prefix).unwrap_or_default();
        items.contains(rest.split('/').next().unwrap_or_default())
    };
    let mut stored = Vec::new();
    let mut from = prefix.clone();
    loop {
        let page = node.store.range(prefix.clone(), from).await?;
        // The first possible key behind the last one.
        let Some(last) = page.last() else { break };
        from = format!("{}\0", last.key);
        stored.extend(page.into_iter().filter(is_of_item));
    }
    Ok(progress::join_segments(id, &stored))
}

/// Gives a job the text that earlier jobs of the same trainer left for items with the same
/// ids.
pub(crate) async fn carry_over(node: &Rc<Node>, job: &Rc<RefCell<Job>>) {
    let earlier = earlier_jobs(node, &job.borrow());
    if earlier.is_empty() {
        return;
    }
    let items = item_ids(&job.borrow().submission.items);
    for (id, head) in earlier {
        let texts = match node.jobs.own_job(&id) {
            Some(own) => unfinished_texts(&own.borrow()),
            None => match timeout(CARRY_TIMEOUT, read_progress(node, &id, &items)).await {
                Ok(Ok(texts)) => texts,
                Ok(Err(error)) => {
                    node.store_failed("carry", &error);
                    continue;
                }
                Err(_) => continue,
            },
        };
        let mut job = job.borrow_mut();
        let before = job.items.iter().filter(|item| item.carried).count();
        for (item, text) in texts {
            job.restore(&item, text.into_new_job(), true);
        }
        let carried = job.items.iter().filter(|item| item.carried).count() - before;
        if carried > 0 {
            slog::info!(node.log, "job: items carried over"; "job" => &*job.id,
                "from" => &*id, "step" => head.step, "items" => carried);
        }
    }
}

fn unfinished_texts(job: &Job) -> BTreeMap<String, Progress> {
    let items = job.items.iter().filter(|item| item.phase != super::job::Phase::Finished);
    items.map(|item| (item.request.id.as_ref().to_owned(), item.progress.clone())).collect()
}

/// Returns the newest earlier jobs of the same trainer, oldest first.
fn earlier_jobs(node: &Node, job: &Job) -> Vec<(Name, JobHead)> {
    let heads = node.jobs.heads();
    let same = |head: &JobHead| {
        head.model.is_some()
            && head.model == job.head.model
            && head.account == job.head.account
            && head.step < job.head.step
    };
    let mut earlier: Vec<_> = heads
        .iter()
        .filter(|(_, entry)| same(&entry.head))
        .map(|(id, entry)| (id.clone(), entry.head.clone()))
        .collect();
    earlier.sort_by_key(|(_, head)| std::cmp::Reverse(head.step));
    earlier.truncate(MAX_CARRIED_JOBS);
    // Restored last, the newest text of an item replaces older ones.
    earlier.reverse();
    earlier
}
