//! Take-over of batch jobs whose node is gone, and text that earlier runs left.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use monoio::time::{sleep, timeout};
use tamarackdock_platform::Error;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    commit, end,
    index::Entry,
    job::Job,
    progress::{self, Progress},
    rows::{self, Head},
    submit,
};
use crate::{
    balance::Place,
    call::fingerprint,
    deployment::Name,
    members::Run,
    node::Node,
    peer::{self, PeerError, Question, Response},
};

/// Time between looks for jobs without a node.
const INTERVAL: Duration = Duration::from_millis(150);
/// Time that each candidate leaves to the one before it.
const RANK_PAUSE: Duration = Duration::from_millis(700);
/// Candidates that are asked whether they can run a new job.
const ASKED: usize = 2;
/// Jobs of a trainer whose text may be continued.
const CARRIED_JOBS: usize = 2;
/// Longest time for which the start of a job waits for such text.
const CARRY_TIMEOUT: Duration = Duration::from_millis(200);

fn weight(key: &str, run: &Run) -> u64 {
    fingerprint(format!("{key}/{}", run.host).as_bytes())
}

/// Returns the rank of a run among the candidates for a job: the order of
/// their hashes with the job, the same on all nodes.
pub(crate) fn rank(job: &str, own: &Run, live: &[Run]) -> usize {
    let mine = weight(job, own);
    live.iter().filter(|run| run.host != own.host && weight(job, run) < mine).count()
}

/// Returns for how long a run leaves a job without a node to others. A job that
/// names this run as its owner is an orphan to nobody else, so that none of the
/// candidates before it would act: it is taken at once.
pub(crate) fn pause(job: &str, owner: Option<&Run>, own: &Run, live: &[Run]) -> Duration {
    match owner {
        Some(owner) if owner == own => Duration::ZERO,
        Some(_) | None => RANK_PAUSE * u32::try_from(rank(job, own, live)).unwrap_or(u32::MAX),
    }
}

/// Returns the place of a run among all live ones for what has a key.
pub(crate) fn place(key: &str, own: &Run, live: &[Run]) -> Place {
    Place { rank: rank(key, own, live), of: live.len().max(1) }
}

/// Returns the first candidates for what has a key. The jobs of a trainer have
/// one key, so that one node runs them all, places their items with regard to
/// each other, and keeps its connections to targets from step to step.
pub(crate) fn first(key: &str, live: &[Run]) -> Vec<Run> {
    let mut live: Vec<_> = live.iter().collect();
    live.sort_by_cached_key(|run| weight(key, run));
    live.into_iter().take(ASKED).cloned().collect()
}

/// Returns the node that shall run a new job: the first candidate that answers,
/// since the rows show the end of one among many late. Before the other nodes are
/// known this one runs the job. While it is about to stop it leaves the job to the
/// others.
pub(crate) async fn owner(node: &Node, key: &str) -> Option<Run> {
    for run in first(key, &node.members.live()) {
        if run == node.members.own {
            return Some(run);
        }
        let Some(address) = node.members.address(&run) else { continue };
        match peer::ask(address, &Question::Alive, Duration::ZERO).await {
            // A node of an earlier release does not know the question.
            Ok(Response::Alive(true)) | Err(PeerError::Malformed) => return Some(run),
            answer => slog::info!(node.log, "job: candidate left out";
                "host" => &*run.host, "error" => answer.err().map(|error| error.to_string())),
        }
    }
    (!node.is_leaving()).then(|| node.members.own.clone())
}

/// Takes over jobs without a node for ever.
pub(crate) async fn run(node: Rc<Node>) {
    let mut orphans: BTreeMap<Name, Instant> = BTreeMap::new();
    loop {
        sleep(INTERVAL).await;
        let now = BootClock.now();
        if node.is_leaving() || !node.members.is_informed(now) {
            continue;
        }
        let found = find(&node);
        orphans.retain(|id, _| found.iter().any(|(job, _)| job == id));
        let live = node.members.live();
        for (id, entry) in found {
            let since = *orphans.entry(id.clone()).or_insert(now);
            let owner = entry.head.owner.as_ref();
            if now.since(since) >= pause(&id, owner, &node.members.own, &live) {
                orphans.remove(&id);
                take(&node, &id, entry).await;
            }
        }
    }
}

fn find(node: &Node) -> Vec<(Name, Entry)> {
    let heads = node.jobs.heads();
    let orphan = |id: &Name, head: &Head| match &head.owner {
        _ if head.ended || node.jobs.is_opening(id) => false,
        None => true,
        // A run that lost its job before it could store that, or a commit whose
        // answer was lost.
        Some(run) if *run == node.members.own => {
            node.jobs.own(id).is_none_or(|job| job.borrow().closed)
        }
        Some(run) => node.members.address(run).is_none(),
    };
    let found = heads.iter().filter(|(id, entry)| orphan(id, &entry.head));
    found.map(|(id, entry)| (id.clone(), entry.clone())).collect()
}

