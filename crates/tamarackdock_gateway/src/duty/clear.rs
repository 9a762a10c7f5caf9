//! Removal of batch jobs whose results no longer have to be kept.
//!
//! A removal takes several transactions. Its first one marks the head, and all later ones have the
//! marked head's revision as a condition. One that the store performs late, when the id may be in
//! use again, has no effect, and a removal that breaks off is visible and is finished later.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use monoio::time::sleep;
use tamarackdock_platform::{
    Error,
    table::{Condition, Write},
};
use tamarackdock_types::clock::{BootClock, Clock};

use crate::{
    batch::{
        end::{self, split_writes},
        index::{self, VersionedHead},
        rows::{self, JobHead},
    },
    deployment::Name,
    node::Node,
};

/// Time between checks for old jobs.
const INTERVAL: Duration = Duration::from_secs(5);
/// Time for which results are kept beyond the bound of the settings.
const MARGIN: Duration = Duration::from_secs(10);

/// What is done about a job at a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Action {
    /// The job is kept.
    Keep,
    /// The job is kept from now on, as nobody knows for how long it has been.
    Date,
    /// The job's removal begins.
    Mark,
    /// The job's removal goes on.
    Remove,
}

impl Action {
    /// Returns what is done about a job of which `earliest_ms` is the earliest store time that it
    /// can be now, if jobs are kept for `keep`.
    pub(crate) fn of(head: &JobHead, earliest_ms: Option<i64>, keep: Duration) -> Self {
        match head.accepted() {
            _ if head.removing => Self::Remove,
            None => Self::Date,
            Some(_) if head.ended && head.age(earliest_ms) > keep => Self::Mark,
            Some(_) => Self::Keep,
        }
    }
}

/// Returns the time for which results are kept.
pub(crate) fn keep_time(node: &Node) -> Duration {
    node.settings().bounds.keep_results + MARGIN
}

/// Dates jobs without a time of acceptance and removes old ones, at intervals. Never returns.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        sleep(INTERVAL).await;
        check(&node).await;
    }
}

/// Does what is due about all jobs, as far as it is up to this node: an owner dates its jobs, and
/// the holder of the duties does all else. After a failure, the other jobs of the same part wait
/// for the next check, as the store may be turning away what goes to that part.
async fn check(node: &Rc<Node>) {
    let keep = keep_time(node);
    let mut failed = BTreeSet::new();
    for (id, entry) in due(node, keep) {
        let is_holder = node.duties.permit().is_some();
        let is_owner = entry.head.owner.as_ref() == Some(&node.members.own);
        // Jobs before this one may have taken long.
        let action = Action::of(&entry.head, node.store_clock.earliest(BootClock.now()), keep);
        let part = rows::part(&id);
        let result = match action {
            _ if failed.contains(&part) => continue,
            Action::Date if is_holder || is_owner => date(node, &id, entry).await,
            Action::Mark if is_holder => mark_and_remove(node, &id, entry, keep).await,
            Action::Remove if is_holder => remove(node, &id, entry.revision).await,
            Action::Keep | Action::Date | Action::Mark | Action::Remove => continue,
        };
        let Err(error) = result else { continue };
        slog::warn!(node.log, "job: not dated or removed"; "job" => &*id,
            "action" => ?action, "error" => %error);
        let read = match error {
            // The known head is out of date.
            Error::Conflict { .. } => end::read_head(node, &id).await.map(drop),
            error => Err(error),
        };
        if let Err(error) = read {
            node.store_failed("clear", &error);
            failed.insert(part);
        }
    }
}

fn due(node: &Node, keep: Duration) -> Vec<(Name, VersionedHead)> {
    let earliest_ms = node.store_clock.earliest(BootClock.now());
    let heads = node.jobs.heads();
    let is_due = |head: &JobHead| Action::of(head, earliest_ms, keep) != Action::Keep;
    let due = heads.iter().filter(|(_, entry)| is_due(&entry.head));
    due.map(|(id, entry)| (id.clone(), entry.clone())).collect()
}

/// Writes this moment as the time of a job's acceptance. A holder of the duties of an earlier
/// release would remove the job as soon as it has ended.
async fn date(node: &Rc<Node>, id: &Name, entry: VersionedHead) -> Result<(), Error> {
    let Some(accepted_ms) = node.store_clock.millis(BootClock.now()) else { return Ok(()) };
    let head = JobHead { accepted_ms, ..entry.head };
    let revision = end::write_head(node, id, &head, entry.revision).await?;
    slog::info!(node.log, "job: dated"; "job" => &**id, "accepted_ms" => accepted_ms,
        "revision" => revision, "ended" => head.ended);
    node.jobs.update_head(id, VersionedHead { head, revision });
    end::check_ownership(node, id);
    Ok(())
}

/// Marks a job as one that is being removed, under the condition that its head in the store is the
/// one by which that was decided, and removes its rows.
async fn mark_and_remove(
    node: &Rc<Node>,
    id: &Name,
    entry: VersionedHead,
    keep: Duration,
) -> Result<(), Error> {
    slog::info!(node.log, "job: removal started"; "job" => &**id, "revision" => entry.revision,
        "accepted_ms" => entry.head.accepted_ms,
        "store_ms" => node.store_clock.earliest(BootClock.now()),
        "keep_ms" => keep.as_millis());
    let head = JobHead { removing: true, ..entry.head };
    let revision = end::write_head(node, id, &head, entry.revision).await?;
    node.jobs.update_head(id, VersionedHead { head, revision });
    end::check_ownership(node, id);
    remove(node, id, revision).await
}

/// Removes the rows of a job whose head has been marked at `revision`, the head with the last
/// ones.
async fn remove(node: &Rc<Node>, id: &Name, revision: u64) -> Result<(), Error> {
    let mut keys = Vec::new();
    for prefix in
        [rows::submission_key(id, None), rows::result_key(id, None), rows::progress_key(id, "")]
    {
        let mut from = prefix.clone();
        loop {
            // Only the keys are kept, as the results of a job can exceed the memory of a host.
            let page = node.store.range(prefix.clone(), from).await?;
            let Some(last) = page.last() else { break };
            // The first possible key behind the last one.
            from = format!("{}\0", last.key);
            keys.extend(page.into_iter().map(|row| row.key));
        }
    }
    let head = rows::head_key(id);
    keys.push(head.clone());
    let count = keys.len();
    let writes = keys.into_iter().map(|key| Write { key, value: None }).collect();
    for writes in split_writes(writes) {
        let conditions = vec![Condition { key: head.clone(), revision }];
        node.commit(conditions, writes).await?;
    }
    slog::info!(node.log, "job: removed"; "job" => &**id, "revision" => revision, "rows" => count);
    index::drop_head(node, id, revision);
    Ok(())
}
