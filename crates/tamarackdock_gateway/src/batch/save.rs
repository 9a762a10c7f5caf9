//! Saves the text of unfinished items to the store, so that another node or a later job
//! can continue it.

use std::{cell::RefCell, rc::Rc, time::Duration};

use monoio::time::sleep;
use tamarackdock_platform::{Error, table::Condition};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    end::{read_head, split_writes, write_head},
    job::{Job, Phase},
    rows::{self, JobHead},
};
use crate::{call::timeout_at, node::Node};

/// Interval between saves of a job.
const INTERVAL: Duration = Duration::from_millis(700);
/// Time during which complete texts are gathered for one save, before their scoring calls.
const GATHER_TIME: Duration = Duration::from_millis(15);
/// Number of unsaved events from which on an item's text is saved. Generating a short
/// text again takes less time than reading it back.
const MIN_EVENTS: usize = 12;
/// Pause between tries to save and release a job that is handed over.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Saves the text of a job until the job is closed or complete: long texts at intervals, and
/// complete ones that wait for their scoring calls at once.
pub(crate) async fn run(node: Rc<Node>, job: Rc<RefCell<Job>>) {
    let changed = job.borrow().changed.clone();
    let mut next = BootClock.now() + INTERVAL;
    loop {
        let seen = changed.count();
        if job.borrow().closed || job.borrow().is_complete() {
            return;
        }
        if BootClock.now() >= next {
            next = BootClock.now() + INTERVAL;
            save(&node, &job, MIN_EVENTS).await;
        } else if job.borrow().has_generated() {
            sleep(GATHER_TIME).await;
            save_generated(&node, &job).await;
        } else {
            // Both a change and the timeout lead to the next check.
            let _ = timeout_at(next, changed.changed_since(seen)).await;
        }
    }
}

/// Saves the texts that wait for their scoring calls. After a failure the head is read, since
/// another node may own the job or a client may have ended it.
async fn save_generated(node: &Rc<Node>, job: &Rc<RefCell<Job>>) {
    let Err(error) = try_save(node, job, usize::MAX).await else { return };
    node.store_failed("progress", &error);
    sleep(RETRY_PAUSE).await;
    let id = job.borrow().id.clone();
    if let Err(error) = read_head(node, &id).await {
        node.store_failed("head", &error);
    }
}

/// Saves the text of unfinished items that have at least `min_events` unsaved events or are
/// complete. A failure is logged and not retried, since unsaved text can be generated again.
pub(crate) async fn save(node: &Node, job: &Rc<RefCell<Job>>, min_events: usize) {
    if let Err(error) = try_save(node, job, min_events).await {
        node.store_failed("progress", &error);
    }
}

async fn try_save(node: &Node, job: &Rc<RefCell<Job>>, min_events: usize) -> Result<(), Error> {
    let mut writes = Vec::new();
    let mut saved = Vec::new();
    let condition = {
        let job = job.borrow();
        for (index, item) in job.items.iter().enumerate() {
            let is_due = match item.phase {
                Phase::Finished | Phase::Unscored | Phase::Scoring => false,
                Phase::Generated => true,
                Phase::Waiting | Phase::Running(_) => item.progress.unsaved_events() >= min_events,
            };
            if !is_due {
                continue;
            }
            let prefix = rows::progress_key(&job.id, &item.request.id);
            writes.extend(item.progress.segments(&prefix, job.head.epoch));
            saved.push((index, item.progress.extent()));
        }
        Condition { key: rows::head_key(&job.id), revision: job.revision }
    };
    for writes in split_writes(writes) {
        if let Err(error) = node.commit(vec![condition.clone()], writes).await {
            let mut job = job.borrow_mut();
            for (index, _) in saved {
                job.items[index].progress.save_anew();
            }
            return Err(error);
        }
    }
    let mut job = job.borrow_mut();
    for (index, extent) in saved {
        job.mark_saved(index, extent);
    }
    Ok(())
}

/// Saves all text of a job whose runs have been stopped, and then removes this node as its
/// owner. Closes the job when that is done or the time is `until`.
pub(crate) async fn save_and_release(node: Rc<Node>, job: Rc<RefCell<Job>>, until: Instant) {
    let id = job.borrow().id.clone();
    loop {
        if job.borrow().closed {
            return;
        }
        // The task of `commit::run` still commits the remaining results. Until then,
        // `Unreachable` stands for a release that was not tried.
        let is_committed = job.borrow().uncommitted.is_empty();
        let result =
            if is_committed { release(&node, &job).await } else { Err(Error::Unreachable) };
        let is_late = BootClock.now() >= until;
        if result.is_ok() || is_late {
            slog::info!(node.log, "job: hand-over finished"; "job" => &*id, "result" => ?result,
                "listed" => job.borrow().listed());
            job.borrow_mut().close();
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn release(node: &Rc<Node>, job: &Rc<RefCell<Job>>) -> Result<(), Error> {
    try_save(node, job, 1).await?;
    let (id, head, revision) = {
        let job = job.borrow();
        (job.id.clone(), JobHead { owner: None, ..job.head.clone() }, job.revision)
    };
    write_head(node, &id, &head, revision).await.map(drop)
}