/// Opens a job that another node accepted and left to this one.
pub(crate) async fn receive(node: Rc<Node>, id: Name, entry: Entry) {
    let (head, revision) = (entry.head, entry.revision);
    let opening = node.jobs.begin_opening(&id);
    match load(&node, &id, &head).await {
        Ok(submission) => {
            slog::info!(node.log, "job: received"; "job" => &*id, "revision" => revision);
            submit::open(&node, id, head, revision, Rc::new(submission), opening);
        }
        // It is found as a job without a node soon.
        Err(error) => node.store_failed("receive", &error),
    }
}

async fn take(node: &Rc<Node>, id: &Name, entry: Entry) {
    let before = entry.head.owner.as_ref().map(|run| run.host.to_string());
    let head =
        Head { owner: Some(node.members.own.clone()), epoch: entry.head.epoch + 1, ..entry.head };
    let opening = node.jobs.begin_opening(id);
    let taken = async {
        let revision = end::write_head(node, id, &head, entry.revision).await?;
        node.jobs.record(id, Entry { head: head.clone(), revision });
        let submission = load(node, id, &head).await?;
        let mut listed = Vec::new();
        loop {
            let more = commit::stored(node, id, listed.len()).await?;
            if more.is_empty() {
                break;
            }
            listed.extend(more);
        }
        let texts = progress(node, id).await?;
        let submission = Rc::new(submission);
        let job = submit::open(node, id.clone(), head.clone(), revision, submission, opening);
        let mut job = job.borrow_mut();
        for (item, text) in texts {
            job.restore(&item, text, false);
        }
        job.adopt(listed);
        Ok::<usize, Error>(job.listed.len())
    };
    match taken.await {
        Ok(listed) => slog::info!(node.log, "job: taken over"; "job" => &**id,
            "from" => before, "epoch" => head.epoch, "listed" => listed),
        Err(error) => {
            slog::warn!(node.log, "job: not taken over"; "job" => &**id,
                "from" => before, "error" => %error);
            // The known head may be old.
            if let Err(error) = end::read_head(node, id).await {
                node.store_failed("head", &error);
            }
        }
    }
}

/// Reads the submission of a job.
pub(crate) async fn load(node: &Node, id: &str, head: &Head) -> Result<super::Submission, Error> {
    let mut text = String::new();
    let mut next = 0;
    while next < head.chunks {
        let from = rows::spec(id, Some(next));
        let chunks = node.store.range(rows::spec(id, None), from).await?;
        if chunks.is_empty() {
            return Err(Error::Malformed);
        }
        next += chunks.len();
        text.extend(chunks.iter().map(|row| row.value.as_str()));
    }
    node.dialect.submission(text.as_bytes()).map_err(|_| Error::Malformed)
}

/// Reads the text of unfinished items of a job.
async fn progress(node: &Node, id: &str) -> Result<BTreeMap<String, Progress>, Error> {
    let prefix = rows::progress(id, "");
    let mut stored = Vec::new();
    let mut from = prefix.clone();
    loop {
        let more = node.store.range(prefix.clone(), from).await?;
        let Some(last) = more.last() else { break };
        from = format!("{}\0", last.key);
        stored.extend(more);
    }
    Ok(progress::assemble(id, &stored))
}

/// Gives a job the text that earlier jobs of the same trainer left for items
/// that come again.
pub(crate) async fn carry_over(node: &Rc<Node>, job: &Rc<RefCell<Job>>) {
    let earlier = earlier_jobs(node, &job.borrow());
    for (id, head) in earlier {
        let texts = match node.jobs.own(&id) {
            Some(own) => unfinished(&own.borrow()),
            None => match timeout(CARRY_TIMEOUT, progress(node, &id)).await {
                Ok(Ok(texts)) => texts,
                Ok(Err(error)) => {
                    node.store_failed("carry", &error);
                    continue;
                }
                Err(_) => continue,
            },
        };
        let mut job = job.borrow_mut();
        let before = job.works.iter().filter(|work| work.carried).count();
        for (item, text) in texts {
            job.restore(&item, text.into_new_job(), true);
        }
        let carried = job.works.iter().filter(|work| work.carried).count() - before;
        if carried > 0 {
            slog::info!(node.log, "job: items carried over"; "job" => &*job.id,
                "from" => &*id, "step" => head.step, "items" => carried);
        }
    }
}

fn unfinished(job: &Job) -> BTreeMap<String, Progress> {
    let works = job.works.iter().filter(|work| work.phase != super::job::Phase::Finished);
    works.map(|work| (work.item.id.as_ref().to_owned(), work.progress.clone())).collect()
}

fn earlier_jobs(node: &Node, job: &Job) -> Vec<(Name, Head)> {
    let heads = node.jobs.heads();
    let same = |head: &Head| {
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
    earlier.truncate(CARRIED_JOBS);
    // The newest text is taken in last, and stays.
    earlier.reverse();
    earlier
}
